package replayer

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/replayer/fakebackend"
	"github.com/stoathitch/stoathitch/pkg/replayer/fakenetwork"
)

// serverBatch is one batch of messages from a backend server to an entry host.
type serverBatch []dispatcher.Input

// uptimeAtStart is the uptime of backend servers when the replay begins.
const uptimeAtStart = time.Hour

// backendServer connects one fake backend server to the replay, over all its incarnations.
type backendServer struct {
	replay      *replay
	id          identifier.BackendServerID
	node        *fakenetwork.Node
	incarnation uint64
	process     *fakebackend.Server
	kind        serverKind
}

func (replay *replay) addServer(id identifier.BackendServerID, domain identifier.FailureDomain) {
	server := &backendServer{replay: replay, id: id, kind: replay.fleet.drawServer()}
	server.node = replay.network.AddNode(fakenetwork.Address(id), domain)
	for _, host := range replay.hosts {
		if host.domain == domain {
			replay.network.Link(server.node, host.node)
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
		Slots:       server.kind.slotsOf(deployment.Slots),
		WorkFactor:  server.kind.workFactor,
		Connections: deployment.Connections,
		Incarnation: server.incarnation,
		Environment: server,
		StartedAt:   server.Now(),
	}
	if server.incarnation == 1 {
		// The trace begins in a cluster that has been running for a while.
		server.process.StartedAt = server.Now().Add(-uptimeAtStart)
	}
	server.process.Run()
	server.replay.network.Start(server.node, &serverProcess{server: server, process: server.process})
}

func (server *backendServer) die() {
	if server.process == nil {
		return
	}
	server.process.Die()
	server.process = nil
	server.replay.network.Stop(server.node)
}

// restore ends every fault of the server and starts it again if it died.
func (server *backendServer) restore() {
	server.replay.network.Isolate(server.node, false)
	server.replay.checker.OnServerReturned(server.id)
	if server.process == nil {
		server.start()
		return
	}
	server.process.Recover()
}

func (server *backendServer) leave(at identifier.Moment) {
	if server.process != nil {
		server.replay.checker.OnServerLeaving(server.id, at)
		server.process.Leave()
	}
}

// Now returns the current virtual moment.
func (server *backendServer) Now() identifier.Moment { return server.replay.clock.Now() }

// At schedules an action at a virtual moment.
func (server *backendServer) At(moment identifier.Moment, action func()) {
	server.replay.clock.At(moment, action)
}

// ToHost counts one batch and sends it to an entry host.
func (server *backendServer) ToHost(host identifier.HostID, parts []dispatcher.Input) {
	server.replay.traffic.hostBatch(host, parts)
	server.replay.network.Send(server.node, fakenetwork.Address(host), serverBatch(parts))
}

// Started records a start in the checker and in the message traffic.
func (server *backendServer) Started(id identifier.BackendServerID, start *dispatcher.Start) {
	taskStart := TaskStart{BackendServer: id, Submission: start.Submission, Job: start.Job, Task: start.Task, Repeatable: true}
	if known := server.replay.submissions[start.Submission]; known != nil {
		taskStart.Caller = known.job.Caller
		taskStart.Repeatable = known.job.Repeatable
	}
	server.replay.checker.OnTaskStarted(taskStart, server.Now())
	server.replay.traffic.started(id, start.TaskKey)
}

// serverProcess connects one incarnation of a backend server to the network.
type serverProcess struct {
	server  *backendServer
	process *fakebackend.Server
}

// Connected notifies the server of a stream that opened to an entry host.
func (process *serverProcess) Connected(peer fakenetwork.Address) {
	process.process.Connected(identifier.HostID(peer))
}

// Disconnected notifies the server of a stream that ended.
func (process *serverProcess) Disconnected(peer fakenetwork.Address) {
	process.process.Disconnected(identifier.HostID(peer))
}

// Receive passes one batch of an entry host to the server.
func (process *serverProcess) Receive(from fakenetwork.Address, message any) {
	process.process.Receive(identifier.HostID(from), message.(*dispatcher.ToServer))
}
