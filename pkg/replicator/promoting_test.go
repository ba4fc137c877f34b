package replicator

import (
	"testing"
	"time"
)

// newSimulationWithLearner returns three voters, one of which leads, and a learner.
func newSimulationWithLearner(seed uint64) (simulation *simulation, leader, learner *keeper) {
	simulation = newSimulation(seed, 3, DefaultSettings())
	simulation.runFor(3 * time.Second)
	leader = simulation.leader()
	learner = simulation.addKeeper("k3", nil)
	simulation.input(leader, MembershipChangeProposed{Handle: 1, Kind: ChangeAddLearner, Host: learner.host})
	simulation.runFor(time.Second)
	return simulation, leader, learner
}

// Guards against a learner that never becomes a voter while entries are accepted, since it is a sync behind
// what is committed at each moment: once two voters are replaced in turn, the log has no quorum left.
func TestLearnerIsPromotedWhileEntriesAreAccepted(t *testing.T) {
	const (
		changeInterval = 100 * time.Millisecond
		limit          = 4 * time.Second
	)
	simulation, leader, learner := newSimulationWithLearner(5)
	simulation.sync = 30 * time.Millisecond
	learner.disk.sync = 150 * time.Millisecond
	propose := func(handle Handle) {
		simulation.input(leader, Proposed{Handle: handle + 1<<32, Data: largeEntry()})
		simulation.runFor(changeInterval)
	}
	for handle := range Handle(10) {
		propose(handle)
	}
	for handle := Handle(10); handle < 10+Handle(limit/changeInterval); handle++ {
		propose(handle)
		simulation.input(leader, MembershipChangeProposed{Handle: handle, Kind: ChangePromote, Host: learner.host})
		if isVoter(leader.replicator.Members(), learner.host) {
			return
		}
	}
	t.Errorf("after %v the learner holds %d of %d committed entries and is no voter; violations %v", limit,
		leader.replicator.peers.Get(learner.host).match, leader.replicator.hard.Commit, simulation.oracle.violations)
}

// Guards against a learner that is promoted while it is far behind: until it has caught up, the loss of one
// more voter would block the log.
func TestLearnerFarBehindIsNotPromoted(t *testing.T) {
	simulation, leader, learner := newSimulationWithLearner(6)
	learner.disk.refuses = true
	for handle := Handle(2); handle < 100; handle++ {
		simulation.input(leader, Proposed{Handle: handle + 1<<32, Data: largeEntry()})
		simulation.runFor(50 * time.Millisecond)
		if handle < 2+Handle(2*simulation.settings.ElectionTimeout/(50*time.Millisecond)) {
			continue
		}
		simulation.input(leader, MembershipChangeProposed{Handle: handle, Kind: ChangePromote, Host: learner.host})
		if isVoter(leader.replicator.Members(), learner.host) {
			t.Fatal("a learner whose disk refuses writes is promoted")
		}
	}
}

// Guards against a lost voter that can't be replaced while changes wait for a slow disk: a change of the
// members, which is small, was refused as they were.
func TestMembersChangeWhileTheLeaderIsOverloaded(t *testing.T) {
	simulation, leader, learner := newSimulationWithLearner(8)
	simulation.sync = time.Second
	outcomes := make(map[Handle]OutcomeKind)
	simulation.onOutcome = func(_ *keeper, outcome ProposalOutcome) { outcomes[outcome.Handle] = outcome.Kind }
	for handle := Handle(100); handle < 140; handle++ {
		simulation.input(leader, Proposed{Handle: handle, Data: largeEntry()})
	}
	simulation.input(leader, MembershipChangeProposed{Handle: 2, Kind: ChangePromote, Host: learner.host})
	simulation.runFor(5 * time.Second)
	if outcomes[139] != OutcomeOverloaded || outcomes[2] != OutcomeAccepted {
		t.Errorf("the last entry: %v, the change of the members: %v", outcomes[139], outcomes[2])
	}
}
