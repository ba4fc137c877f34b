package coordinator_test

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/allocator"
	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/starter"
	"github.com/stoathitch/stoathitch/pkg/supervisor"
)

// Bounds of the platform on a cancelled job: none of its tasks starts later than cancelTime after the
// cancellation, and none runs stopTime longer than that.
const (
	cancelTime = 4 * time.Second
	stopTime   = 50 * time.Millisecond
)

// cancelWorld has one failure domain of four hosts, one starter for each server, and a job whose tasks
// run for minutes.
type cancelWorld struct {
	*lateStartWorld
	lead, host, starter *fakeHost
	// jobs are the submitted jobs by their callers' waiters.
	jobs map[supervisor.WaiterID]identifier.JobID
	// mayNotStart is set if the starts arrive so late that none may be accepted.
	mayNotStart bool
}

// longWork outlasts each bound by far.
const longWork = 5 * time.Minute

// callersLeaveAt is when the job's caller disconnects, after the submission.
const callersLeaveAt = 500 * time.Millisecond

// oneStarter is a limit of connections that leaves one starter for each server.
const oneStarter = 18

func newCancelWorld(t *testing.T) *cancelWorld {
	t.Helper()
	network := newNetworkWith([]identifier.FailureDomain{"leuven"}, 4, coordinator.DefaultSettings())
	called, harsh := newHarshWorld(network, nil, 1, harshKinds{sameIDs: true})
	network.advance(3 * time.Second)
	world := &cancelWorld{lateStartWorld: &lateStartWorld{calledWorld: called, harsh: harsh, calls: make(map[messenger.RunKey]int)}, jobs: make(map[supervisor.WaiterID]identifier.JobID)}
	world.workOf = func(messenger.RunKey) (time.Duration, allocator.EndKind) { return longWork, allocator.EndDone }
	limits := &starter.ConnectionLimitsChanged{Connections: map[identifier.ServiceName]int{"desk": oneStarter}}
	for _, host := range network.hosts {
		network.tick(host, &coordinator.StartEvent{Event: limits})
	}
	world.lead = network.leadOf("leuven")
	world.starter = world.findStarter(t)
	for _, host := range network.others(world.lead) {
		if host != world.starter {
			world.host = host
		}
	}
	return world
}

// findStarter returns the host that makes the start calls of the only server. It runs a job that ends
// at once.
func (world *cancelWorld) findStarter(t *testing.T) *fakeHost {
	t.Helper()
	work := world.workOf
	world.workOf = func(messenger.RunKey) (time.Duration, allocator.EndKind) { return time.Millisecond, allocator.EndDone }
	defer func() { world.workOf = work }()
	var found *fakeHost
	for _, host := range world.network.hosts {
		mark := len(world.history)
		world.harsh.submit(host, identifier.JobID("probe-"+string(host.id)), 1)
		world.network.advance(time.Second)
		for _, line := range world.history[mark:] {
			for _, caller := range world.network.hosts {
				if strings.Contains(line, string(caller.id)+" starts probe") {
					found = caller
				}
			}
		}
	}
	if found == nil {
		t.Fatal("no host starts anything")
	}
	return found
}

// begin submits the job of two tasks, with a deadline far away.
func (world *cancelWorld) begin() {
	world.begunAt = world.network.now
	world.submitLong("job")
}

// submitLong submits a job of two tasks that run for longWork.
func (world *cancelWorld) submitLong(id identifier.JobID) {
	world.lastWaiter++
	world.jobs[world.lastWaiter] = id
	job := supervisor.Job{Job: id, Service: "desk", Queue: "slow", Attempts: 3, Stretch: 1.6, Allowance: time.Second}
	for index := range 2 {
		job.Tasks = append(job.Tasks, messenger.TaskRequest{
			Task: messenger.TaskIndex(index), Needs: identifier.Resources{MilliCPU: 500, Memory: 1 << 20}, Declared: longWork,
		})
	}
	deadline := identifier.Moment(world.network.now.Sub(world.host.startedAt)).Add(2 * longWork)
	world.network.tick(world.host, &coordinator.SupervisorEvent{Event: &supervisor.JobArrived{Waiter: world.lastWaiter, Job: job, Deadline: deadline}})
}

// callersLeave disconnects the callers of all jobs.
func (world *cancelWorld) callersLeave() {
	for _, waiter := range slices.Sorted(maps.Keys(world.jobs)) {
		world.network.tick(world.host, &coordinator.SupervisorEvent{Event: &supervisor.CallerLeft{Waiter: waiter, Job: world.jobs[waiter]}})
	}
}

// runs reports whether a task of the jobs runs.
func (world *cancelWorld) runs() bool {
	for task := range world.running {
		if strings.HasPrefix(task, "job") {
			return true
		}
	}
	return false
}

// expectEndInTime expects that no task runs from the bound on after the caller has left.
func (world *cancelWorld) expectEndInTime(t *testing.T) {
	t.Helper()
	const step = 10 * time.Millisecond
	var lastRun time.Duration
	started := false
	for sinceBegin := time.Duration(0); sinceBegin < callersLeaveAt+4*cancelTime; sinceBegin += step {
		world.network.advance(step)
		if world.runs() {
			started, lastRun = true, sinceBegin-callersLeaveAt
		}
	}
	if !started && !world.mayNotStart {
		t.Error("no task ran")
	}
	if lastRun > cancelTime+stopTime {
		t.Errorf("a task ran %v after its caller had left", lastRun)
	}
	for _, problem := range world.problems {
		t.Error(problem)
	}
	t.Logf("last seen running %v after the caller left", lastRun)
	if t.Failed() {
		t.Log(strings.Join(world.history, "\n"))
	}
}

