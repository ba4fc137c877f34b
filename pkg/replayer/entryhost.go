package replayer

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/forwarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/replayer/fakedisk"
	"github.com/stoathitch/stoathitch/pkg/replayer/fakenetwork"
)

// Durations of a graceful shutdown, the same as in the daemon.
const (
	balancerGrace    = time.Second
	shutdownDeadline = 30 * time.Second
)

// entryHost is one entry host of the deployment, with its current process if it runs.
type entryHost struct {
	replay      *replay
	id          identifier.HostID
	domain      identifier.FailureDomain
	node        *fakenetwork.Node
	incarnation uint64
	process     *hostProcess
	// restartAfterShutdown starts the host again as soon as its shutdown has ended.
	restartAfterShutdown bool
	// disk is nil on a host that isn't a keeper.
	disk *fakedisk.Disk
	// capacity is what the host states; zero states nothing.
	capacity identifier.HostCapacity
}

// hostProcess drives one incarnation of a coordinator as pkg/runner does: it ticks as soon as
// there is input or a deadline is due. Its clock starts at zero.
type hostProcess struct {
	host        *entryHost
	replay      *replay
	bootedAt    identifier.Moment
	coordinator *coordinator.Coordinator
	inbox       []coordinator.Input
	tickDue     bool
	wakeAt      identifier.Moment
	// notReady makes the balancer send no new work; refusing makes the host refuse it.
	notReady bool
	refusing bool
	waiting  map[forwarder.WaiterID]*request
}

func (replay *replay) addHost(id identifier.HostID, domain identifier.FailureDomain) {
	host := &entryHost{replay: replay, id: id, domain: domain, capacity: replay.fleet.drawHost()}
	host.node = replay.network.AddNode(fakenetwork.Address(id), domain)
	for _, other := range replay.hosts {
		replay.network.Link(other.node, host.node)
	}
	replay.hosts = append(replay.hosts, host)
	replay.hostByID[id] = host
}

// start starts a new incarnation of the host, without the memory of earlier ones.
func (host *entryHost) start() {
	host.incarnation++
	process := &hostProcess{
		host:        host,
		replay:      host.replay,
		bootedAt:    host.replay.clock.Now(),
		coordinator: host.replay.newCoordinator(host),
		wakeAt:      identifier.Never,
		waiting:     make(map[forwarder.WaiterID]*request),
	}
	host.process = process
	process.restoreFromDisk()
	host.replay.network.Start(host.node, process)
	process.scheduleTick()
}

// stop ends the host's process at once. The connections of waiting requests close.
func (host *entryHost) stop() {
	if host.process == nil {
		return
	}
	host.process = nil
	if host.disk != nil {
		host.disk.Crash()
	}
	host.replay.network.Stop(host.node)
}

func (process *hostProcess) running() bool { return process.host.process == process }

// now returns the process's monotonic time, which starts at zero at boot.
func (process *hostProcess) now() identifier.Moment {
	return process.replay.clock.Now() - process.bootedAt
}

// post queues an input for the next tick.
func (process *hostProcess) post(input coordinator.Input) {
	process.inbox = append(process.inbox, input)
	process.scheduleTick()
}

func (process *hostProcess) scheduleTick() {
	if process.tickDue {
		return
	}
	process.tickDue = true
	process.replay.clock.At(process.replay.clock.Now(), process.tick)
}

func (process *hostProcess) tick() {
	process.tickDue = false
	if !process.running() {
		return
	}
	inputs := process.inbox
	process.inbox = nil
	outputs := process.coordinator.Tick(process.now(), inputs)
	for _, output := range outputs {
		process.handleOutput(output)
	}
	process.scheduleNextDeadline()
}

// scheduleNextDeadline schedules a tick at the coordinator's next deadline.
func (process *hostProcess) scheduleNextDeadline() {
	next := process.coordinator.NextDeadline()
	if next == identifier.Never || next >= process.wakeAt {
		return
	}
	process.wakeAt = next
	process.replay.clock.At(process.bootedAt+next, func() { process.onDeadline(next) })
}

func (process *hostProcess) onDeadline(at identifier.Moment) {
	if process.wakeAt != at || !process.running() {
		return
	}
	process.wakeAt = identifier.Never
	process.scheduleTick()
}

func (process *hostProcess) handleOutput(output coordinator.Output) {
	switch output := output.(type) {
	case *coordinator.ToPeer:
		process.toPeer(output)
	case *coordinator.ToServer:
		process.toServer(output.Batch)
	case *coordinator.ToCaller:
		process.toCaller(output.Answer)
	case *coordinator.Persist:
		process.persist(output.Persist)
	case *coordinator.SaveSnapshot:
		process.saveSnapshot(output.Snapshot)
	case *coordinator.Drained:
		process.end()
	}
}

