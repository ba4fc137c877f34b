package coordinator_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"github.com/stoathitch/stoathitch/pkg/allocator"
	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/starter"
	"github.com/stoathitch/stoathitch/pkg/supervisor"
)

// Timeouts of the calls to backend servers, as a transport would apply them.
const (
	callTimeout = 150 * time.Millisecond
	pollSlack   = 250 * time.Millisecond
	// usualMaxLease is the longest lease that backend servers accept in most worlds.
	usualMaxLease = time.Second
	// longWorkFactor multiplies the run time of some tasks, so that their caller resubmits the job
	// while they still run.
	longWorkFactor = 10
)

// calledWorld simulates called backend servers in the network's virtual time and checks that a task
// never runs twice at the same time, that no task of a refused job ever starts, and that every
// caller is answered.
type calledWorld struct {
	network *network
	draw    *rapid.T
	servers map[identifier.ServerIncarnation]*calledServer
	// maxLease is the longest lease that a backend server accepts; it shortens longer ones.
	maxLease time.Duration
	// failurePercent is how many calls of 100 fail.
	failurePercent int
	// harsh is nil if only whole hosts, servers and calls fail.
	harsh *harshFaults
	// evacuations is nil if no failure domain is evacuated.
	evacuations *evacuations
	// disturbStart disturbs a start call; nil disturbs none.
	disturbStart func(start *supervisor.StartRun) startDisturbance
	// workOf returns how long a run takes and how it ends; nil draws both.
	workOf func(key messenger.RunKey) (time.Duration, allocator.EndKind)
	// jobEnded is called for each job that ends, unless it is nil.
	jobEnded func(ended *supervisor.JobEnded)
	// chooseHost chooses the host that a report is sent to; nil chooses the first running one.
	chooseHost func(report *messenger.ServerReport) *fakeHost
	running    map[string]identifier.ServerIncarnation
	refused    map[identifier.JobID]bool
	started    map[identifier.JobID]bool
	// resent are the resubmitted jobs, of which an earlier submission may have run.
	resent     map[identifier.JobID]bool
	waiting    map[supervisor.WaiterID]identifier.JobID
	lastWaiter supervisor.WaiterID
	problems   []string
	// history lists the decisions, to be printed with a problem. Its texts stay as they are, since
	// saved cases hold them.
	history []string
}

// calledServer runs tasks under leases, on a clock that may run slow.
type calledServer struct {
	world  *calledWorld
	report messenger.ServerReport
	// address numbers the server's address; its incarnations follow one another there.
	address   int
	startedAt identifier.Moment
	// clockLag is by how many thousandths the server's clock runs slow.
	clockLag     int
	highestEpoch identifier.Epoch
	// leaseEnd is when the lease of all runs ends, on the server's clock.
	leaseEnd identifier.ServerTime
	runs     map[string]*calledRun
	// lastRuns are the highest numbers of ended or stopped runs, by task.
	lastRuns      map[string]identifier.RunNumber
	ended         []allocator.RunEnd
	lastEndNumber int64
	// pendingPolls are the polls that wait for the end of a run.
	pendingPolls []func()
	dead         bool
	// kind is the size and speed of the server.
	kind serverKind
	// unannounced is set if the server sends no more reports although it is alive.
	unannounced bool
}

// startDisturbance is what happens to a start call.
type startDisturbance struct {
	// unanswered has the caller wait for an answer in vain.
	unanswered bool
	// arrives has an unanswered call arrive after the delay, at whichever process has the server's id
	// then.
	arrives bool
	delay   time.Duration
}

type calledRun struct{ key messenger.RunKey }

func taskOf(key messenger.RunKey) string { return fmt.Sprintf("%s/%d", key.Job, key.Task) }

func newCalledWorld(network *network, draw *rapid.T, servers int) *calledWorld {
	created := &calledWorld{
		network: network, draw: draw, maxLease: usualMaxLease, servers: make(map[identifier.ServerIncarnation]*calledServer),
		running: make(map[string]identifier.ServerIncarnation), refused: make(map[identifier.JobID]bool),
		started: make(map[identifier.JobID]bool), resent: make(map[identifier.JobID]bool), waiting: make(map[supervisor.WaiterID]identifier.JobID),
	}
	network.called = created
	for index := range servers {
		created.startServer(index, 1)
	}
	return created
}

