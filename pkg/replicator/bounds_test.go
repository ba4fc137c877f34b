package replicator

import (
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// heldBytesBound limits the data of all entries that a keeper may hold in memory, whether they are
// committed or not.
const heldBytesBound identifier.Bytes = 24 << 20

// largeEntry is the data of a command as large as a configuration of 2,000 routes.
func largeEntry() []byte { return make([]byte, 400<<10) }

func (keeper *keeper) heldBytes() identifier.Bytes { return dataBytes(keeper.replicator.log.entries) }

func dataBytes(entries []Entry) identifier.Bytes {
	total := identifier.Bytes(0)
	for _, entry := range entries {
		total += identifier.Bytes(len(entry.Data))
	}
	return total
}

// proposeLarge lets the leader propose large entries, one every 50 ms, and returns the most data
// that any keeper held in memory meanwhile and how many entries were accepted.
func (simulation *simulation) proposeLarge(t *testing.T, count int) (held identifier.Bytes, accepted int) {
	t.Helper()
	simulation.onOutcome = func(_ *keeper, outcome ProposalOutcome) {
		if outcome.Kind == OutcomeAccepted {
			accepted++
		}
	}
	for range count {
		if leader := simulation.leader(); leader != nil {
			simulation.input(leader, Proposed{Handle: Handle(simulation.steps) + 1<<32, Data: largeEntry()})
		}
		simulation.runFor(50 * time.Millisecond)
		for _, keeper := range simulation.keepers {
			held = max(held, keeper.heldBytes())
		}
	}
	if len(simulation.oracle.violations) > 0 {
		t.Fatal(simulation.oracle.violations)
	}
	return held, accepted
}

// TestLargeEntriesAreCompacted guards against keepers that run out of disk and memory: a few
// hundred large entries are far fewer than the entries between two snapshots, so a log that is
// compacted by count alone keeps all of them.
func TestLargeEntriesAreCompacted(t *testing.T) {
	simulation := newSimulation(1, 3, DefaultSettings())
	simulation.runFor(3 * time.Second)
	held, accepted := simulation.proposeLarge(t, 400)
	if accepted != 400 {
		t.Errorf("%d of 400 entries were accepted", accepted)
	}
	if held > heldBytesBound {
		t.Errorf("a keeper held %d bytes, want at most %d", held, heldBytesBound)
	}
}

// TestRefusingDiskHoldsFewEntries guards against a keeper that runs out of memory: its disk refuses
// all writes for a while, messages are lost, and the leader sends it each new entry although it
// acknowledges none. Changes must go on meanwhile, under another leader if it is the leader's disk. Once
// the disk accepts writes, the keeper must catch up.
func TestRefusingDiskHoldsFewEntries(t *testing.T) {
	for _, name := range []string{"leader", "follower"} {
		t.Run(name, func(t *testing.T) {
			simulation := newSimulation(2, 3, DefaultSettings())
			simulation.runFor(3 * time.Second)
			refusing := simulation.leader()
			for _, keeper := range simulation.keepers {
				if name == "follower" && keeper != simulation.leader() {
					refusing = keeper
				}
			}
			refusing.disk.refuses = true
			simulation.lossShare = 20
			held, accepted := simulation.proposeLarge(t, 400)
			if held > heldBytesBound {
				t.Errorf("a keeper held %d bytes, want at most %d", held, heldBytesBound)
			}
			if accepted < 350 {
				t.Errorf("%d of 400 entries were accepted while one of three disks refuses writes", accepted)
			}
			simulation.lossShare = 0
			simulation.acceptWrites(refusing)
			simulation.runFor(5 * time.Second)
			if _, accepted := simulation.proposeLarge(t, 10); accepted != 10 {
				t.Errorf("%d of 10 entries were accepted after the disk accepts writes", accepted)
			}
			simulation.runFor(time.Second)
			simulation.oracle.checkConverged(simulation.keepers, refusing.replicator.Members())
			if len(simulation.oracle.violations) > 0 {
				t.Error(simulation.oracle.violations)
			}
		})
	}
}
