package replicator

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// repairedKeepers returns three keepers under repair, of which victim lost its disk once and was
// added again, and which lead, follow and miss all that is proposed from now on.
func repairedKeepers(t *testing.T) (simulation *simulation, leader, victim, behind *keeper) {
	t.Helper()
	settings := DefaultSettings()
	settings.MinCopies = 2
	settings.MaxBatchEntries = 1
	settings.MaxInFlightEntries = 1
	simulation = newSimulation(3, 3, settings)
	simulation.maintainMembers()
	simulation.runFor(3 * time.Second)
	leader = simulation.leader()
	for _, keeper := range simulation.keepers {
		if keeper != leader && victim == nil {
			victim = keeper
		} else if keeper != leader {
			behind = keeper
		}
	}
	simulation.loseDisk(victim)
	simulation.start(victim)
	simulation.runFor(3 * time.Second)
	if victim.joining || leader != simulation.leader() {
		t.Fatal("the keeper that lost its disk was not added again")
	}
	simulation.isolate(behind.host)
	return simulation, leader, victim, behind
}

// replayFirstAdmission loses the victim's disk once more while the leader loses power. The leader is
// elected again by the keeper that is behind, which is cut off then. It runs until the victim has
// replayed and synced its former admission, and nothing behind it.
func (simulation *simulation) replayFirstAdmission(t *testing.T, leader, victim, behind *keeper, promoted identifier.LogIndex) {
	t.Helper()
	simulation.crash(leader)
	simulation.loseDisk(victim)
	simulation.heal()
	simulation.start(leader)
	simulation.runUntil(t, func() bool { return leader.replicator.Role() == RoleLeader })
	simulation.isolate(behind.host)
	simulation.start(victim)
	simulation.runUntil(t, func() bool { return victim.replicator.journal.durableIndex == promoted })
}

func (simulation *simulation) runUntil(t *testing.T, reached func() bool) {
	t.Helper()
	for range 100_000 {
		if reached() {
			return
		}
		simulation.runFor(100 * time.Microsecond)
	}
	t.Fatal("the state was not reached")
}

// TestSecondDiskLossIgnoresTheFirstAdmission guards against the loss of an accepted entry: a keeper
// loses its disk for the second time and replays its admission after the first. The entry that it
// acknowledged in between is held by the leader alone, which is lost, and the third keeper
// lacks it. The joining keeper must not vote for the third, even if it restarts meanwhile.
func TestSecondDiskLossIgnoresTheFirstAdmission(t *testing.T) {
	for _, name := range []string{"keeps running", "restarts"} {
		t.Run(name, func(t *testing.T) {
			simulation, leader, victim, behind := repairedKeepers(t)
			promoted := leader.replicator.memberships.lastIndex()
			simulation.input(leader, Proposed{Handle: 1, Data: binary.LittleEndian.AppendUint64(nil, 7)})
			simulation.runFor(100 * time.Millisecond)
			accepted := simulation.oracle.acceptedAt[1]
			if accepted <= promoted {
				t.Fatalf("the entry was accepted at %d, the promotion is at %d", accepted, promoted)
			}
			simulation.replayFirstAdmission(t, leader, victim, behind, promoted)
			simulation.crash(leader)
			if name == "restarts" {
				simulation.crash(victim)
				simulation.start(victim)
			}
			simulation.heal()
			simulation.runFor(10 * time.Second)
			if elected := simulation.leader(); elected != nil {
				t.Errorf("%s leads without the accepted entry", elected.host)
			}
			simulation.start(leader)
			simulation.runFor(10 * time.Second)
			if victim.joining {
				t.Error("the keeper that lost its disk is no voter after 10 s")
			}
			simulation.oracle.checkConverged(simulation.keepers, behind.replicator.Members())
			if len(simulation.oracle.violations) > 0 {
				t.Error(simulation.oracle.violations)
			}
		})
	}
}

// TestAdmissionByFormerVersionDoesNotCount guards against both halves of an upgrade during which a
// disk is lost: a leader of the former version names no incarnation, so its admission can't be told
// from an older one and must not count, and a leader of this version must then add the keeper anew.
func TestAdmissionByFormerVersionDoesNotCount(t *testing.T) {
	simulation := newSimulation(4, 3, DefaultSettings())
	simulation.maintainMembers()
	simulation.runFor(3 * time.Second)
	leader := simulation.leader()
	leader.formerVersion = true
	leader.added = make(map[identifier.HostID]identifier.Incarnation)
	victim := simulation.keepers[0]
	if victim == leader {
		victim = simulation.keepers[1]
	}
	simulation.loseDisk(victim)
	simulation.start(victim)
	simulation.runFor(5 * time.Second)
	if !isVoter(leader.replicator.Members(), victim.host) || simulation.leader() != leader {
		t.Fatal("the leader of the former version did not make the keeper a voter")
	}
	if !victim.joining {
		t.Error("an admission without an incarnation counts")
	}
	simulation.input(leader, TransferRequested{})
	simulation.runFor(5 * time.Second)
	if victim.joining {
		t.Error("a leader of this version did not add the keeper anew")
	}
	if len(simulation.oracle.violations) > 0 {
		t.Error(simulation.oracle.violations)
	}
}
