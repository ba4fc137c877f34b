package replicator

import "github.com/stoathitch/stoathitch/pkg/identifier"

// Output is an action for the caller to carry out or an event for it to handle, in order.
type Output interface{ output() }

// Send requests that a message be sent; it may be lost, duplicated or reordered.
type Send struct {
	To      identifier.HostID
	Message Message
}

// Persist requests that the following be written and synced, in this order: the snapshot,
// which replaces the whole log; the removal of all entries from TruncateFrom on; the entries;
// the hard state. Persists are written in order of Sequence and may share a sync. After a
// crash, the effect of some prefix of them must remain, never a part of one.
type Persist struct {
	Sequence  PersistSequence
	HardState HardState
	// TruncateFrom is zero if no entry is to be removed.
	TruncateFrom identifier.LogIndex
	Entries      []Entry
	// Snapshot is nil unless one was received from the leader.
	Snapshot *Snapshot
}

// SaveSnapshot requests that a snapshot be written in addition to the log. Once it is synced,
// the journal may drop the entries that it covers, and the caller reports SnapshotSaved.
type SaveSnapshot struct{ Snapshot Snapshot }

// Applied reports that the state machine has applied an entry.
type Applied struct {
	Entry  Entry
	Result []byte
}

// SnapshotInstalled reports that the state machine was replaced by the leader's state as of
// Index.
type SnapshotInstalled struct{ Index identifier.LogIndex }

// OutcomeKind is the outcome of a proposal, or why a read was refused.
type OutcomeKind int

const (
	// OutcomeAccepted means committed and applied.
	OutcomeAccepted OutcomeKind = iota
	// OutcomeUnknown means that the leadership was lost before the proposal was committed: it
	// may still be committed, or never. The proposer resends it with the same request id, by
	// which the state machine recognises it.
	OutcomeUnknown
	// OutcomeNotLeader means that this keeper does not lead; nothing was appended. This and all
	// kinds below are final refusals.
	OutcomeNotLeader
	// OutcomeNoQuorum means that no quorum has responded to the leader recently.
	OutcomeNoQuorum
	// OutcomeHandingOver means that the leader is transferring its leadership.
	OutcomeHandingOver
	// OutcomeOverloaded means that too many entries are not committed yet.
	OutcomeOverloaded
	// OutcomeTooLarge means that the data exceed MaxEntryBytes.
	OutcomeTooLarge
	// OutcomeChangeInProgress means that an earlier membership change or the leader's first
	// entry is not committed yet.
	OutcomeChangeInProgress
	// OutcomeNotCaughtUp means that the learner does not hold the committed log on its disk yet.
	OutcomeNotCaughtUp
	// OutcomeQuorumAtRisk means that too few voters of the changed membership have responded
	// recently.
	OutcomeQuorumAtRisk
	// OutcomeNoSuchChange means that the members already are as requested or cannot be changed
	// so.
	OutcomeNoSuchChange
)

// ProposalOutcome reports the outcome of a proposal or membership change, exactly once for
// each.
type ProposalOutcome struct {
	Handle Handle
	Kind   OutcomeKind
	Index  identifier.LogIndex
	Result []byte
	// LeaderHint is the last known leader, or empty.
	LeaderHint identifier.HostID
}

// ReadReady reports that a read of the state machine is now linearizable.
type ReadReady struct {
	Handle Handle
	Index  identifier.LogIndex
}

// ReadRefused reports that this keeper cannot serve the read.
type ReadRefused struct {
	Handle     Handle
	Kind       OutcomeKind
	LeaderHint identifier.HostID
}

// LeaderChanged reports the leader that this keeper follows now, empty if there is none.
type LeaderChanged struct {
	Leader identifier.HostID
	Term   identifier.Term
}

// MembershipChanged reports the members that are now in effect on this keeper.
type MembershipChanged struct{ Members []Member }

// Joined reports that a joining keeper counts as a voter from now on.
type Joined struct{}

// TransferAbandoned reports that no keeper could take over or that the target did not take
// over in time.
type TransferAbandoned struct{}

// Halted reports a fatal error; this keeper responds to nothing from now on.
type Halted struct{ Err *Error }

func (Send) output()              {}
func (Persist) output()           {}
func (SaveSnapshot) output()      {}
func (Applied) output()           {}
func (SnapshotInstalled) output() {}
func (ProposalOutcome) output()   {}
func (ReadReady) output()         {}
func (ReadRefused) output()       {}
func (LeaderChanged) output()     {}
func (MembershipChanged) output() {}
func (Joined) output()            {}
func (TransferAbandoned) output() {}
func (Halted) output()            {}
