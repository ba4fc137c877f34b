package connector

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"

	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	backendv1 "github.com/stoathitch/stoathitch/pkg/protocol/backend/v1"
	"github.com/stoathitch/stoathitch/pkg/provider"
	"github.com/stoathitch/stoathitch/pkg/runner"
	"github.com/stoathitch/stoathitch/pkg/securer"
)

// errBadAnnounce means that a stream did not begin with a valid Announce.
var errBadAnnounce = eris.New("the first message must be an announce with an id, this failure domain and at least one slot or processor time")

// Servers serves the streams of backend servers. Set the exported fields before
// its first use.
type Servers struct {
	*provider.Common
	Post  Poster
	Clock *runner.Clock
	// Keys secure the connections; nil leaves them in the clear.
	Keys *securer.Keys

	backendv1.UnimplementedEntryHostServer
	refusals refusalLog
	mutex    sync.Mutex
	streams  map[identifier.BackendServerID]*serverStream
}

// Prepare creates the table of streams. Call it before serving.
func (servers *Servers) Prepare() {
	servers.streams = make(map[identifier.BackendServerID]*serverStream)
}

// Attach serves one stream of a backend server until it ends.
func (servers *Servers) Attach(stream grpc.BidiStreamingServer[backendv1.ServerMessage, backendv1.HostMessage]) error {
	message, err := receiveFirst(servers.Settings, stream.Recv)
	if err != nil {
		return newError("receive announce", ErrorStream, err)
	}
	announce := message.GetAnnounce()
	if !servers.isValidAnnounce(announce) {
		return newError("receive announce", ErrorProtocol, errBadAnnounce)
	}
	// The last events of a stream are posted after its context is done.
	ctx := context.WithoutCancel(stream.Context())
	id := identifier.BackendServerID(announce.GetBackendServer())
	if err := checkStream(stream.Context(), servers.Keys, serverCheck(servers.Settings, id)); err != nil {
		servers.refusals.recordRefusal(servers.Log, "backend-server", string(id), err)
		return err
	}
	current := servers.registerStream(id)
	servers.Log.Info("backend server attached", "backend-server", id, "slots", announce.GetSlots())
	go servers.sendLoop(stream, current)
	servers.Post(ctx, announcedEvent(announce))
	received := make(chan error, 1)
	go func() { received <- servers.receiveLoop(ctx, stream, announce, current) }()
	select {
	case err = <-received:
	case <-current.overflowed:
		err = newError("send to backend server", ErrorStream, errOverflow)
	}
	servers.endStream(ctx, announce, current, err)
	return err
}

func (servers *Servers) isValidAnnounce(announce *backendv1.Announce) bool {
	return announce.GetBackendServer() != "" &&
		announce.GetFailureDomain() == string(servers.Settings.FailureDomain) &&
		(announce.GetSlots() > 0 || isWorker(announce))
}

// registerStream registers a new stream of a backend server and supersedes an older one.
func (servers *Servers) registerStream(id identifier.BackendServerID) *serverStream {
	created := newServerStream()
	servers.mutex.Lock()
	older := servers.streams[id]
	servers.streams[id] = created
	servers.mutex.Unlock()
	if older != nil {
		older.supersede()
	}
	return created
}

// endStream closes the sending side and posts the server's loss, unless a newer stream has
// replaced this one.
func (servers *Servers) endStream(ctx context.Context, announce *backendv1.Announce, ended *serverStream, cause error) {
	id := identifier.BackendServerID(announce.GetBackendServer())
	close(ended.done)
	ended.postUnlessSuperseded(func() {
		servers.Log.Info("backend server detached", "backend-server", id, "err", cause)
		servers.Post(ctx, lostEvent(announce))
	})
	// Anything posted from now on would look as if the server had returned.
	ended.supersede()
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	if servers.streams[id] == ended {
		delete(servers.streams, id)
	}
}

// Send queues one tick's batch for a backend server. Without a stream the batch is dropped; the
// server's next announce shows that nothing of it started.
func (servers *Servers) Send(batch *dispatcher.ToServer) {
	if current := servers.stream(batch.Server); current != nil {
		enqueue(current, current.queue, batch)
	}
}

// stream returns the stream of a backend server, or nil.
func (servers *Servers) stream(id identifier.BackendServerID) *serverStream {
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	return servers.streams[id]
}

// sendLoop sends the welcome and then the queued batches until the stream ends.
func (servers *Servers) sendLoop(stream grpc.BidiStreamingServer[backendv1.ServerMessage, backendv1.HostMessage], current *serverStream) {
	if stream.Send(servers.welcome()) != nil {
		return
	}
	for {
		select {
		case batch := <-current.queue:
			for _, message := range hostMessages(servers.Clock.Now(), current.drainQueue(batch)) {
				if stream.Send(message) != nil {
					return
				}
			}
		case batch := <-current.workerQueue:
			if stream.Send(workerMessage(batch)) != nil {
				return
			}
		case <-current.done:
			return
		}
	}
}

// receiveLoop posts what arrives until the stream ends or a newer one replaces it.
func (servers *Servers) receiveLoop(ctx context.Context, stream grpc.BidiStreamingServer[backendv1.ServerMessage, backendv1.HostMessage], announce *backendv1.Announce, current *serverStream) error {
	for {
		message, err := stream.Recv()
		if err != nil {
			return newError("receive from backend server", ErrorStream, err)
		}
		posted := current.postUnlessSuperseded(func() {
			for _, event := range eventsOf(announce, message) {
				servers.Post(ctx, event)
			}
		})
		if !posted {
			return newError("receive from backend server", ErrorStream, errSuperseded)
		}
	}
}

// welcome returns the message with the addresses of the failure domain's entry hosts.
func (servers *Servers) welcome() *backendv1.HostMessage {
	welcome := &backendv1.Welcome{EntryHost: string(servers.Settings.Host)}
	for _, host := range servers.Settings.Hosts {
		if host.FailureDomain == servers.Settings.FailureDomain && host.BackendServersAddress.IsValid() {
			welcome.EntryHostAddresses = append(welcome.EntryHostAddresses, host.BackendServersAddress.String())
		}
	}
	return &backendv1.HostMessage{Welcome: welcome}
}
