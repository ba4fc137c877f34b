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

// Times of the calls to backend servers, as a transport would keep them.
const (
	callTimeout = 150 * time.Millisecond
	holdSlack   = 250 * time.Millisecond
	// longestLease is what a backend server shortens leases to.
	longestLease = time.Second
	// longWork is how many times the usual some tasks take, so that their caller comes
	// back while they are at work.
	longWork = 10
)

// calledWorld is a set of backend servers that are called, in the network's virtual time,
// with an oracle: a task never runs twice at the same time, nothing of a refused job ever
// starts, and every caller is answered.
type calledWorld struct {
	network *network
	draw    *rapid.T
	servers map[identifier.ServerIncarnation]*calledServer
	// trouble is the share of calls, of 100, that go wrong.
	trouble int
	// harsh is nil where only whole hosts, servers and calls fail.
	harsh *harshFaults
	// orders is nil where no failure domain is evacuated.
	orders  *orders
	running map[string]identifier.ServerIncarnation
	refused map[identifier.JobID]bool
	begun   map[identifier.JobID]bool
	// resent are the jobs that a caller sent again, of which an earlier sending may have run.
	resent   map[identifier.JobID]bool
	waiting  map[supervisor.WaiterID]identifier.JobID
	next     supervisor.WaiterID
	problems []string
	// history is what was decided, for whoever has to explain a problem.
	history []string
}

// calledServer runs tasks under leases on a clock that may be slow.
type calledServer struct {
	world *calledWorld
	card  messenger.ServerCard
	// place numbers the server's address; one life after the other stands there.
	place  int
	began  identifier.Moment
	slow   int
	fence  identifier.Epoch
	until  identifier.ServerTime
	runs   map[string]*calledRun
	past   map[string]identifier.RunNumber
	ended  []allocator.RunEnd
	number int64
	// waits are the calls that wait for an end.
	waits []func()
	dead  bool
	// mute tells that the server announces itself no more, though it lives.
	mute bool
}

type calledRun struct{ key messenger.RunKey }

func taskOf(key messenger.RunKey) string { return fmt.Sprintf("%s/%d", key.Job, key.Task) }

func newCalledWorld(network *network, draw *rapid.T, servers int) *calledWorld {
	created := &calledWorld{
		network: network, draw: draw, servers: make(map[identifier.ServerIncarnation]*calledServer),
		running: make(map[string]identifier.ServerIncarnation), refused: make(map[identifier.JobID]bool),
		begun: make(map[identifier.JobID]bool), resent: make(map[identifier.JobID]bool), waiting: make(map[supervisor.WaiterID]identifier.JobID),
	}
	network.called = created
	for index := range servers {
		created.startServer(index, 1)
	}
	return created
}

func (world *calledWorld) startServer(index, life int) {
	id := world.incarnationOf(index, life)
	server := &calledServer{
		world: world, place: index, began: world.network.now, slow: world.chance("slow", 20),
		runs: make(map[string]*calledRun), past: make(map[string]identifier.RunNumber),
		card: messenger.ServerCard{
			Server: id, Service: "desk", Address: fmt.Sprintf("address-%d", index), FailureDomain: world.domainOf(index),
			Capacity: identifier.Resources{MilliCPU: 3000, Memory: 1 << 30},
		},
	}
	world.servers[id] = server
	server.beat()
}

// incarnationOf names one life at an address.
func (world *calledWorld) incarnationOf(index, life int) identifier.ServerIncarnation {
	if world.harsh == nil || !world.harsh.kinds.sameIDs {
		return identifier.ServerIncarnation(fmt.Sprintf("called-%d-%d", index, life))
	}
	// Each second life is dated before the one that it follows.
	const middle = 1 << 20
	born := identifier.UnixMilliseconds(middle + life)
	if life%2 == 0 {
		born = identifier.UnixMilliseconds(middle - life)
	}
	return identifier.NewServerIncarnation(identifier.BackendServerID(fmt.Sprintf("called-%d", index)), born)
}

// domainOf spreads the servers over the failure domains of the network.
func (world *calledWorld) domainOf(index int) identifier.FailureDomain {
	var domains []identifier.FailureDomain
	for _, host := range world.network.hosts {
		if !slices.Contains(domains, host.domain) {
			domains = append(domains, host.domain)
		}
	}
	return domains[index%len(domains)]
}

// chance draws a number up to bound; a world that draws nothing gets the highest, with
// which nothing goes wrong.
func (world *calledWorld) chance(label string, bound int) int {
	if world.draw == nil {
		return bound
	}
	return rapid.IntRange(0, bound).Draw(world.draw, label)
}