func (world *calledWorld) startServer(index, incarnation int) {
	id := world.incarnationOf(index, incarnation)
	server := &calledServer{
		world: world, address: index, startedAt: world.network.now, clockLag: world.chance("slow", 20),
		runs: make(map[string]*calledRun), lastRuns: make(map[string]identifier.RunNumber), kind: world.drawServerKind(),
		report: messenger.ServerReport{
			Server: id, Service: "desk", Address: fmt.Sprintf("address-%d", index), FailureDomain: world.failureDomainOf(index),
			Capacity: identifier.Resources{Memory: 1 << 30},
		},
	}
	server.report.Capacity.MilliCPU = identifier.MilliCPU(server.kind.room) * taskCPU
	world.servers[id] = server
	server.announce()
}

// incarnationOf returns the id of the given incarnation at an address.
func (world *calledWorld) incarnationOf(index, number int) identifier.ServerIncarnation {
	if world.harsh == nil || !world.harsh.kinds.sameIDs {
		return identifier.ServerIncarnation(fmt.Sprintf("called-%d-%d", index, number))
	}
	// Every second incarnation has an earlier start time than the one before it.
	const middle = 1 << 20
	startedAt := identifier.UnixMilliseconds(middle + number)
	if number%2 == 0 {
		startedAt = identifier.UnixMilliseconds(middle - number)
	}
	return identifier.NewServerIncarnation(identifier.BackendServerID(fmt.Sprintf("called-%d", index)), startedAt)
}

// failureDomainOf spreads the servers over the failure domains of the network.
func (world *calledWorld) failureDomainOf(index int) identifier.FailureDomain {
	var domains []identifier.FailureDomain
	for _, host := range world.network.hosts {
		if !slices.Contains(domains, host.domain) {
			domains = append(domains, host.domain)
		}
	}
	return domains[index%len(domains)]
}

// chance draws a number from 0 to bound. Without a draw it returns bound, with which nothing fails.
func (world *calledWorld) chance(label string, bound int) int {
	if world.draw == nil {
		return bound
	}
	return rapid.IntRange(0, bound).Draw(world.draw, label)
}

// announce sends a report to the first running host every half second, or under harsh faults to a
// drawn host every heartbeatInterval.
func (server *calledServer) announce() {
	if server.dead || server.unannounced {
		return
	}
	network := server.world.network
	server.report.Sequence++
	server.report.Clock = server.clock()
	report := server.report
	if harsh := server.world.harsh; harsh != nil {
		harsh.announceLater(server, report)
		network.at(heartbeatInterval, server.announce)
		return
	}
	if host := server.world.announcesTo(&report); host != nil {
		network.tick(host, &coordinator.ServerReportAnnounced{Report: report})
	}
	network.at(500*time.Millisecond, server.announce)
}

// announcesTo returns the host that a report is sent to, the first running one unless the world has
// a choice of its own.
func (world *calledWorld) announcesTo(report *messenger.ServerReport) *fakeHost {
	if world.chooseHost != nil {
		return world.chooseHost(report)
	}
	for _, host := range world.network.hosts {
		if host.coordinator != nil {
			return host
		}
	}
	return nil
}

func (server *calledServer) clock() identifier.ServerTime {
	passed := server.world.network.now.Sub(server.startedAt)
	return identifier.ServerTime((passed * time.Duration(1000-server.clockLag) / 1000).Milliseconds())
}

// crash ends the server's process and all of its runs.
func (server *calledServer) crash() {
	server.dead = true
	for _, run := range server.runs {
		delete(server.world.running, taskOf(run.key))
	}
	server.runs = nil
}

