package coordinator_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/allocator"
	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/renewer"
	"github.com/stoathitch/stoathitch/pkg/supervisor"
)

// domainLoss loses all hosts of one failure domain after the other while jobs run there. The callers
// resubmit the jobs to the next failure domain.
type domainLoss struct {
	bounds renewer.Bounds
	// downtime is how long the hosts are down; zero means until the jobs have ended.
	downtime time.Duration
	// lossInterval is the time between the losses of two hosts.
	lossInterval time.Duration
	// leadFirst loses the lead before the other host.
	leadFirst bool
	cells     int
	// tasks is the number of tasks of a job.
	tasks int
	// clockLag is by how many thousandths the servers' clocks run slow.
	clockLag int
	// evacuated evacuates the failure domain before its jobs arrive, so that they run in the others.
	evacuated bool
	// shutDown has the hosts shut down, with shutdownTime for it, in place of a crash.
	shutDown bool
	// lateStarts has the first start calls arrive when the callers have resubmitted their jobs.
	lateStarts bool
	// unreachableServers cuts the servers off from the hosts that start again.
	unreachableServers bool
}

// longLeaseBounds are bounds under which servers accept a longer lease than callers wait.
var longLeaseBounds = renewer.Bounds{MaxLease: 15 * time.Second, ResubmitDelay: 1300 * time.Millisecond}

const (
	// workBeforeLoss is how long jobs run before their host is lost.
	workBeforeLoss = 500 * time.Millisecond
	// startBeforeLoss is shorter than a host waits for the answer to a start.
	startBeforeLoss = 100 * time.Millisecond
	// shutdownTime is how long a host has after a request to shut down.
	shutdownTime = 300 * time.Millisecond
)

// lostDomainWorld plays a domainLoss.
type lostDomainWorld struct {
	*calledWorld
	loss  domainLoss
	harsh *harshFaults
	// completed are the jobs that ended well.
	completed map[identifier.JobID]bool
	// lost are the jobs whose first host is lost.
	lost map[identifier.JobID]bool
}

func newLostDomainWorld(loss domainLoss) *lostDomainWorld {
	settings := coordinator.DefaultSettings()
	settings.Dispatcher.Cells = max(loss.cells, 1)
	settings.Allocator.Lease = loss.bounds.Lease()
	settings.Inquirer.Lease = loss.bounds.Lease()
	network := newNetworkWith([]identifier.FailureDomain{"leuven", "geel", "mol"}, 2, settings)
	world := &lostDomainWorld{calledWorld: newCalledWorld(network, nil, 0), loss: loss, completed: make(map[identifier.JobID]bool), lost: make(map[identifier.JobID]bool)}
	world.maxLease = loss.bounds.MaxLease
	world.harsh = newHarshFaults(world.calledWorld, harshKinds{})
	for index := range 18 {
		world.startServer(index, 1)
	}
	for _, server := range world.servers {
		server.clockLag = loss.clockLag
	}
	world.workOf = func(messenger.RunKey) (time.Duration, allocator.EndKind) { return world.runTime(), allocator.EndDone }
	world.jobEnded = func(ended *supervisor.JobEnded) {
		world.completed[ended.Job] = ended.Outcome == supervisor.OutcomeComplete
	}
	if loss.lateStarts {
		world.disturbStart = world.delayFirstStarts
	}
	// Clocks that run slow are behind by far more than a lease then.
	network.advance(100 * time.Second)
	return world
}

// delayFirstStarts makes the start calls of the first submission of a job arrive after the second.
func (world *lostDomainWorld) delayFirstStarts(start *supervisor.StartRun) startDisturbance {
	if world.lost[start.Run.Job] {
		return startDisturbance{}
	}
	delay := world.timeBeforeLoss() + world.loss.bounds.ResubmitDelay + 100*time.Millisecond
	return startDisturbance{unanswered: true, arrives: true, delay: delay}
}

// timeBeforeLoss is how long after the submission of its job a host is lost.
func (world *lostDomainWorld) timeBeforeLoss() time.Duration {
	if world.loss.lateStarts {
		return startBeforeLoss
	}
	return workBeforeLoss
}

// runTime is how long a task runs: longer than its caller waits, and than a lease.
func (world *lostDomainWorld) runTime() time.Duration { return 5 * world.loss.bounds.ResubmitDelay / 2 }

