package replayer

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/replayer/fakebackend"
	"github.com/stoathitch/stoathitch/pkg/replayer/fakenetwork"
)

// serverBatch is what a backend server sends an entry host at once.
type serverBatch []dispatcher.Input

// runningBefore is how long backend servers have run when the replay begins.
const runningBefore = time.Hour

// backendServer is the place of one fake backend server.
type backendServer struct {
	replay      *replay
	id          identifier.BackendServerID
	place       *fakenetwork.Place
	incarnation uint64
	process     *fakebackend.Server
}

func (replay *replay) addServer(id identifier.BackendServerID, domain identifier.FailureDomain) {
	server := &backendServer{replay: replay, id: id}
	server.place = replay.network.AddPlace(fakenetwork.Address(id), domain)
	for _, host := range replay.hosts {
		if host.domain == domain {
			replay.network.Link(server.place, host.place)
		}
	}
	replay.servers = append(replay.servers, server)
	replay.serverByID[id] = server
}

func (server *backendServer) start() {
	server.incarnation++
	deployment := &server.replay.trace.Deployment
	server.process = &fakebackend.Server{
		ID:          server.id,
		Slots:       deployment.Slots,
		Connections: deployment.Connections,
		Incarnation: server.incarnation,
		World:       server,
		StartedAt:   server.Now(),
	}
	if server.incarnation == 1 {
		// The trace begins in the midst of an ordinary day.
		server.process.StartedAt = server.Now().Add(-runningBefore)
	}
	server.process.Run()
	server.replay.network.Start(server.place, &serverProcess{server: server, process: server.process})
}

func (server *backendServer) die() {
	if server.process == nil {
		return
	}
	server.process.Die()
	server.process = nil
	server.replay.network.Stop(server.place)
}

// comeBack ends every fault that the server has.
func (server *backendServer) comeBack() {
	server.replay.network.Isolate(server.place, false)
	server.replay.checker.OnServerReturned(server.id)
	if server.process == nil {
		server.start()
		return
	}
	server.process.Return()
}

func (server *backendServer) leave(at identifier.Moment) {
	if server.process != nil {
		server.replay.checker.OnServerLeaving(server.id, at)
		server.process.Leave()
	}
}

// Now returns the virtual moment.
func (server *backendServer) Now() identifier.Moment { return server.replay.clock.Now() }

// At schedules an action.
func (server *backendServer) At(moment identifier.Moment, action func()) {
	server.replay.clock.At(moment, action)
}

// ToHost sends one batch.
func (server *backendServer) ToHost(host identifier.HostID, parts []dispatcher.Input) {
	server.replay.ledger.hostBatch(host, parts)
	server.replay.network.Send(server.place, fakenetwork.Address(host), serverBatch(parts))
}

// Started tells the checker and the ledger of a start.
func (server *backendServer) Started(id identifier.BackendServerID, start *dispatcher.Start) {
	begun := TaskStart{BackendServer: id, Submission: start.Submission, Job: start.Job, Task: start.Task, Repeatable: true}
	if known := server.replay.submissions[start.Submission]; known != nil {
		begun.Caller = known.job.Caller
		begun.Repeatable = known.job.Repeatable
	}
	server.replay.checker.OnTaskStarted(begun, server.Now())
	server.replay.ledger.started(id, start.TaskKey)
}

// serverProcess connects one life of a backend server to the network.
type serverProcess struct {
	server  *backendServer
	process *fakebackend.Server
}

// Connected opens a stream.
func (process *serverProcess) Connected(peer fakenetwork.Address) {
	process.process.Connected(identifier.HostID(peer))
}

// Disconnected ends a stream.
func (process *serverProcess) Disconnected(peer fakenetwork.Address) {
	process.process.Disconnected(identifier.HostID(peer))
}

// Receive takes one batch.
func (process *serverProcess) Receive(from fakenetwork.Address, message any) {
	process.process.Receive(identifier.HostID(from), message.(*dispatcher.ToServer))
}
