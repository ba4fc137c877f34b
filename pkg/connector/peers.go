package connector

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	peerv1 "github.com/stoathitch/stoathitch/pkg/protocol/peer/v1"
	"github.com/stoathitch/stoathitch/pkg/provider"
	"github.com/stoathitch/stoathitch/pkg/securer"
)

// Timing of the connections to other hosts.
const (
	// dialBaseDelay is the pause after the first failed attempt. A host whose process is still
	// starting refuses connections at once; processes that start together are up within some tens of
	// milliseconds.
	dialBaseDelay = 20 * time.Millisecond
	dialMaxDelay  = time.Second
	// sendTimeout is how long a queued batch waits for a connection, with further attempts to connect,
	// before it is dropped. Without the wait, connecting would be tried only once for each batch, and
	// a host that starts queries the hosts of its settings only every 250 ms.
	sendTimeout = time.Second
	// maxFrameBytes is the size above which a batch is split between its messages.
	maxFrameBytes = 1 << 20
	// frameOverhead is the maximum encoded size of a frame without its payload.
	frameOverhead = 1 << 10
)

// errBadIntroduction means that a stream did not begin with another host's id.
var errBadIntroduction = eris.New("the first frame must name another host of the system")

// Poster passes an input to the coordinator; it returns false once the process ends.
type Poster func(ctx context.Context, input coordinator.Input) bool

// Dialer opens a connection to the address of another host.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Peers keeps an outgoing stream to every host that something is sent to and receives the streams
// of other hosts. Set the exported fields before Run.
type Peers struct {
	*provider.Common
	Post        Poster
	Incarnation identifier.Incarnation
	// Dial opens the connections to other hosts; nil dials TCP. Tests use it to cut off failure
	// domains.
	Dial Dialer
	// Keys secure the connections; nil leaves them in the clear.
	Keys *securer.Keys

	peerv1.UnimplementedPeerServer
	refusals refusalLog
	mutex    sync.Mutex
	links    map[identifier.HostID]*peerLink
	// runContext is the context of Run, and the parent context of links added later.
	runContext context.Context
}

// peerLink is the sending side towards one host. It connects when there is something to send.
type peerLink struct {
	host    identifier.HostID
	address string
	queue   *sendQueue
	// start begins to send what is queued, the first time that it is called.
	start  func()
	cancel context.CancelFunc
}

// queuedPayload is an encoded batch that waits for its connection.
//
// It is dropped after sendTimeout, counted from when it was queued and not from when it reached
// the head of the queue. Otherwise the batches for a host that is gone for a minute would each
// wait a second in turn, and once back it would receive leads and jobs of a minute ago.
type queuedPayload struct {
	payload []byte
	sendBy  time.Time
}

func (queuedPayload *queuedPayload) expired(now time.Time) bool {
	return !now.Before(queuedPayload.sendBy)
}

// Run opens the links to the hosts that the settings name and keeps all links
// until ctx is done.
func (peers *Peers) Run(ctx context.Context) {
	peers.mutex.Lock()
	peers.runContext = ctx
	peers.links = make(map[identifier.HostID]*peerLink)
	peers.mutex.Unlock()
	for _, host := range peers.Settings.Hosts {
		peers.UpdateAddress(host.Host, host.PeersAddress.String())
	}
	<-ctx.Done()
}

// UpdateAddress records the address of a host. A host whose address changes gets a new link.
func (peers *Peers) UpdateAddress(host identifier.HostID, address string) {
	if host == peers.Settings.Host || address == "" {
		return
	}
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	if peers.runContext == nil {
		return
	}
	known := peers.links[host]
	if known != nil && known.address == address {
		return
	}
	if known != nil {
		known.cancel()
	}
	ctx, cancel := context.WithCancel(peers.runContext)
	created := &peerLink{host: host, address: address, queue: newSendQueue(), cancel: cancel}
	created.start = sync.OnceFunc(func() { go peers.runLink(ctx, created) })
	peers.links[host] = created
}