// cancelFaults are the faults that a cancellation meets. Each is set up before the job is submitted.
var cancelFaults = []struct {
	name string
	set  func(world *cancelWorld)
}{
	{"starts just before the cancellation", func(world *cancelWorld) { world.startsArriveLate(callersLeaveAt - 130*time.Millisecond) }},
	{"starts just after the cancellation", func(world *cancelWorld) { world.startsArriveLate(callersLeaveAt + 10*time.Millisecond) }},
	// The first call is under way when the caller leaves, and no answer is missing yet.
	{"start calls under way", func(world *cancelWorld) {
		world.disturbStart = func(start *supervisor.StartRun) startDisturbance {
			late := start.Run.Job == "job-under-way"
			return startDisturbance{unanswered: late, arrives: late, delay: 100 * time.Millisecond}
		}
		world.after(callersLeaveAt-60*time.Millisecond, func() { world.submitLong("job-under-way") })
	}},
	{"starts near the end of their lease", func(world *cancelWorld) { world.startsArriveLate(950 * time.Millisecond) }},
	{"server starts again", func(world *cancelWorld) {
		world.after(callersLeaveAt+20*time.Millisecond, func() { world.harsh.endIncarnation(world.harsh.serverAt(0), false, 20*time.Millisecond, 3) })
	}},
	{"starts seconds late", func(world *cancelWorld) { world.startsArriveLate(12 * time.Second) }},
	{"release lost", func(world *cancelWorld) {
		world.network.drops = func(message coordinator.PeerMessage) bool { return message.CapacityRelease != nil }
		world.after(callersLeaveAt+300*time.Millisecond, func() { world.network.drops = nil })
	}},
	// So short that no host counts as gone; what is under way is lost.
	{"connection to the lead breaks for a moment", func(world *cancelWorld) {
		world.after(callersLeaveAt+100*time.Microsecond, func() { world.network.disconnectHosts(world.host, world.lead) })
		world.after(callersLeaveAt+30*time.Millisecond, func() { world.network.connectHosts(world.host, world.lead) })
	}},
	{"lead not connected for seconds", func(world *cancelWorld) {
		world.after(callersLeaveAt-50*time.Millisecond, func() { world.network.disconnectHosts(world.host, world.lead) })
	}},
	{"starter removed", func(world *cancelWorld) {
		world.after(callersLeaveAt-100*time.Millisecond, func() { world.harsh.crash(world.starter) })
	}},
	{"lead lost before", func(world *cancelWorld) {
		world.after(callersLeaveAt-time.Millisecond, func() { world.harsh.crash(world.lead) })
	}},
	{"lead lost after", func(world *cancelWorld) {
		world.after(callersLeaveAt+100*time.Microsecond, func() { world.harsh.crash(world.lead) })
	}},
	{"lead not connected", func(world *cancelWorld) {
		world.after(callersLeaveAt-50*time.Millisecond, func() { world.network.disconnectHosts(world.host, world.lead) })
		world.after(callersLeaveAt+250*time.Millisecond, func() { world.network.connectHosts(world.host, world.lead) })
	}},
	{"connection to the lead breaks", func(world *cancelWorld) {
		world.after(callersLeaveAt+100*time.Microsecond, func() { world.network.disconnectHosts(world.host, world.lead) })
		world.after(callersLeaveAt+250*time.Millisecond, func() { world.network.connectHosts(world.host, world.lead) })
	}},
	{"lead paused", func(world *cancelWorld) {
		world.after(callersLeaveAt-50*time.Millisecond, func() { world.harsh.freeze(world.lead, 2*time.Second, false) })
	}},
	{"host lost", func(world *cancelWorld) {
		world.after(callersLeaveAt, func() { world.harsh.crash(world.host) })
	}},
	{"server not reached", func(world *cancelWorld) {
		world.after(callersLeaveAt-20*time.Millisecond, func() {
			world.harsh.cutOff(world.network.hosts, 0, 3*time.Second, true, true, false)
		})
	}},
}

// startsArriveLate makes the first start call of each run unanswered, and carries it out late.
func (world *cancelWorld) startsArriveLate(delay time.Duration) {
	world.mayNotStart = true
	world.disturbStart = func(start *supervisor.StartRun) startDisturbance {
		if start.Run.Job != "job" {
			return startDisturbance{}
		}
		if world.countCall(start) > 1 {
			return startDisturbance{unanswered: true}
		}
		return startDisturbance{unanswered: true, arrives: true, delay: delay}
	}
}

// TestCancelledJobEndsInTime guards against tasks that run on after their caller has disconnected,
// under each fault alone and each pair of faults.
func TestCancelledJobEndsInTime(t *testing.T) {
	for first := range cancelFaults {
		for second := first; second < len(cancelFaults); second++ {
			name := cancelFaults[first].name
			if second != first {
				name += " and " + cancelFaults[second].name
			}
			t.Run(name, func(t *testing.T) {
				world := newCancelWorld(t)
				world.begin()
				cancelFaults[first].set(world)
				if second != first {
					cancelFaults[second].set(world)
				}
				world.after(callersLeaveAt, world.callersLeave)
				world.expectEndInTime(t)
			})
		}
	}
}
