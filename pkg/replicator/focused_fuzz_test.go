package replicator

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// TestReadsAreNeverStale guards against reads that miss an entry accepted before they began.
// Directed links of the leader are cut, voters restart and the leadership is transferred,
// under reads and writes at every keeper and with clocks at the limits of the drift bound. A
// failure means that a lease outlived the voters' promises that it depends on.
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
			workload.disturbLeader(t)
			workload.heal()
			workload.runUnderLoad(time.Duration(rapid.IntRange(0, 1500).Draw(t, "calm")) * time.Millisecond)
		}
		workload.verifyRecovery()
		if len(workload.oracle.violations) > 0 {
			t.Fatal(workload.oracle.violations)
		}
		total.add(workload)
	})
	t.Logf("%+v", total)
}

// disturbLeader cuts links of the leader and may restart keepers and transfer the leadership,
// under load.
func (workload *workload) disturbLeader(t *rapid.T) {
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
		workload.runUnderLoad(time.Duration(rapid.IntRange(0, 1200).Draw(t, "before")) * time.Millisecond)
		keeper := workload.keepers[rapid.IntRange(0, len(workload.keepers)-1).Draw(t, "restarted")]
		if keeper != leader {
			workload.crash(keeper)
			workload.start(keeper)
		}
	}
	workload.runUnderLoad(time.Duration(rapid.IntRange(0, 2500).Draw(t, "trouble")) * time.Millisecond)
	workload.jitter = 0
}

// TestCrashesBetweenWriteAndSync guards against two leaders in one term and lost accepted
// entries. Keepers crash with unsynced votes and entries and come back without them, while
// many messages are lost. A failure means that a vote or an acknowledgement was sent before
// it was durable.
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
		workload.maxDowntime = time.Duration(rapid.SampledFrom([]int{100, 3000}).Draw(t, "absence")) * time.Millisecond
		for range rapid.IntRange(50, 300).Draw(t, "proposals") {
			for _, keeper := range workload.keepers {
				if keeper.alive && keeper.replicator.Role() == RoleLeader {
					workload.propose(keeper, 1)
				}
			}
			workload.runFor(200 * time.Millisecond)
		}
		workload.verifyRecovery()
		if len(workload.oracle.violations) > 0 {
			t.Fatal(workload.oracle.violations)
		}
		total.add(workload)
	})
	t.Logf("%+v", total)
}