// call carries out a call after one hop and answers after another. It may fail instead: the call is
// lost, its answer is lost, or it is carried out seconds later without an answer.
func (world *calledWorld) call(host *fakeHost, id identifier.ServerIncarnation, timeout time.Duration, carryOut func(server *calledServer, reply func(answer func())), answer func(outcome allocator.CallOutcome)) {
	if world.harsh != nil {
		world.harsh.call(host, id, timeout, carryOut, answer)
		return
	}
	generation := host.generation
	answered := false
	reply := func(run func()) {
		world.network.at(hop, func() {
			if !answered && host.generation == generation {
				answered = true
				run()
			}
		})
	}
	world.network.at(timeout, func() {
		if !answered && host.generation == generation {
			answered = true
			answer(allocator.CallUnanswered)
		}
	})
	server := world.servers[id]
	if server == nil {
		return
	}
	delay, answerLost := hop, false
	if world.chance("call", 99) < world.failurePercent {
		switch world.chance("how", 2) {
		case 0:
			return
		case 1:
			answerLost = true
		case 2:
			delay, answerLost = time.Duration(2+world.chance("late", 10))*time.Second, true
		}
	}
	world.network.at(delay, func() {
		if server.dead {
			return
		}
		carryOut(server, func(run func()) {
			if !answerLost {
				reply(run)
			}
		})
	})
}

// carryOut handles the outputs that concern called servers and their callers.
func (world *calledWorld) carryOut(host *fakeHost, output coordinator.Output) {
	if world == nil {
		return
	}
	world.recordDecision(host, output)
	tick := func(event allocator.Input) { world.network.tick(host, &coordinator.AllocatorEvent{Event: event}) }
	switch output := output.(type) {
	case *coordinator.CallStart:
		start := output.Call
		started := func(outcome messenger.StartOutcome) {
			world.network.tick(host, &coordinator.StartEvent{Event: &starter.CallReturned{
				For: output.For, Returned: supervisor.StartReturned{Run: start.Run, Server: start.Server, Epoch: start.Epoch, Outcome: outcome},
			}})
		}
		if world.startDisturbed(start, started) {
			return
		}
		world.call(host, start.Server, callTimeout, func(server *calledServer, reply func(func())) {
			outcome := server.start(start)
			reply(func() { started(outcome) })
		}, func(outcome allocator.CallOutcome) {
			if outcome == allocator.CallGone {
				started(messenger.StartServerGone)
				return
			}
			started(messenger.StartUnanswered)
		})
	case *coordinator.CallStop:
		stop := output.Call
		stopped := func(outcome allocator.CallOutcome) {
			tick(&allocator.StopReturned{Epoch: stop.Epoch, Server: stop.Server, Run: stop.Run, Outcome: outcome})
		}
		world.call(host, stop.Server, callTimeout, func(server *calledServer, reply func(func())) {
			outcome := server.stop(stop)
			reply(func() { stopped(outcome) })
		}, stopped)
	case *coordinator.CallPoll:
		world.poll(host, output.Call, tick)
	case *coordinator.JobEnded:
		world.handleJobEnded(output.Ended)
	}
}

// startDisturbed carries out a start call that is disturbed, and reports whether it is.
func (world *calledWorld) startDisturbed(start *supervisor.StartRun, started func(outcome messenger.StartOutcome)) bool {
	if world.disturbStart == nil {
		return false
	}
	disturbance := world.disturbStart(start)
	if !disturbance.unanswered {
		return false
	}
	world.network.at(callTimeout, func() { started(messenger.StartUnanswered) })
	if disturbance.arrives {
		address := world.servers[start.Server].address
		world.network.at(hop+disturbance.delay, func() {
			if server := world.harsh.serverAt(address); server != nil {
				server.start(start)
			}
		})
	}
	return true
}