// Send queues a batch for another host. The batch is dropped if the queue is full.
func (peers *Peers) Send(to identifier.HostID, batch *coordinator.PeerBatch) {
	peers.mutex.Lock()
	link, found := peers.links[to]
	peers.mutex.Unlock()
	if !found {
		return
	}
	for _, payload := range peers.encodeFrames(to, batch) {
		if !link.queue.push(queuedPayload{payload: payload, sendBy: time.Now().Add(sendTimeout)}) {
			peers.Log.Warn("peer batch dropped, queue full", "peer", to)
		}
	}
	link.start()
}

// encodeFrames encodes a batch. A large batch is split into several frames in order, so that the
// other host need not hold all of it at once and no frame comes near the limit for received
// messages. A single message over that limit is dropped, because it would end the stream each time
// it is sent.
func (peers *Peers) encodeFrames(to identifier.HostID, batch *coordinator.PeerBatch) [][]byte {
	payload, err := encodeBatch(batch)
	if err != nil {
		peers.Log.Error("peer batch not encoded", "peer", to, "err", err)
		return nil
	}
	count := len(batch.Messages)
	switch {
	case len(payload) > maxFrameBytes && count > 1:
		first := peers.encodeFrames(to, &coordinator.PeerBatch{Messages: batch.Messages[:count/2]})
		second := peers.encodeFrames(to, &coordinator.PeerBatch{Messages: batch.Messages[count/2:]})
		return append(first, second...)
	case len(payload) > int(peers.Settings.Connections.Message)-frameOverhead:
		peers.Log.Error("peer message dropped, too large", "peer", to, "bytes", len(payload))
		return nil
	default:
		return [][]byte{payload}
	}
}

// runLink opens a stream when there is something to send, and again after it has ended.
func (peers *Peers) runLink(ctx context.Context, link *peerLink) {
	connection, err := peers.dial(link)
	if err != nil {
		peers.Log.Error("peer not dialled", "peer", link.host, "err", err)
		return
	}
	defer func() { _ = connection.Close() }()
	waiting := false
	for {
		batch, found := link.queue.pop()
		if !found {
			select {
			case <-ctx.Done():
				return
			case <-link.queue.filled:
			}
			continue
		}
		if batch.expired(time.Now()) {
			continue
		}
		opened, err := peers.runStream(ctx, connection, link, &batch)
		if ctx.Err() != nil {
			return
		}
		if !opened && !waiting {
			peers.Log.Info("waiting for peer", "peer", link.host, "address", link.address, "err", err)
		}
		waiting = !opened
	}
}

func (peers *Peers) dial(link *peerLink) (*grpc.ClientConn, error) {
	adaptiveTimeout := &adaptiveTimeout{}
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(clientCredentials(peers.Keys, hostCheck(peers.Settings, link.host))),
		keepaliveParams(peers.Settings),
		grpc.WithStaticStreamWindowSize(streamWindow),
		grpc.WithStaticConnWindowSize(streamWindow),
		grpc.WithReadBufferSize(connectionBuffer),
		grpc.WithWriteBufferSize(connectionBuffer),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: dialBaseDelay, Multiplier: 1.6, Jitter: 0.2, MaxDelay: dialMaxDelay},
			MinConnectTimeout: dialMaxDelay,
		}),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return adaptiveTimeout.dial(ctx, address, peers.dialContext)
		}),
	}
	connection, err := grpc.NewClient(link.address, options...)
	if err != nil {
		return nil, newError("dial peer", ErrorStream, err)
	}
	return connection, nil
}