// beat announces the server to some living host every half second.
func (server *calledServer) beat() {
	if server.dead || server.mute {
		return
	}
	network := server.world.network
	server.card.Sequence++
	server.card.Clock = server.clock()
	card := server.card
	if harsh := server.world.harsh; harsh != nil {
		harsh.announce(server, card)
		network.at(heartbeat, server.beat)
		return
	}
	for _, host := range network.hosts {
		if host.coordinator != nil {
			network.tick(host, &coordinator.CardAnnounced{Card: card})
			break
		}
	}
	network.at(500*time.Millisecond, server.beat)
}

func (server *calledServer) clock() identifier.ServerTime {
	passed := server.world.network.now.Sub(server.began)
	return identifier.ServerTime((passed * time.Duration(1000-server.slow) / 1000).Milliseconds())
}

// crash ends the server's life; nothing of it runs any more.
func (server *calledServer) crash() {
	server.dead = true
	for _, run := range server.runs {
		delete(server.world.running, taskOf(run.key))
	}
	server.runs = nil
}

// call carries a call out after the way there, and answers after the way back; or it goes
// wrong: it is lost, its answer is lost, or it is carried out seconds later.
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
	delay, silent := hop, false
	if world.chance("call", 99) < world.trouble {
		switch world.chance("how", 2) {
		case 0:
			return
		case 1:
			silent = true
		case 2:
			delay, silent = time.Duration(2+world.chance("late", 10))*time.Second, true
		}
	}
	world.network.at(delay, func() {
		if server.dead {
			return
		}
		carryOut(server, func(run func()) {
			if !silent {
				reply(run)
			}
		})
	})
}