func (world *calledWorld) poll(host *fakeHost, call *allocator.PollServer, tick func(allocator.Input)) {
	returned := &allocator.PollReturned{
		Server: call.Server, Sequence: call.Sequence, SentAt: identifier.Moment(world.network.now.Sub(host.startedAt)),
	}
	world.call(host, call.Server, call.Wait+pollSlack, func(server *calledServer, reply func(func())) {
		if call.Epoch < server.highestEpoch {
			reply(func() {
				returned.Outcome = allocator.CallFenced
				tick(returned)
			})
			return
		}
		server.highestEpoch = call.Epoch
		server.extendLease(call.LeaseEnd)
		for len(server.ended) > 0 && server.ended[0].Number <= call.Cursor {
			server.ended = server.ended[1:]
		}
		done := false
		finish := func() {
			if done || server.dead {
				return
			}
			done = true
			returned.Clock = server.clock()
			returned.Answering = server.report.Server
			returned.Ended = append([]allocator.RunEnd(nil), server.ended...)
			for _, run := range server.runsInOrder() {
				returned.Running = append(returned.Running, run.key)
			}
			reply(func() { tick(returned) })
		}
		if len(server.ended) > 0 || call.Wait == 0 {
			finish()
			return
		}
		server.pendingPolls = append(server.pendingPolls, finish)
		world.network.at(call.Wait, finish)
	}, func(outcome allocator.CallOutcome) {
		returned.Outcome = outcome
		tick(returned)
	})
}

func (server *calledServer) extendLease(leaseEnd identifier.ServerTime) {
	server.leaseEnd = max(server.leaseEnd, min(leaseEnd, server.clock()+identifier.ServerTime(server.world.maxLease.Milliseconds())))
	remaining := time.Duration(server.leaseEnd-server.clock()+1) * time.Millisecond
	server.world.network.at(max(remaining, 0)*1000/time.Duration(1000-server.clockLag)+time.Millisecond, server.endExpiredRuns)
}

// runsInOrder returns the runs in a fixed order, so that a replayed case takes the same course.
func (server *calledServer) runsInOrder() []*calledRun {
	var runs []*calledRun
	for _, run := range server.runs {
		runs = append(runs, run)
	}
	slices.SortFunc(runs, func(first, second *calledRun) int { return strings.Compare(taskOf(first.key), taskOf(second.key)) })
	return runs
}

// endExpiredRuns ends all runs once the server's lease has expired.
func (server *calledServer) endExpiredRuns() {
	if server.dead || server.clock() <= server.leaseEnd {
		return
	}
	for _, run := range server.runsInOrder() {
		server.end(run, allocator.EndLapsed)
	}
}

func (server *calledServer) start(start *supervisor.StartRun) messenger.StartOutcome {
	task := taskOf(start.Run)
	current := server.runs[task]
	if start.Epoch < server.highestEpoch {
		return messenger.StartFenced
	}
	server.highestEpoch = start.Epoch
	if start.LeaseEnd <= server.clock() && (current == nil || current.key != start.Run) && start.Run.Run > server.lastRuns[task] {
		return messenger.StartLeaseOver
	}
	server.extendLease(start.LeaseEnd)
	switch {
	case current != nil && current.key == start.Run:
		return messenger.StartAccepted
	case start.Run.Run <= server.lastRuns[task]:
		return messenger.StartStaleRun
	case len(server.runs) >= server.kind.room:
		return messenger.StartNoRoom
	}
	world := server.world
	if other, runs := world.running[task]; runs {
		world.problems = append(world.problems, fmt.Sprintf("%s runs on %s and starts on %s", task, other, server.report.Server))
	}
	if world.refused[start.Run.Job] && !world.resent[start.Run.Job] {
		world.problems = append(world.problems, fmt.Sprintf("%s starts after its job was refused as not run", task))
	}
	world.evacuations.checkStart(server, task)
	world.running[task] = server.report.Server
	world.started[start.Run.Job] = true
	run := &calledRun{key: start.Run}
	server.runs[task] = run
	kind := allocator.EndDone
	if world.chance("fails", 9) == 0 {
		kind = allocator.EndFailed
	}
	work := time.Duration(20+world.chance("work", 300)) * time.Millisecond
	if world.harsh != nil && world.chance("long", 4) == 0 {
		work *= longWorkFactor
	}
	if world.workOf != nil {
		work, kind = world.workOf(start.Run)
	}
	work = work * time.Duration(server.kind.workPermille) / 1000
	world.network.at(work, func() { server.end(run, kind) })
	if world.harsh != nil {
		world.history = append(world.history, fmt.Sprintf("%v %s RUNS %s run %d epoch %d", time.Duration(world.network.now), server.report.Server, task, start.Run.Run, start.Epoch))
	}
	return messenger.StartAccepted
}

