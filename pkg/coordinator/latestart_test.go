package coordinator_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/allocator"
	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/supervisor"
)

// lateStartWorld has failure domains of two hosts and called servers, in which single start calls
// arrive late. A server that starts again keeps its id and remembers nothing.
type lateStartWorld struct {
	*calledWorld
	harsh *harshFaults
	// begunAt is when the job was submitted.
	begunAt identifier.Moment
	// calls counts the start calls of each run.
	calls map[messenger.RunKey]int
	// firstAddress is the address of the server that the first run was placed on.
	firstAddress int
}

// lateBy is how late a start call arrives, longer than its caller waits for an answer.
const lateBy = 390 * time.Millisecond

// otherRun is how long the runs after the first one take.
const otherRun = 600 * time.Millisecond

func newLateStartWorld(servers int, domains ...identifier.FailureDomain) *lateStartWorld {
	network := newNetworkWith(append([]identifier.FailureDomain{"leuven"}, domains...), 2, coordinator.DefaultSettings())
	world, harsh := newHarshWorld(network, nil, servers, harshKinds{sameIDs: true})
	network.advance(3 * time.Second)
	return &lateStartWorld{calledWorld: world, harsh: harsh, calls: make(map[messenger.RunKey]int)}
}

// loseCalls makes the start calls of the first run fail: those with a number in late arrive late, and
// those with a number in lost never do. The others are answered.
func (world *lateStartWorld) loseCalls(late, lost []int) {
	world.disturbStart = func(start *supervisor.StartRun) startDisturbance {
		number := world.countCall(start)
		if start.Run.Run != 1 {
			return startDisturbance{}
		}
		if slices.Contains(late, number) {
			return startDisturbance{unanswered: true, arrives: true, delay: lateBy}
		}
		if slices.Contains(lost, number) {
			return startDisturbance{unanswered: true}
		}
		return startDisturbance{}
	}
}

// countCall counts a start call and returns its number among those of its run.
func (world *lateStartWorld) countCall(start *supervisor.StartRun) int {
	world.calls[start.Run]++
	if start.Run.Run == 1 {
		world.firstAddress = world.servers[start.Server].address
	}
	return world.calls[start.Run]
}

// firstRunFails makes the first run fail after 20 ms, and the others take otherRun.
func (world *lateStartWorld) firstRunFails() {
	world.workOf = func(key messenger.RunKey) (time.Duration, allocator.EndKind) {
		if key.Run == 1 {
			return 20 * time.Millisecond, allocator.EndFailed
		}
		return otherRun, allocator.EndDone
	}
}

// begin submits a job of one task to a host.
func (world *lateStartWorld) begin(host *fakeHost) {
	world.begunAt = world.network.now
	world.harsh.submit(host, "job", 1)
}

// after runs a step at a time after the submission.
func (world *lateStartWorld) after(delay time.Duration, step func()) {
	world.network.at(world.begunAt.Add(delay).Sub(world.network.now), step)
}

// firstServer returns the server that the first start call went to.
func (world *lateStartWorld) firstServer() *calledServer {
	return world.harsh.serverAt(world.firstAddress)
}

// restart ends the process of the first server and starts the next one at its address and under its
// id. For a while no report or answer of it reaches a host.
func (world *lateStartWorld) restart(downtime time.Duration) {
	server := world.firstServer()
	world.harsh.cutOff(world.network.hosts, server.address, 300*time.Millisecond, false, true, false)
	world.harsh.endIncarnation(server, false, downtime, 3)
}

// drainFirstServer has the first server announce that it takes no new runs.
func (world *lateStartWorld) drainFirstServer() {
	server := world.firstServer()
	server.report.Draining = true
	server.report.Sequence++
	world.harsh.deliver(server.address, server.report, 0)
}

// expectOneRunAtATime expects that the job completed within its deadline and no task ran twice at the
// same time.
func (world *lateStartWorld) expectOneRunAtATime(t *testing.T) {
	t.Helper()
	world.network.advance(5 * time.Second)
	for _, problem := range world.problems {
		t.Error(problem)
	}
	if len(world.waiting) > 0 || len(world.harsh.submissions) > 0 {
		t.Error("the job was not completed")
	}
	if t.Failed() {
		t.Log(strings.Join(world.history, "\n"))
	}
}

// startHosts are the hosts that the job is submitted to.
var startHosts = []struct {
	name string
	host func(network *network) *fakeHost
}{
	{"the lead starts", func(network *network) *fakeHost { return network.leadOf("leuven") }},
	{"another host starts", func(network *network) *fakeHost { return network.others(network.leadOf("leuven"))[0] }},
}

// TestLateStartAfterAFailure guards against a task that runs twice at the same time, since an unanswered
// start call reaches the server's next process after the run that its repetition started has failed.
func TestLateStartAfterAFailure(t *testing.T) {
	for _, start := range startHosts {
		for _, restartAt := range []time.Duration{0, 180 * time.Millisecond, 250 * time.Millisecond, 350 * time.Millisecond} {
			name := start.name + ", server restarts after " + restartAt.String()
			if restartAt == 0 {
				name = start.name + ", server goes on"
			}
			t.Run(name, func(t *testing.T) {
				world := newLateStartWorld(2)
				world.loseCalls([]int{1}, nil)
				world.firstRunFails()
				world.begin(start.host(world.network))
				if restartAt > 0 {
					world.after(restartAt, func() { world.restart(20 * time.Millisecond) })
				}
				world.expectOneRunAtATime(t)
			})
		}
	}
}

