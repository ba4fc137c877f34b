package replicator

import (
	"testing"
	"time"
)

// Guards against keepers without a leader for as long as their disks sync slowly: a candidate gave up
// before the votes could be on the disks, and its next campaign made the votes on their way worthless.
func TestLeaderIsElectedWhileDisksSyncSlowly(t *testing.T) {
	const (
		sync = 500 * time.Millisecond
		// limit is an election timeout with its random part, the round of pre-votes, and two syncs for the
		// votes, twice.
		limit = 5 * time.Second
	)
	for seed := range uint64(60) {
		simulation := newSimulation(seed, 3, DefaultSettings())
		simulation.runFor(3 * time.Second)
		simulation.sync = sync
		lost := simulation.leader()
		for handle := range Handle(20) {
			simulation.input(lost, Proposed{Handle: handle + 1<<32, Data: largeEntry()})
			simulation.runFor(100 * time.Millisecond)
		}
		simulation.crash(lost)
		began := simulation.now
		for simulation.leader() == nil && simulation.now-began < 2*limit {
			simulation.runFor(50 * time.Millisecond)
		}
		if took := simulation.now - began; took > limit {
			t.Errorf("seed %d: no leader for %v", seed, took)
		}
		if len(simulation.oracle.violations) > 0 {
			t.Fatal(simulation.oracle.violations)
		}
	}
}