func (server *calledServer) end(run *calledRun, kind allocator.EndKind) {
	task := taskOf(run.key)
	if server.dead || server.runs[task] != run {
		return
	}
	delete(server.runs, task)
	delete(server.world.running, task)
	if server.world.harsh != nil {
		server.world.history = append(server.world.history, fmt.Sprintf("%v %s ENDS %s run %d %s", time.Duration(server.world.network.now), server.report.Server, task, run.key.Run, kind))
	}
	server.lastRuns[task] = max(server.lastRuns[task], run.key.Run)
	server.lastEndNumber++
	server.ended = append(server.ended, allocator.RunEnd{Number: server.lastEndNumber, Run: run.key, Kind: kind})
	polls := server.pendingPolls
	server.pendingPolls = nil
	for _, finish := range polls {
		finish()
	}
}

func (server *calledServer) stop(stop *allocator.StopRun) allocator.CallOutcome {
	if stop.Epoch < server.highestEpoch {
		return allocator.CallFenced
	}
	server.highestEpoch = stop.Epoch
	task := taskOf(stop.Run)
	server.lastRuns[task] = max(server.lastRuns[task], stop.Run.Run)
	if run := server.runs[task]; run != nil && run.key.Run <= stop.Run.Run {
		server.world.network.at(40*time.Millisecond, func() { server.end(run, allocator.EndStopped) })
	}
	return allocator.CallAnswered
}

// submit sends a job to a host with a deadline in 4 seconds.
func (world *calledWorld) submit(host *fakeHost, id identifier.JobID, tasks int) {
	if host.coordinator == nil {
		return
	}
	world.lastWaiter++
	job := supervisor.Job{Job: id, Service: "desk", Queue: "quick", Attempts: 3, Stretch: 1.6, Allowance: time.Second}
	for index := range tasks {
		job.Tasks = append(job.Tasks, messenger.TaskRequest{
			Task: messenger.TaskIndex(index), Needs: identifier.Resources{MilliCPU: taskCPU, Memory: 1 << 20}, Declared: 100 * time.Millisecond,
		})
	}
	world.waiting[world.lastWaiter] = id
	generation, waiter := host.generation, world.lastWaiter
	deadline := identifier.Moment(world.network.now.Sub(host.startedAt)).Add(4 * time.Second)
	world.network.tick(host, &coordinator.SupervisorEvent{Event: &supervisor.JobArrived{Waiter: waiter, Job: job, Deadline: deadline}})
	world.network.at(5*time.Second, func() {
		if _, waits := world.waiting[waiter]; waits && host.generation == generation && world.harsh == nil {
			world.problems = append(world.problems, fmt.Sprintf("%s has no answer a second after its deadline", id))
		}
	})
}

func (world *calledWorld) handleJobEnded(ended *supervisor.JobEnded) {
	delete(world.waiting, ended.Waiter)
	if world.jobEnded != nil {
		world.jobEnded(ended)
	}
	if world.harsh != nil {
		world.harsh.handleJobEnded(ended)
	}
	if ended.Outcome == supervisor.OutcomeRefused {
		if world.started[ended.Job] && !world.resent[ended.Job] {
			world.problems = append(world.problems, fmt.Sprintf("%s was refused as not run, but had begun", ended.Job))
		}
		world.refused[ended.Job] = true
	}
}

// recordDecision adds decisions and start calls to the history, which is printed with a problem.
func (world *calledWorld) recordDecision(host *fakeHost, output coordinator.Output) {
	at := time.Duration(world.network.now)
	switch output := output.(type) {
	case *coordinator.Decided:
		decision := output.Decision
		world.history = append(world.history, fmt.Sprintf("%v %s %s %s/%d run %d server %s to %s reason %s epoch %d",
			at, host.id, decision.Kind, decision.Job, decision.Task, decision.Run, decision.Server, decision.Host, decision.Reason, decision.Epoch))
	case *coordinator.CallStart:
		world.history = append(world.history, fmt.Sprintf("%v %s starts %s/%d run %d on %s epoch %d", at, host.id,
			output.Call.Run.Job, output.Call.Run.Task, output.Call.Run.Run, output.Call.Server, output.Call.Epoch))
	}
}
