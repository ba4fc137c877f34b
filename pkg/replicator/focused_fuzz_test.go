package replicator

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// TestReadsAreNeverStale aims at the lease. Symptom: a read lacks what was accepted
// before it began. Sequence: some directed links of the leader are cut, voters
// restart, the leadership is handed over, all under reads and writes at every
// keeper with clocks at the ends of the drift bound. Cause, where it happens: a
// lease that outlives the promises that it rests on.
func TestReadsAreNeverStale(t *testing.T) {
	fixedChecks("100")
	var total tally
	rapid.Check(t, func(t *rapid.T) {
		settings := DefaultSettings()
		settings.ClockDriftBound = rapid.SampledFrom([]PerMille{20, 200}).Draw(t, "drift")
		hosts := rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "hosts")
		workload := newWorkload(rapid.Uint64().Draw(t, "seed"), hosts, settings)
		workload.runFor(3 * time.Second)
		for range rapid.IntRange(1, 6).Draw(t, "rounds") {
			workload.troubleTheLeader(t)
			workload.heal()
			workload.busyFor(time.Duration(rapid.IntRange(0, 1500).Draw(t, "calm")) * time.Millisecond)
		}
		workload.settle()
		if len(workload.oracle.violations) > 0 {
			t.Fatal(workload.oracle.violations)
		}
		total.add(workload)
	})
	t.Logf("%+v", total)
}

// troubleTheLeader cuts links of the leader, and may restart keepers and hand the
// leadership over, under load.
func (workload *workload) troubleTheLeader(t *rapid.T) {
	leader := workload.leader()
	if leader == nil {
		return
	}
	for _, other := range workload.keepers {
		pattern := rapid.IntRange(0, 3).Draw(t, "link")
		if pattern&1 != 0 {
			workload.cut[[2]identifier.HostID{leader.host, other.host}] = true
		}
		if pattern&2 != 0 {
			workload.cut[[2]identifier.HostID{other.host, leader.host}] = true
		}
	}
	if rapid.IntRange(0, 2).Draw(t, "transfer") == 0 {
		workload.input(leader, TransferRequested{})
		workload.jitter = time.Duration(rapid.SampledFrom([]int{0, 1500}).Draw(t, "late")) * time.Millisecond
	}
	for range rapid.IntRange(0, 2).Draw(t, "restarts") {
		workload.busyFor(time.Duration(rapid.IntRange(0, 1200).Draw(t, "before")) * time.Millisecond)
		keeper := workload.keepers[rapid.IntRange(0, len(workload.keepers)-1).Draw(t, "restarted")]
		if keeper != leader {
			workload.crash(keeper)
			workload.start(keeper)
		}
	}
	workload.busyFor(time.Duration(rapid.IntRange(0, 2500).Draw(t, "trouble")) * time.Millisecond)
	workload.jitter = 0
}

// TestCrashesBetweenWriteAndSync aims at what leaves a keeper before its disk has
// it. Symptom: two leaders of one term, or an accepted entry gone. Sequence:
// keepers crash with unsynced votes and entries and come back without them, while
// many messages are lost. Cause, where it happens: a vote or an acknowledgement
// that was sent before it was durable.
func TestCrashesBetweenWriteAndSync(t *testing.T) {
	fixedChecks("500")
	var total tally
	rapid.Check(t, func(t *rapid.T) {
		settings := fuzzSettings(t)
		hosts := rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "hosts")
		workload := newWorkload(rapid.Uint64().Draw(t, "seed"), hosts, settings)
		workload.sync = time.Duration(rapid.SampledFrom([]int{4, 50}).Draw(t, "sync")) * time.Millisecond
		workload.lossShare = rapid.SampledFrom([]int{100, 400, 600}).Draw(t, "loss")
		workload.crashShare = rapid.SampledFrom([]int{50, 200, 400}).Draw(t, "crashes")
		workload.absence = time.Duration(rapid.SampledFrom([]int{100, 3000}).Draw(t, "absence")) * time.Millisecond
		for range rapid.IntRange(50, 300).Draw(t, "proposals") {
			for _, keeper := range workload.keepers {
				if keeper.alive && keeper.replicator.Role() == RoleLeader {
					workload.propose(keeper, 1)
				}
			}
			workload.runFor(200 * time.Millisecond)
		}
		workload.settle()
		if len(workload.oracle.violations) > 0 {
			t.Fatal(workload.oracle.violations)
		}
		total.add(workload)
	})
	t.Logf("%+v", total)
}