// dialContext opens one connection to another host.
func (peers *Peers) dialContext(ctx context.Context, address string) (net.Conn, error) {
	if peers.Dial != nil {
		return peers.Dial(ctx, address)
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// runStream sends a payload and those queued after it until the stream ends. It reports whether
// the stream was opened; if not, the payload is dropped.
func (peers *Peers) runStream(ctx context.Context, connection *grpc.ClientConn, link *peerLink, batch *queuedPayload) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	expiry := time.AfterFunc(time.Until(batch.sendBy), cancel)
	stream, err := peers.openStream(ctx, connection)
	if !expiry.Stop() && err == nil {
		err = newError("open peer stream", ErrorStream, context.DeadlineExceeded)
	}
	if err != nil {
		return false, err
	}
	peers.Log.Info("peer connected", "peer", link.host)
	peers.Post(ctx, &coordinator.PeerConnected{Host: link.host})
	ended := make(chan error, 1)
	go func() {
		_, err := stream.Recv()
		ended <- err
	}()
	err = peers.sendLoop(ctx, stream, link, batch.payload, ended)
	peers.Log.Info("peer disconnected", "peer", link.host, "err", err)
	peers.Post(ctx, &coordinator.PeerDisconnected{Host: link.host})
	return true, err
}

// openStream opens a stream and introduces this host. The reply proves that a host of the system
// serves the other side.
func (peers *Peers) openStream(ctx context.Context, connection *grpc.ClientConn) (peerv1.Peer_ExchangeClient, error) {
	stream, err := peerv1.NewPeerClient(connection).Exchange(ctx, grpc.WaitForReady(true))
	if err != nil {
		return nil, newError("open peer stream", ErrorStream, err)
	}
	if err := stream.Send(peers.frame(nil)); err != nil {
		return nil, newError("introduce to peer", ErrorStream, err)
	}
	if _, err := stream.Recv(); err != nil {
		return nil, newError("wait for peer", ErrorStream, err)
	}
	return stream, nil
}

// sendLoop sends queued batches until the stream ends.
func (peers *Peers) sendLoop(ctx context.Context, stream peerv1.Peer_ExchangeClient, link *peerLink, payload []byte, ended chan error) error {
	for {
		if err := stream.Send(peers.frame(payload)); err != nil {
			return newError("send to peer", ErrorStream, err)
		}
		batch, err := link.next(ctx, ended)
		if err != nil {
			return err
		}
		payload = batch.payload
	}
}

// next waits for the next batch until the stream has ended.
func (link *peerLink) next(ctx context.Context, ended chan error) (queuedPayload, error) {
	for {
		if batch, found := link.queue.pop(); found {
			return batch, nil
		}
		select {
		case <-link.queue.filled:
		case err := <-ended:
			return queuedPayload{}, newError("peer stream", ErrorStream, err)
		case <-ctx.Done():
			return queuedPayload{}, ctx.Err()
		}
	}
}

func (peers *Peers) frame(payload []byte) *peerv1.Frame {
	return &peerv1.Frame{From: string(peers.Settings.Host), Incarnation: uint64(peers.Incarnation), Payload: payload}
}

// Exchange receives the batches of another host.
func (peers *Peers) Exchange(stream peerv1.Peer_ExchangeServer) error {
	introduction, err := receiveFirst(peers.Settings, stream.Recv)
	if err != nil {
		return newError("receive introduction", ErrorStream, err)
	}
	from := identifier.HostID(introduction.GetFrom())
	if from == "" || from == peers.Settings.Host {
		return newError("receive introduction", ErrorProtocol, errBadIntroduction)
	}
	authenticated, err := peers.authenticateSender(stream.Context(), from)
	if err != nil {
		peers.refusals.recordRefusal(peers.Log, "peer", string(from), err)
		return err
	}
	if err := stream.Send(peers.frame(nil)); err != nil {
		return newError("answer introduction", ErrorStream, err)
	}
	for {
		frame, err := stream.Recv()
		if err != nil {
			return newError("receive from peer", ErrorStream, err)
		}
		if err := peers.deliver(stream.Context(), &authenticated, frame); err != nil {
			return err
		}
	}
}

func (peers *Peers) deliver(ctx context.Context, from *sender, frame *peerv1.Frame) error {
	batch, err := decodeBatch(frame.GetPayload())
	if err != nil {
		peers.Log.Warn("peer batch not decoded", "peer", from.host, "err", err)
		return err
	}
	if err := from.checkBatch(peers.Settings, &batch); err != nil {
		peers.refusals.recordRefusal(peers.Log, "peer", string(from.host), err)
		return err
	}
	peers.Post(ctx, &coordinator.PeerBatchArrived{From: from.host, Batch: batch})
	return nil
}