// TestLateStartAfterAStop guards against a task that runs twice at the same time, since an unanswered
// start call reaches the server's next process after the lead has stopped the run.
func TestLateStartAfterAStop(t *testing.T) {
	for _, start := range startHosts {
		for _, restartAt := range []time.Duration{500 * time.Millisecond, 550 * time.Millisecond, 600 * time.Millisecond, 650 * time.Millisecond} {
			t.Run(start.name+", server restarts after "+restartAt.String(), func(t *testing.T) {
				world := newLateStartWorld(2)
				world.loseCalls([]int{3}, []int{1, 2})
				world.begin(start.host(world.network))
				world.after(restartAt, func() { world.restart(10 * time.Millisecond) })
				world.expectOneRunAtATime(t)
			})
		}
	}
}

// TestLateStartRepeatedAfterItsEnd guards against a task that runs twice at the same time, since a start
// call that is repeated after the end of its run reaches the server's next process.
func TestLateStartRepeatedAfterItsEnd(t *testing.T) {
	for _, start := range startHosts {
		for _, room := range []time.Duration{100 * time.Millisecond, 149500 * time.Microsecond, 150 * time.Millisecond, 150200 * time.Microsecond, 150500 * time.Microsecond, 200 * time.Millisecond, 300 * time.Millisecond} {
			t.Run(start.name+", room after "+room.String(), func(t *testing.T) {
				world := newLateStartWorld(1)
				world.disturbStart = func(start *supervisor.StartRun) startDisturbance {
					number := world.countCall(start)
					if start.Run.Run != 1 || number > 2 {
						return startDisturbance{}
					}
					disturbance := startDisturbance{unanswered: true, arrives: true}
					if number == 2 {
						disturbance.delay = lateBy
					}
					return disturbance
				}
				world.firstRunFails()
				world.begin(start.host(world.network))
				world.after(25*time.Millisecond, world.drainFirstServer)
				world.after(room, func() { world.startServer(1, 1) })
				world.after(400*time.Millisecond, func() { world.restart(20 * time.Millisecond) })
				world.expectOneRunAtATime(t)
			})
		}
	}
}

// TestLateStartBeforeTheNextGrant guards against a task that runs twice at the same time, since an
// unanswered start call has reached the server's next process before the task is placed elsewhere.
func TestLateStartBeforeTheNextGrant(t *testing.T) {
	for _, start := range startHosts {
		for _, room := range []time.Duration{395 * time.Millisecond, 450 * time.Millisecond, 550 * time.Millisecond, 800 * time.Millisecond} {
			t.Run(start.name+", room after "+room.String(), func(t *testing.T) {
				world := newLateStartWorld(1)
				world.loseCalls([]int{1}, nil)
				world.firstRunFails()
				world.begin(start.host(world.network))
				world.after(160*time.Millisecond, world.drainFirstServer)
				world.after(350*time.Millisecond, func() { world.restart(20 * time.Millisecond) })
				world.after(room, func() { world.startServer(1, 1) })
				world.expectOneRunAtATime(t)
			})
		}
	}
}

// evacuate evacuates a failure domain at all hosts.
func (world *lateStartWorld) evacuate(domain identifier.FailureDomain) {
	version := configurer.Version{Version: 1, Evacuations: []configurer.EvacuationState{{FailureDomain: domain, Evacuated: true}}}
	for _, host := range world.network.hosts {
		world.network.tick(host, &coordinator.ConfigRestored{Version: version})
	}
}

// TestLateStartBeforeAnEvacuation guards against a task that runs twice at the same time, since an
// unanswered start call reaches a server of a failure domain that was evacuated meanwhile.
func TestLateStartBeforeAnEvacuation(t *testing.T) {
	for _, start := range startHosts {
		for _, test := range []struct {
			name       string
			late, lost []int
			fails      bool
			evacuateAt time.Duration
			restartAt  time.Duration
		}{
			{"run failed", []int{1}, nil, true, 165 * time.Millisecond, 300 * time.Millisecond},
			{"run stopped after three calls", []int{3}, []int{1, 2}, false, 440 * time.Millisecond, 620 * time.Millisecond},
			{"run stopped after two calls", []int{2}, []int{1}, false, 290 * time.Millisecond, 480 * time.Millisecond},
		} {
			t.Run(start.name+", "+test.name, func(t *testing.T) {
				world := newLateStartWorld(2, "geel")
				world.loseCalls(test.late, test.lost)
				if test.fails {
					world.firstRunFails()
				}
				world.begin(start.host(world.network))
				world.after(test.evacuateAt, func() { world.evacuate("leuven") })
				world.after(test.restartAt, func() { world.restart(20 * time.Millisecond) })
				world.expectOneRunAtATime(t)
			})
		}
	}
}

// TestLateStartAfterAChangeOfLead guards against a task that runs twice at the same time, since the lead
// that knew of an unanswered start call shuts down before the call arrives.
func TestLateStartAfterAChangeOfLead(t *testing.T) {
	for _, leaveAt := range []time.Duration{155 * time.Millisecond, 180 * time.Millisecond, 230 * time.Millisecond} {
		t.Run("lead shuts down after "+leaveAt.String(), func(t *testing.T) {
			world := newLateStartWorld(2)
			world.loseCalls([]int{1}, nil)
			world.firstRunFails()
			lead := world.network.leadOf("leuven")
			world.begin(world.network.others(lead)[0])
			world.after(leaveAt, func() { world.harsh.leave(lead, time.Second) })
			world.after(330*time.Millisecond, func() { world.restart(20 * time.Millisecond) })
			world.expectOneRunAtATime(t)
		})
	}
}