// loseDomain loses the hosts of the failure domain with a number and waits for the ends of its jobs.
func (world *lostDomainWorld) loseDomain(t *testing.T, number int) {
	t.Helper()
	network := world.network
	hosts := world.hostsToLose(number)
	next := network.hosts[(2*number+2)%len(network.hosts)]
	var jobs []identifier.JobID
	for index, host := range hosts {
		id := identifier.JobID(fmt.Sprintf("job-%d-%d", number, index))
		jobs = append(jobs, id)
		world.resent[id] = true
		world.submitLong(host, id)
		lostAfter := world.timeBeforeLoss() + time.Duration(index)*world.loss.lossInterval
		if world.loss.shutDown {
			network.at(lostAfter-shutdownTime, func() { world.harsh.leave(host, shutdownTime) })
		} else {
			network.at(lostAfter, func() { world.harsh.crash(host) })
		}
		world.startLater(host, lostAfter)
		network.at(lostAfter, func() { world.lost[id] = true })
		network.at(lostAfter+world.loss.bounds.ResubmitDelay, func() { world.submitLong(next, id) })
	}
	network.advance(5 * world.runTime())
	for _, id := range jobs {
		if !world.completed[id] {
			t.Errorf("%s was not completed", id)
		}
	}
	for _, host := range hosts {
		if host.coordinator == nil {
			network.startHost(host)
		}
	}
	network.advance(20 * time.Second)
}

// hostsToLose returns the hosts of the failure domain with a number, in the order of their losses.
func (world *lostDomainWorld) hostsToLose(number int) []*fakeHost {
	network := world.network
	hosts := slices.Clone(network.hosts[2*number : 2*number+2])
	if lead := network.leadOf(hosts[0].domain); (hosts[0] == lead) != world.loss.leadFirst {
		slices.Reverse(hosts)
	}
	return hosts
}

// startLater starts a host again that is lost after a time, unless the loss leaves it down.
func (world *lostDomainWorld) startLater(host *fakeHost, lostAfter time.Duration) {
	network := world.network
	if world.loss.downtime == 0 {
		return
	}
	network.at(lostAfter+world.loss.downtime, func() {
		if host.coordinator == nil {
			network.startHost(host)
			world.cutOffServers(host)
		}
	})
}

// cutOffServers cuts the servers of a host's failure domain off from it, if the loss has that.
func (world *lostDomainWorld) cutOffServers(host *fakeHost) {
	if !world.loss.unreachableServers {
		return
	}
	for _, server := range world.servers {
		if server.report.FailureDomain == host.domain {
			world.harsh.cutOff([]*fakeHost{host}, server.address, world.runTime(), true, true, false)
		}
	}
}

// submitLong submits a job whose tasks run for runTime.
func (world *lostDomainWorld) submitLong(host *fakeHost, id identifier.JobID) {
	world.lastWaiter++
	job := supervisor.Job{Job: id, Service: "desk", Queue: "slow", Attempts: 3, Stretch: 1.6, Allowance: time.Second}
	for index := range max(world.loss.tasks, 2) {
		job.Tasks = append(job.Tasks, messenger.TaskRequest{
			Task: messenger.TaskIndex(index), Needs: identifier.Resources{MilliCPU: taskCPU, Memory: 1 << 20}, Declared: world.runTime(),
		})
	}
	world.waiting[world.lastWaiter] = id
	deadline := identifier.Moment(world.network.now.Sub(host.startedAt)).Add(3 * world.runTime())
	world.network.tick(host, &coordinator.SupervisorEvent{Event: &supervisor.JobArrived{Waiter: world.lastWaiter, Job: job, Deadline: deadline}})
}

// setEvacuated evacuates or readmits a failure domain.
func (world *lostDomainWorld) setEvacuated(domain identifier.FailureDomain, evacuated bool, version configurer.Version) {
	version.Evacuations = []configurer.EvacuationState{{FailureDomain: domain, Evacuated: evacuated}}
	for _, host := range world.network.hosts {
		world.network.tick(host, &coordinator.ConfigRestored{Version: version})
	}
	world.network.advance(time.Second)
}