// carryOut takes the outputs that concern called servers and their callers.
func (world *calledWorld) carryOut(host *fakeHost, output coordinator.Output) {
	if world == nil {
		return
	}
	world.note(host, output)
	tick := func(event allocator.Input) { world.network.tick(host, &coordinator.AllocatorEvent{Event: event}) }
	switch output := output.(type) {
	case *coordinator.CallStart:
		start := output.Call
		started := func(outcome messenger.StartOutcome) {
			world.network.tick(host, &coordinator.StartEvent{Event: &starter.CallReturned{
				For: output.For, Returned: supervisor.StartReturned{Run: start.Run, Server: start.Server, Epoch: start.Epoch, Outcome: outcome},
			}})
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
	case *coordinator.CallHold:
		world.hold(host, output.Call, tick)
	case *coordinator.JobEnded:
		world.endJob(output.Ended)
	}
}

func (world *calledWorld) hold(host *fakeHost, hold *allocator.HoldServer, tick func(allocator.Input)) {
	returned := &allocator.HoldReturned{
		Server: hold.Server, Sequence: hold.Sequence, SentAt: identifier.Moment(world.network.now.Sub(host.startedAt)),
	}
	world.call(host, hold.Server, hold.Wait+holdSlack, func(server *calledServer, reply func(func())) {
		if hold.Epoch < server.fence {
			reply(func() {
				returned.Outcome = allocator.CallFenced
				tick(returned)
			})
			return
		}
		server.fence = hold.Epoch
		server.extend(hold.LeaseEnd)
		for len(server.ended) > 0 && server.ended[0].Number <= hold.Cursor {
			server.ended = server.ended[1:]
		}
		done := false
		finish := func() {
			if done || server.dead {
				return
			}
			done = true
			returned.Clock = server.clock()
			returned.Answering = server.card.Server
			returned.Ended = append([]allocator.RunEnd(nil), server.ended...)
			for _, run := range server.runsInOrder() {
				returned.Running = append(returned.Running, run.key)
			}
			reply(func() { tick(returned) })
		}
		if len(server.ended) > 0 || hold.Wait == 0 {
			finish()
			return
		}
		server.waits = append(server.waits, finish)
		world.network.at(hold.Wait, finish)
	}, func(outcome allocator.CallOutcome) {
		returned.Outcome = outcome
		tick(returned)
	})
}

func (server *calledServer) extend(until identifier.ServerTime) {
	server.until = max(server.until, min(until, server.clock()+identifier.ServerTime(longestLease.Milliseconds())))
	left := time.Duration(server.until-server.clock()+1) * time.Millisecond
	server.world.network.at(max(left, 0)*1000/time.Duration(1000-server.slow)+time.Millisecond, server.expire)
}

// runsInOrder lists what runs, so that a case that is played again goes the same way.
func (server *calledServer) runsInOrder() []*calledRun {
	var runs []*calledRun
	for _, run := range server.runs {
		runs = append(runs, run)
	}
	slices.SortFunc(runs, func(first, second *calledRun) int { return strings.Compare(taskOf(first.key), taskOf(second.key)) })
	return runs
}

// expire ends what has no lease any more.
func (server *calledServer) expire() {
	if server.dead || server.clock() <= server.until {
		return
	}
	for _, run := range server.runsInOrder() {
		server.end(run, allocator.EndLapsed)
	}
}

func (server *calledServer) start(start *supervisor.StartRun) messenger.StartOutcome {
	task := taskOf(start.Run)
	known := server.runs[task]
	if start.Epoch < server.fence {
		return messenger.StartFenced
	}
	server.fence = start.Epoch
	if start.LeaseEnd <= server.clock() && (known == nil || known.key != start.Run) && start.Run.Run > server.past[task] {
		return messenger.StartLeaseOver
	}
	server.extend(start.LeaseEnd)
	switch {
	case known != nil && known.key == start.Run:
		return messenger.StartAccepted
	case start.Run.Run <= server.past[task]:
		return messenger.StartStaleRun
	case len(server.runs) >= 3:
		return messenger.StartNoRoom
	}
	world := server.world
	if other, runs := world.running[task]; runs {
		world.problems = append(world.problems, fmt.Sprintf("%s runs on %s and starts on %s", task, other, server.card.Server))
	}
	if world.refused[start.Run.Job] && !world.resent[start.Run.Job] {
		world.problems = append(world.problems, fmt.Sprintf("%s starts after its job was refused as not run", task))
	}
	world.orders.check(server, task)
	world.running[task] = server.card.Server
	world.begun[start.Run.Job] = true
	run := &calledRun{key: start.Run}
	server.runs[task] = run
	kind := allocator.EndDone
	if world.chance("fails", 9) == 0 {
		kind = allocator.EndFailed
	}
	work := time.Duration(20+world.chance("work", 300)) * time.Millisecond
	if world.harsh != nil && world.chance("long", 4) == 0 {
		work *= longWork
	}
	world.network.at(work, func() { server.end(run, kind) })
	if world.harsh != nil {
		world.history = append(world.history, fmt.Sprintf("%v %s RUNS %s run %d epoch %d", time.Duration(world.network.now), server.card.Server, task, start.Run.Run, start.Epoch))
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
		server.world.history = append(server.world.history, fmt.Sprintf("%v %s ENDS %s run %d %s", time.Duration(server.world.network.now), server.card.Server, task, run.key.Run, kind))
	}
	server.past[task] = max(server.past[task], run.key.Run)
	server.number++
	server.ended = append(server.ended, allocator.RunEnd{Number: server.number, Run: run.key, Kind: kind})
	waits := server.waits
	server.waits = nil
	for _, finish := range waits {
		finish()
	}
}

func (server *calledServer) stop(stop *allocator.StopRun) allocator.CallOutcome {
	if stop.Epoch < server.fence {
		return allocator.CallFenced
	}
	server.fence = stop.Epoch
	task := taskOf(stop.Run)
	server.past[task] = max(server.past[task], stop.Run.Run)
	if run := server.runs[task]; run != nil && run.key.Run <= stop.Run.Run {
		server.world.network.at(40*time.Millisecond, func() { server.end(run, allocator.EndStopped) })
	}
	return allocator.CallAnswered
}

// submit sends a job to a host.
func (world *calledWorld) submit(host *fakeHost, id identifier.JobID, tasks int) {
	if host.coordinator == nil {
		return
	}
	world.next++
	job := supervisor.Job{Job: id, Service: "desk", Queue: "quick", Attempts: 3, Stretch: 1.6, Allowance: time.Second}
	for index := range tasks {
		job.Tasks = append(job.Tasks, messenger.RoomTask{
			Task: messenger.TaskIndex(index), Needs: identifier.Resources{MilliCPU: 1000, Memory: 1 << 20}, Declared: 100 * time.Millisecond,
		})
	}
	world.waiting[world.next] = id
	generation, waiter := host.generation, world.next
	deadline := identifier.Moment(world.network.now.Sub(host.startedAt)).Add(4 * time.Second)
	world.network.tick(host, &coordinator.SupervisorEvent{Event: &supervisor.JobArrived{Waiter: waiter, Job: job, Deadline: deadline}})
	world.network.at(5*time.Second, func() {
		if _, waits := world.waiting[waiter]; waits && host.generation == generation && world.harsh == nil {
			world.problems = append(world.problems, fmt.Sprintf("%s has no answer a second after its deadline", id))
		}
	})
}

func (world *calledWorld) endJob(ended *supervisor.JobEnded) {
	delete(world.waiting, ended.Waiter)
	if world.harsh != nil {
		world.harsh.answered(ended)
	}
	if ended.Outcome == supervisor.OutcomeRefused {
		if world.begun[ended.Job] && !world.resent[ended.Job] {
			world.problems = append(world.problems, fmt.Sprintf("%s was refused as not run, but had begun", ended.Job))
		}
		world.refused[ended.Job] = true
	}
}

// note keeps what was decided, to be shown with a problem.
func (world *calledWorld) note(host *fakeHost, output coordinator.Output) {
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