func (process *hostProcess) toPeer(output *coordinator.ToPeer) {
	process.replay.traffic.peerBatch(process.host.id, output)
	process.replay.network.Send(process.host.node, fakenetwork.Address(output.Host), &output.Batch)
}

func (process *hostProcess) toServer(batch *dispatcher.ToServer) {
	process.replay.traffic.serverBatch(process.host.id, batch)
	process.replay.network.Send(process.host.node, fakenetwork.Address(batch.Server), batch)
}

func (process *hostProcess) toCaller(answer *forwarder.AnswerCaller) {
	request := process.waiting[answer.Waiter]
	if request == nil {
		return
	}
	delete(process.waiting, answer.Waiter)
	process.respond(request, answer.Answer)
}

func (process *hostProcess) respond(request *request, answer *messenger.JobAnswer) {
	process.replay.traffic.callerAnswer(request)
	message := &callerAnswer{request: request, answer: answer}
	process.replay.network.Send(process.host.node, request.callers.node.Address, message)
}

// Connected notifies the coordinator of a new connection to another entry host.
func (process *hostProcess) Connected(peer fakenetwork.Address) {
	if host := process.replay.hostByID[identifier.HostID(peer)]; host != nil && process.running() {
		process.post(&coordinator.PeerConnected{Host: host.id})
	}
}

// Disconnected notifies the coordinator that a connection to a host or backend server has ended.
func (process *hostProcess) Disconnected(peer fakenetwork.Address) {
	if !process.running() {
		return
	}
	if host := process.replay.hostByID[identifier.HostID(peer)]; host != nil {
		process.post(&coordinator.PeerDisconnected{Host: host.id})
	}
	if server := process.replay.serverByID[identifier.BackendServerID(peer)]; server != nil {
		process.post(&coordinator.ServerEvent{Event: &dispatcher.ServerLost{Server: server.id}})
	}
}

// Receive passes messages of hosts, backend servers and callers to the coordinator.
func (process *hostProcess) Receive(from fakenetwork.Address, message any) {
	if !process.running() {
		return
	}
	switch message := message.(type) {
	case *coordinator.PeerBatch:
		process.post(&coordinator.PeerBatchArrived{From: identifier.HostID(from), Batch: *message})
	case serverBatch:
		for _, event := range message {
			process.post(&coordinator.ServerEvent{Event: event})
		}
	case *request:
		process.handleRequest(message)
	}
}

// handleRequest handles a caller's request as pkg/receiver does.
func (process *hostProcess) handleRequest(request *request) {
	if request.cancels {
		process.waiting[request.waiter] = request
		process.post(&coordinator.CallerEvent{Event: &forwarder.CallerCancelled{
			Waiter: request.waiter, Caller: request.submission.job.Caller, Submission: request.submission.job.Submission,
		}})
		return
	}
	if process.refusing {
		process.respond(request, messenger.RefuseUnknown(request.submission.job.Submission, messenger.ReasonShuttingDown, "the entry host shuts down"))
		return
	}
	deadline := request.submission.job.Deadline
	if deadline != identifier.Never {
		deadline = max(deadline-process.bootedAt, process.now())
	}
	process.waiting[request.waiter] = request
	process.post(&coordinator.CallerEvent{Event: &forwarder.CallerSubmitted{
		Waiter: request.waiter, Job: request.submission.message, Deadline: deadline,
	}})
}

// shutDown starts a graceful shutdown with the same steps as the daemon.
func (process *hostProcess) shutDown() {
	process.notReady = true
	clock := process.replay.clock
	clock.At(clock.Now().Add(balancerGrace), func() {
		process.refusing = true
		process.post(&coordinator.ShutdownRequested{})
	})
	clock.At(clock.Now().Add(shutdownDeadline), process.endWaiting)
}

// endWaiting has the coordinator answer the callers that still wait, and then ends the process.
func (process *hostProcess) endWaiting() {
	if !process.running() {
		return
	}
	process.post(&coordinator.CallerEvent{Event: &forwarder.ShutdownStarted{}})
	clock := process.replay.clock
	clock.At(clock.Now(), process.end)
}

// end ends the process and records the requests that it cuts off. It starts the host again if
// that was requested during the shutdown.
func (process *hostProcess) end() {
	if !process.running() {
		return
	}
	process.recordCutOffRequests()
	host := process.host
	host.stop()
	if host.restartAfterShutdown {
		host.restartAfterShutdown = false
		host.start()
	}
}

func (process *hostProcess) recordCutOffRequests() {
	for _, request := range process.replay.requests {
		if process.waiting[request.waiter] == request {
			process.replay.checker.OnRequestCutOff(request.submission.job.Submission, process.host.id, process.replay.clock.Now())
		}
	}
}