// play loses all failure domains in turn and fails the test for each problem.
func (loss domainLoss) play(t *testing.T) {
	t.Helper()
	world := newLostDomainWorld(loss)
	var version configurer.Version
	for number := range len(world.network.hosts) / 2 {
		domain := world.network.hosts[2*number].domain
		if loss.evacuated {
			version.Version++
			world.setEvacuated(domain, true, version)
		}
		world.loseDomain(t, number)
		if loss.evacuated {
			version.Version++
			world.setEvacuated(domain, false, version)
		}
	}
	for _, problem := range world.problems {
		t.Error(problem)
	}
	if t.Failed() {
		t.Log(strings.Join(world.history, "\n"))
	}
}

// TestResubmissionAfterADomainLostItsHosts guards against a task that runs twice at the same time,
// because the lease of its run is longer than callers wait before they resubmit a job whose hosts are
// all lost.
func TestResubmissionAfterADomainLostItsHosts(t *testing.T) {
	for name, loss := range map[string]domainLoss{
		"hosts never return":          {},
		"hosts return at once":        {downtime: 50 * time.Millisecond},
		"hosts return sooner":         {downtime: 500 * time.Millisecond},
		"hosts return before callers": {downtime: 1100 * time.Millisecond},
		"hosts return after callers":  {downtime: 2 * time.Second},
		"hosts return to no servers":  {downtime: 50 * time.Millisecond, unreachableServers: true},
		"two cells":                   {cells: 2},
		"two cells, hosts return":     {cells: 2, downtime: 50 * time.Millisecond},
		"lead lost last":              {lossInterval: 100 * time.Millisecond},
		"lead lost last, later":       {lossInterval: 180 * time.Millisecond},
		"lead lost first":             {lossInterval: 180 * time.Millisecond, leadFirst: true},
		"lead lost first, later":      {lossInterval: time.Second, leadFirst: true},
		"tasks handed to others":      {tasks: 20},
		"hosts shut down":             {shutDown: true},
		"hosts shut down and return":  {shutDown: true, downtime: 50 * time.Millisecond},
		"starts arrive late":          {lateStarts: true},
		"starts arrive at new hosts":  {lateStarts: true, downtime: 50 * time.Millisecond},
		"evacuated":                   {evacuated: true},
		"evacuated, hosts return":     {evacuated: true, downtime: 50 * time.Millisecond},
	} {
		loss.bounds = longLeaseBounds
		t.Run(name, loss.play)
	}
}

// TestResubmissionUnderOtherBounds guards against the same failure under leases and delays of other
// lengths.
func TestResubmissionUnderOtherBounds(t *testing.T) {
	for _, bounds := range []renewer.Bounds{
		{MaxLease: time.Second, ResubmitDelay: 1300 * time.Millisecond},
		{MaxLease: 2 * time.Second, ResubmitDelay: 1300 * time.Millisecond},
		{MaxLease: 15 * time.Second, ResubmitDelay: 700 * time.Millisecond},
		{MaxLease: 15 * time.Second, ResubmitDelay: 4 * time.Second},
		{MaxLease: 15 * time.Second, ResubmitDelay: 20 * time.Second},
	} {
		for _, downtime := range []time.Duration{0, 50 * time.Millisecond, bounds.ResubmitDelay - 200*time.Millisecond} {
			loss := domainLoss{bounds: bounds, downtime: downtime}
			t.Run(fmt.Sprintf("%v of %v, down %v", bounds.MaxLease, bounds.ResubmitDelay, downtime), loss.play)
		}
	}
}

// TestResubmissionWhileServerClocksAreSlow guards against leases that grow longer than callers wait,
// because a lead takes a slow clock of a backend server for ahead of its readings.
func TestResubmissionWhileServerClocksAreSlow(t *testing.T) {
	for _, clockLag := range []int{1, 10, 19, 20} {
		for _, downtime := range []time.Duration{0, 50 * time.Millisecond, 1100 * time.Millisecond} {
			loss := domainLoss{bounds: longLeaseBounds, downtime: downtime, clockLag: clockLag}
			t.Run(fmt.Sprintf("slow by %d, down %v", clockLag, downtime), loss.play)
		}
		handedOff := domainLoss{bounds: longLeaseBounds, clockLag: clockLag, tasks: 20}
		t.Run(fmt.Sprintf("slow by %d, tasks handed to others", clockLag), handedOff.play)
	}
}
