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

// The daemon's own timing of a graceful shutdown.
const (
	balancerGrace    = time.Second
	shutdownDeadline = 30 * time.Second
)

// entryHost is the place of one entry host, with the process that lives there.
type entryHost struct {
	replay      *replay
	id          identifier.HostID
	domain      identifier.FailureDomain
	place       *fakenetwork.Place
	incarnation uint64
	process     *hostProcess
	// startAgain tells to start as soon as the shutdown has ended.
	startAgain bool
	// disk is nil on a host that is no keeper.
	disk *fakedisk.Disk
}

// hostProcess drives one life of a coordinator as pkg/runner does: a tick as soon
// as there is input or a deadline falls due. Its clock starts at its own zero.
type hostProcess struct {
	host        *entryHost
	replay      *replay
	bootedAt    identifier.Moment
	coordinator *coordinator.Coordinator
	inbox       []coordinator.Input
	tickDue     bool
	wakeAt      identifier.Moment
	// notReady tells the balancer to send no new work; refusing refuses it.
	notReady bool
	refusing bool
	waiting  map[forwarder.WaiterID]*request
}

func (replay *replay) addHost(id identifier.HostID, domain identifier.FailureDomain) {
	host := &entryHost{replay: replay, id: id, domain: domain}
	host.place = replay.network.AddPlace(fakenetwork.Address(id), domain)
	for _, other := range replay.hosts {
		replay.network.Link(other.place, host.place)
	}
	replay.hosts = append(replay.hosts, host)
	replay.hostByID[id] = host
}

// start begins a life of the host with empty memory.
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
	process.mount()
	host.replay.network.Start(host.place, process)
	process.scheduleTick()
}

// stop ends the life of the host at once. Requests that wait see their connection
// close.
func (host *entryHost) stop() {
	if host.process == nil {
		return
	}
	host.process = nil
	if host.disk != nil {
		host.disk.Crash()
	}
	host.replay.network.Stop(host.place)
}

func (process *hostProcess) lives() bool { return process.host.process == process }

// now is the process's own monotonic clock.
func (process *hostProcess) now() identifier.Moment {
	return process.replay.clock.Now() - process.bootedAt
}

// post hands an input to the next tick.
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
	if !process.lives() {
		return
	}
	inputs := process.inbox
	process.inbox = nil
	outputs := process.coordinator.Tick(process.now(), inputs)
	for _, output := range outputs {
		process.carryOut(output)
	}
	process.arm()
}

// arm sees to it that the process ticks at its next deadline.
func (process *hostProcess) arm() {
	next := process.coordinator.NextDeadline()
	if next == identifier.Never || next >= process.wakeAt {
		return
	}
	process.wakeAt = next
	process.replay.clock.At(process.bootedAt+next, func() { process.wake(next) })
}

func (process *hostProcess) wake(at identifier.Moment) {
	if process.wakeAt != at || !process.lives() {
		return
	}
	process.wakeAt = identifier.Never
	process.scheduleTick()
}

func (process *hostProcess) carryOut(output coordinator.Output) {
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
	process.replay.ledger.peerBatch(process.host.id, output)
	process.replay.network.Send(process.host.place, fakenetwork.Address(output.Host), &output.Batch)
}

func (process *hostProcess) toServer(batch *dispatcher.ToServer) {
	process.replay.ledger.serverBatch(process.host.id, batch)
	process.replay.network.Send(process.host.place, fakenetwork.Address(batch.Server), batch)
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
	process.replay.ledger.callerAnswer(request)
	message := &callerAnswer{request: request, answer: answer}
	process.replay.network.Send(process.host.place, request.callers.place.Address, message)
}

// Connected posts that a connection stands.
func (process *hostProcess) Connected(peer fakenetwork.Address) {
	if host := process.replay.hostByID[identifier.HostID(peer)]; host != nil && process.lives() {
		process.post(&coordinator.PeerConnected{Host: host.id})
	}
}

// Disconnected posts that a connection has ended.
func (process *hostProcess) Disconnected(peer fakenetwork.Address) {
	if !process.lives() {
		return
	}
	if host := process.replay.hostByID[identifier.HostID(peer)]; host != nil {
		process.post(&coordinator.PeerDisconnected{Host: host.id})
	}
	if server := process.replay.serverByID[identifier.BackendServerID(peer)]; server != nil {
		process.post(&coordinator.ServerEvent{Event: &dispatcher.ServerLost{Server: server.id}})
	}
}

// Receive posts a message.
func (process *hostProcess) Receive(from fakenetwork.Address, message any) {
	if !process.lives() {
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
		process.serve(message)
	}
}

// serve takes a caller's request as pkg/receiver does.
func (process *hostProcess) serve(request *request) {
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

// shutDown begins a graceful shutdown in the daemon's steps.
func (process *hostProcess) shutDown() {
	process.notReady = true
	clock := process.replay.clock
	clock.At(clock.Now().Add(balancerGrace), func() {
		process.refusing = true
		process.post(&coordinator.ShutdownRequested{})
	})
	clock.At(clock.Now().Add(shutdownDeadline), process.endWaiting)
}

// endWaiting tells the callers that still wait that the process ends, and ends it.
func (process *hostProcess) endWaiting() {
	if !process.lives() {
		return
	}
	process.post(&coordinator.CallerEvent{Event: &forwarder.ShutdownStarted{}})
	clock := process.replay.clock
	clock.At(clock.Now(), process.end)
}

// end closes the process. Requests that still wait are cut off.
func (process *hostProcess) end() {
	if !process.lives() {
		return
	}
	process.cutOffWaiting()
	host := process.host
	host.stop()
	if host.startAgain {
		host.startAgain = false
		host.start()
	}
}

func (process *hostProcess) cutOffWaiting() {
	for _, request := range process.replay.requests {
		if process.waiting[request.waiter] == request {
			process.replay.checker.OnRequestCutOff(request.submission.job.Submission, process.host.id, process.replay.clock.Now())
		}
	}
}
