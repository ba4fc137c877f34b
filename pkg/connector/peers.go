package connector

import (
	"context"
	"io"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/loader"
	peerv1 "github.com/stoathitch/stoathitch/pkg/protocol/peer/v1"
	"github.com/stoathitch/stoathitch/pkg/provider"
)

// Timing of the connections to other hosts.
const (
	reconnectPause = 200 * time.Millisecond
	dialBaseDelay  = 100 * time.Millisecond
	dialMaxDelay   = time.Second
	// sendQueue bounds the batches that wait for a slow peer. Beyond it batches
	// are dropped: every message between hosts is either repeated by its sender or
	// covered by a timeout.
	sendQueue = 1024
)

// Poster hands an input to the coordinator; it returns false once the process
// ends.
type Poster func(ctx context.Context, input coordinator.Input) bool

// Peers keeps one sending stream to every other host and receives theirs. Set
// the exported fields before Run.
type Peers struct {
	*provider.Common
	Post        Poster
	Incarnation uint64

	peerv1.UnimplementedPeerServer
	links map[identifier.HostID]*peerLink
	hosts map[identifier.HostID]loader.Host
}

// peerLink is the sending side towards one host.
type peerLink struct {
	host  loader.Host
	queue chan []byte
}

// Prepare makes the links, so that Send may be called before Run.
func (peers *Peers) Prepare() {
	peers.links = make(map[identifier.HostID]*peerLink)
	peers.hosts = make(map[identifier.HostID]loader.Host)
	for _, host := range peers.Settings.Hosts {
		if host.Host == peers.Settings.Host {
			continue
		}
		peers.links[host.Host] = &peerLink{host: host, queue: make(chan []byte, sendQueue)}
		peers.hosts[host.Host] = host
	}
}

// Run keeps the sending streams until ctx is done.
func (peers *Peers) Run(ctx context.Context) {
	for _, link := range peers.links {
		go peers.keepLink(ctx, link)
	}
	<-ctx.Done()
}

// Send queues a batch for another host. A batch for a host that does not keep up
// is dropped.
func (peers *Peers) Send(to identifier.HostID, batch *coordinator.PeerBatch) {
	link, found := peers.links[to]
	if !found {
		return
	}
	payload, err := encodeBatch(batch)
	if err != nil {
		peers.Log.Error("peer batch not encoded", "peer", to, "err", err)
		return
	}
	select {
	case link.queue <- payload:
	default:
		peers.Log.Warn("peer batch dropped, queue full", "peer", to)
	}
}

// keepLink opens the sending stream again whenever it ends.
func (peers *Peers) keepLink(ctx context.Context, link *peerLink) {
	connection, err := peers.dial(link.host)
	if err != nil {
		peers.Log.Error("peer not dialled", "peer", link.host.Host, "err", err)
		return
	}
	defer func() { _ = connection.Close() }()
	waitingLogged := false
	for ctx.Err() == nil {
		opened, err := peers.runStream(ctx, connection, link)
		if opened || !waitingLogged {
			peers.Log.Info("waiting for peer", "peer", link.host.Host, "address", link.host.PeersAddress, "err", err)
			waitingLogged = true
		}
		pause(ctx, reconnectPause)
	}
}

func (peers *Peers) dial(host loader.Host) (*grpc.ClientConn, error) {
	connection, err := grpc.NewClient(host.PeersAddress.String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: dialBaseDelay, Multiplier: 1.6, Jitter: 0.2, MaxDelay: dialMaxDelay},
			MinConnectTimeout: dialMaxDelay,
		}))
	if err != nil {
		return nil, newError("dial peer", ErrorStream, err)
	}
	return connection, nil
}

// runStream sends until the stream ends. It tells whether the stream was opened.
func (peers *Peers) runStream(ctx context.Context, connection *grpc.ClientConn, link *peerLink) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := peerv1.NewPeerClient(connection).Exchange(ctx)
	if err != nil {
		return false, newError("open peer stream", ErrorStream, err)
	}
	// The first frame introduces this host; the answer proves that the other
	// side is served by the process that the settings name.
	if err := stream.Send(peers.frame(nil)); err != nil {
		return false, newError("introduce to peer", ErrorStream, err)
	}
	if _, err := stream.Recv(); err != nil {
		return false, newError("wait for peer", ErrorStream, err)
	}
	host := coordinator.Host{ID: link.host.Host, FailureDomain: link.host.FailureDomain}
	peers.Log.Info("peer connected", "peer", host.ID)
	peers.Post(ctx, &coordinator.PeerConnected{Host: host})
	ended := make(chan error, 1)
	go func() {
		_, err := stream.Recv()
		ended <- err
	}()
	err = peers.pump(ctx, stream, link, ended)
	peers.Log.Info("peer disconnected", "peer", host.ID, "err", err)
	peers.Post(context.WithoutCancel(ctx), &coordinator.PeerDisconnected{Host: host})
	return true, err
}

// pump sends queued batches until the stream ends.
func (peers *Peers) pump(ctx context.Context, stream peerv1.Peer_ExchangeClient, link *peerLink, ended chan error) error {
	for {
		select {
		case payload := <-link.queue:
			if err := stream.Send(peers.frame(payload)); err != nil {
				return newError("send to peer", ErrorStream, err)
			}
		case err := <-ended:
			return newError("peer stream", ErrorStream, err)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (peers *Peers) frame(payload []byte) *peerv1.Frame {
	return &peerv1.Frame{From: string(peers.Settings.Host), Incarnation: peers.Incarnation, Payload: payload}
}

// Exchange receives the batches of another host.
func (peers *Peers) Exchange(stream peerv1.Peer_ExchangeServer) error {
	first, err := stream.Recv()
	if err != nil {
		return newError("receive introduction", ErrorStream, err)
	}
	from := identifier.HostID(first.GetFrom())
	if _, known := peers.hosts[from]; !known {
		peers.Log.Warn("unknown peer refused", "peer", from)
		return newError("receive introduction", ErrorProtocol, io.ErrUnexpectedEOF)
	}
	if err := stream.Send(peers.frame(nil)); err != nil {
		return newError("answer introduction", ErrorStream, err)
	}
	for {
		frame, err := stream.Recv()
		if err != nil {
			return newError("receive from peer", ErrorStream, err)
		}
		if err := peers.deliver(stream.Context(), from, frame); err != nil {
			return err
		}
	}
}

func (peers *Peers) deliver(ctx context.Context, from identifier.HostID, frame *peerv1.Frame) error {
	batch, err := decodeBatch(frame.GetPayload())
	if err != nil {
		peers.Log.Warn("peer batch not decoded", "peer", from, "err", err)
		return err
	}
	peers.Post(ctx, &coordinator.PeerBatchArrived{From: from, Batch: batch})
	return nil
}

func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
