package replicator

import (
	"math/rand/v2"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// randomStream is the second half of the PCG seed; any constant works.
const randomStream = 0x9e3779b97f4a7c15

// start initialises the state and processes the Restored input, if there is one. It returns
// the remaining inputs.
func (replicator *Replicator) start(inputs []Input) []Input {
	replicator.started = true
	replicator.random = rand.New(rand.NewPCG(replicator.Seed, randomStream))
	replicator.votes = tabulator.New[identifier.HostID, VoteReply]()
	replicator.peers = tabulator.New[identifier.HostID, peer]()
	replicator.pending = tabulator.New[identifier.LogIndex, pendingProposal]()
	replicator.memberships = membershipHistory{{members: slices.Clone(replicator.InitialMembers)}}
	replicator.joining.abstains = replicator.Joining
	if err := replicator.Settings.Validate(); err != nil {
		replicator.halt(err)
		return nil
	}
	restored := Restored{}
	if len(inputs) > 0 {
		if first, isRestored := inputs[0].(Restored); isRestored {
			restored = first
			inputs = inputs[1:]
		}
	}
	if err := replicator.restore(restored); err != nil {
		replicator.halt(err)
		return nil
	}
	// A restarted keeper may have promised a leader just before not to vote. It does not
	// remember, so it keeps such a promise from its start on. Otherwise a restarted voter could
	// elect a second leader while the first still serves reads under its lease, and those reads
	// would be stale.
	replicator.lastLeaderContactAt = replicator.now
	replicator.resetElectionDeadline()
	return inputs
}

func (replicator *Replicator) restore(restored Restored) error {
	replicator.hard = restored.HardState
	if restored.Snapshot != nil {
		if err := replicator.restoreSnapshot(*restored.Snapshot); err != nil {
			return err
		}
	}
	for _, entry := range restored.Entries {
		if entry.Index <= replicator.log.lastIndex() {
			continue
		}
		if entry.Index != replicator.log.lastIndex()+1 {
			return inconsistentJournal("entries leave a gap")
		}
		replicator.log.append(entry)
		replicator.recordMembership(entry)
	}
	if replicator.log.lastTerm() > replicator.hard.Term {
		return inconsistentJournal("an entry is newer than the hard state")
	}
	// The hint may be ahead of the entries: a keeper learns of commits before its own disk has
	// caught up.
	replicator.hard.Commit = min(max(replicator.hard.Commit, replicator.log.base), replicator.log.lastIndex())
	replicator.journal.issuedHard = replicator.hard
	replicator.journal.issuedLastIndex = replicator.log.lastIndex()
	replicator.journal.durableIndex = replicator.log.lastIndex()
	return nil
}

func (replicator *Replicator) restoreSnapshot(snapshot Snapshot) error {
	if err := replicator.StateMachine.Restore(snapshot.Data); err != nil {
		return &Error{Operation: "restore state machine", Kind: ErrorUnusableSnapshot, Err: err}
	}
	replicator.snapshot = snapshot
	replicator.log.reset(snapshot.Index, snapshot.Term)
	replicator.memberships = membershipHistory{{snapshot.Index, snapshot.Members}}
	replicator.applied = snapshot.Index
	return nil
}

func inconsistentJournal(reason string) error {
	return &Error{Operation: "restore", Kind: ErrorInconsistentJournal, Err: eris.New(reason)}
}
