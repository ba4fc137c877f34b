package coordinator_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// recordsMachine draws hosts that crash, shut down and restart repeatedly, instead of machine's
// single fault among hosts. A record is kept by two hosts, so the next such fault waits until the
// copies lost by the previous one can be restored.
type recordsMachine struct{ machine }

// repairTime is how long it takes until the loss of a host is noticed and its records are copied.
const repairTime = 4 * time.Second

// TestRecordsOutliveHosts checks that records survive faults of 3 to 6 hosts in one or two failure
// domains.
func TestRecordsOutliveHosts(t *testing.T) {
	limitChecks(t, "150")
	rapid.Check(t, func(t *rapid.T) {
		domains := []identifier.FailureDomain{"leuven", "roeselare"}[:rapid.IntRange(1, 2).Draw(t, "failure domains")]
		fuzzed := &recordsMachine{machine{network: newNetwork(domains, 3, 2, 2), domains: domains}}
		fuzzed.network.trace = *trace
		t.Repeat(rapid.StateMachineActions(fuzzed))
		for _, host := range fuzzed.network.hosts {
			if host.coordinator == nil {
				fuzzed.network.startHost(host)
			}
		}
		fuzzed.heal(t)
	})
}

// TestNotRepeatableJobsRunOnce makes every host a keeper and draws resubmissions of two
// not-repeatable jobs under new ids, at any host of either failure domain.
func TestNotRepeatableJobsRunOnce(t *testing.T) {
	limitChecks(t, "100")
	rapid.Check(t, func(t *rapid.T) {
		domains := []identifier.FailureDomain{"leuven", "roeselare"}[:rapid.IntRange(1, 2).Draw(t, "failure domains")]
		fuzzed := &claimsMachine{recordsMachine{machine{network: newNetwork(domains, 3, 2, 2), domains: domains}}}
		fuzzed.network.trace = *trace
		fuzzed.network.makeKeepers()
		t.Repeat(rapid.StateMachineActions(fuzzed))
		for _, host := range fuzzed.network.hosts {
			fuzzed.restartHost(host)
		}
		fuzzed.heal(t)
	})
}

type claimsMachine struct{ recordsMachine }

// Submit makes a new submission of one of two not-repeatable jobs.
func (machine *claimsMachine) Submit(t *rapid.T) {
	job := machine.drawNewJob(t)
	job.Repeatable = false
	job.Job = rapid.SampledFrom([]identifier.JobID{"once-0", "once-1"}).Draw(t, "job")
	// A resubmission has the same tasks.
	for _, earlier := range machine.jobs {
		if earlier.Job == job.Job {
			job.Tasks = earlier.Tasks
		}
	}
	machine.send(t, job)
}

func (machine *recordsMachine) scheduleFaultEnd(delay time.Duration, run func()) {
	machine.recoveredAt = machine.network.now.Add(delay + repairTime)
	machine.network.at(delay, run)
}

// CrashHost ends one entry host and restarts it later, without state.
func (machine *recordsMachine) CrashHost(t *rapid.T) {
	machine.skipUnlessRecovered(t)
	host := machine.drawHost(t)
	machine.network.crashHost(host)
	delay := rapid.SampledFrom([]time.Duration{50 * time.Millisecond, 3 * time.Second}).Draw(t, "restart")
	machine.scheduleFaultEnd(delay, func() { machine.restartHost(host) })
}

// LeaveHost shuts one entry host down gracefully and restarts it.
func (machine *recordsMachine) LeaveHost(t *rapid.T) {
	machine.skipUnlessRecovered(t)
	host := machine.drawHost(t)
	machine.network.leave(host)
	delay := rapid.SampledFrom([]time.Duration{11 * time.Second, 20 * time.Second}).Draw(t, "restart")
	machine.scheduleFaultEnd(delay, func() { machine.restartHost(host) })
}

// Ask queries any host for a known job, as its caller or as another one.
func (machine *recordsMachine) Ask(t *rapid.T) {
	host, job := machine.drawHost(t), machine.drawJob(t)
	if !rapid.Bool().Draw(t, "stranger") {
		machine.network.queryAnswer(host, job)
		return
	}
	otherCaller := *job
	otherCaller.Caller = "stranger"
	machine.network.oracle.otherCallers[machine.network.oracle.lastWaiter+1] = true
	machine.network.queryAnswer(host, &otherCaller)
}

func (machine *recordsMachine) restartHost(host *fakeHost) {
	if host.coordinator == nil {
		machine.network.startHost(host)
	}
}

// Wait lets time pass, up to longer than repairs take.
func (machine *recordsMachine) Wait(t *rapid.T) {
	waits := []time.Duration{100 * time.Microsecond, 300 * time.Microsecond, 2 * time.Millisecond, 60 * time.Millisecond, time.Second, 8 * time.Second}
	machine.network.advance(rapid.SampledFrom(waits).Draw(t, "wait"))
}
