package connector

import (
	"sync"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	backendv1 "github.com/stoathitch/stoathitch/pkg/protocol/backend/v1"
	"github.com/stoathitch/stoathitch/pkg/provider"
	"github.com/stoathitch/stoathitch/pkg/runner"
)

// errNotAnnounced means that a stream did not begin with an Announce.
var errNotAnnounced = eris.New("the first message must be an announce with an id, this failure domain and at least one slot or processor time")

// Servers serves the streams of backend servers. Set the exported fields before
// its first use.
type Servers struct {
	*provider.Common
	Post  Poster
	Clock *runner.Clock

	backendv1.UnimplementedEntryHostServer
	mutex   sync.Mutex
	streams map[identifier.BackendServerID]*serverStream
}

// serverStream is the sending side towards one backend server.
type serverStream struct {
	queue chan *backendv1.HostMessage
	done  chan struct{}
}

// Prepare makes the table of streams.
func (servers *Servers) Prepare() {
	servers.streams = make(map[identifier.BackendServerID]*serverStream)
}

// Attach serves one stream of a backend server until it ends.
func (servers *Servers) Attach(stream grpc.BidiStreamingServer[backendv1.ServerMessage, backendv1.HostMessage]) error {
	first, err := stream.Recv()
	if err != nil {
		return newError("receive announce", ErrorStream, err)
	}
	announce := first.GetAnnounce()
	if !servers.acceptable(announce) {
		return newError("receive announce", ErrorProtocol, errNotAnnounced)
	}
	id := identifier.BackendServerID(announce.GetBackendServer())
	current := servers.open(id)
	servers.Log.Info("backend server attached", "backend-server", id, "slots", announce.GetSlots())
	go servers.send(stream, current)
	current.queue <- servers.welcome()
	servers.Post(stream.Context(), announcedEvent(announce))
	err = servers.receive(stream, announce)
	if servers.close(id, current) {
		servers.Log.Info("backend server detached", "backend-server", id, "err", err)
		servers.postLost(stream.Context(), announce)
	}
	return err
}

func (servers *Servers) acceptable(announce *backendv1.Announce) bool {
	return announce.GetBackendServer() != "" &&
		announce.GetFailureDomain() == string(servers.Settings.FailureDomain) &&
		(announce.GetSlots() > 0 || isWorker(announce))
}

// open registers the stream of a backend server in place of an older one.
func (servers *Servers) open(id identifier.BackendServerID) *serverStream {
	created := &serverStream{queue: make(chan *backendv1.HostMessage, sendQueue), done: make(chan struct{})}
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	servers.streams[id] = created
	return created
}

// close ends the sending side. It returns false when a newer stream has taken
// the place, so that an old stream's end is not taken for the server's loss.
func (servers *Servers) close(id identifier.BackendServerID, ended *serverStream) bool {
	servers.mutex.Lock()
	defer servers.mutex.Unlock()
	close(ended.done)
	if servers.streams[id] != ended {
		return false
	}
	delete(servers.streams, id)
	return true
}

// Send queues one tick's batch for a backend server. A batch that finds no
// stream is dropped: the server's next announce tells that nothing of it started.
func (servers *Servers) Send(batch *dispatcher.ToServer) {
	servers.enqueue(batch.Server, hostMessage(servers.Clock.Now(), batch))
}

// enqueue hands a message to the stream of a backend server, if there is one.
func (servers *Servers) enqueue(id identifier.BackendServerID, message *backendv1.HostMessage) {
	servers.mutex.Lock()
	current := servers.streams[id]
	servers.mutex.Unlock()
	if current == nil {
		return
	}
	select {
	case current.queue <- message:
	case <-current.done:
	}
}

func (servers *Servers) send(stream grpc.BidiStreamingServer[backendv1.ServerMessage, backendv1.HostMessage], current *serverStream) {
	for {
		select {
		case message := <-current.queue:
			if stream.Send(message) != nil {
				return
			}
		case <-current.done:
			return
		}
	}
}

func (servers *Servers) receive(stream grpc.BidiStreamingServer[backendv1.ServerMessage, backendv1.HostMessage], announce *backendv1.Announce) error {
	id := identifier.BackendServerID(announce.GetBackendServer())
	for {
		message, err := stream.Recv()
		if err != nil {
			return newError("receive from backend server", ErrorStream, err)
		}
		if isWorker(announce) {
			servers.Post(stream.Context(), workerEvent(identifier.WorkerID(id), message))
			continue
		}
		for _, event := range serverEvents(id, message) {
			servers.Post(stream.Context(), &coordinator.ServerEvent{Event: event})
		}
	}
}

// welcome tells a backend server the addresses of the failure domain's hosts.
func (servers *Servers) welcome() *backendv1.HostMessage {
	welcome := &backendv1.Welcome{EntryHost: string(servers.Settings.Host)}
	for _, host := range servers.Settings.Hosts {
		if host.FailureDomain == servers.Settings.FailureDomain && host.BackendServersAddress.IsValid() {
			welcome.EntryHostAddresses = append(welcome.EntryHostAddresses, host.BackendServersAddress.String())
		}
	}
	return &backendv1.HostMessage{Welcome: welcome}
}
