package replicator

import "github.com/stoathitch/stoathitch/pkg/identifier"

// Output is what a Replicator wants done. Outputs are carried out in order.
type Output interface{ output() }

// Send asks to send a message; it may be lost, repeated or reordered.
type Send struct {
	To      identifier.HostID
	Message Message
}

// Persist asks to write and sync, in this order: the snapshot, which replaces the
// whole log; the removal of all entries from TruncateFrom on; the entries; the
// hard state. Persists are written in order of Sequence and may share a sync. A
// crash must leave the effect of some prefix of them, never a part of one.
type Persist struct {
	Sequence  PersistSequence
	HardState HardState
	// TruncateFrom is zero if no entry is to be removed.
	TruncateFrom identifier.LogIndex
	Entries      []Entry
	// Snapshot is nil unless one came from the leader.
	Snapshot *Snapshot
}

// SaveSnapshot asks to write a snapshot beside the log. Once it is synced the
// journal may drop the entries that it covers. Its answer is SnapshotSaved.
type SaveSnapshot struct{ Snapshot Snapshot }

// Applied reports that the state machine has applied an entry.
type Applied struct {
	Entry  Entry
	Result []byte
}

// SnapshotInstalled reports that the state machine was replaced by the leader's
// state as of Index.
type SnapshotInstalled struct{ Index identifier.LogIndex }

// OutcomeKind tells the fate of a proposal or read.
type OutcomeKind int

const (
	// OutcomeAccepted means committed and applied.
	OutcomeAccepted OutcomeKind = iota
	// OutcomeUnknown means that the leadership was lost before the proposal was
	// committed: it may still be, or never. The proposer sends it again with the
	// same request id, by which the state machine recognises it.
	OutcomeUnknown
	// OutcomeNotLeader means that this keeper does not lead; nothing was appended.
	// This and all kinds below are final refusals.
	OutcomeNotLeader
	// OutcomeNoQuorum means that the leader has not heard from a quorum lately.
	OutcomeNoQuorum
	// OutcomeHandingOver means that the leader is giving up its leadership.
	OutcomeHandingOver
	// OutcomeOverloaded means that too many entries wait for a quorum.
	OutcomeOverloaded
	// OutcomeTooLarge means that the data exceed MaxEntryBytes.
	OutcomeTooLarge
	// OutcomeChangeInProgress means that an earlier membership change or the
	// leader's first entry is not committed yet.
	OutcomeChangeInProgress
	// OutcomeNotCaughtUp means that the learner does not hold the committed log on
	// its disk yet.
	OutcomeNotCaughtUp
	// OutcomeQuorumAtRisk means that too few voters would be in touch afterwards.
	OutcomeQuorumAtRisk
	// OutcomeNoSuchChange means that the members already are, or can't become, as
	// asked.
	OutcomeNoSuchChange
)

// ProposalOutcome tells the fate of a proposal or membership change, once for each.
type ProposalOutcome struct {
	Handle Handle
	Kind   OutcomeKind
	Index  identifier.LogIndex
	Result []byte
	// LeaderHint is the leader as far as known, or empty.
	LeaderHint identifier.HostID
}

// ReadReady says that a read of the state machine is now linearizable.
type ReadReady struct {
	Handle Handle
	Index  identifier.LogIndex
}

// ReadRefused says that this keeper can't serve the read.
type ReadRefused struct {
	Handle     Handle
	Kind       OutcomeKind
	LeaderHint identifier.HostID
}

// LeaderChanged reports whom this keeper follows now; empty if nobody.
type LeaderChanged struct {
	Leader identifier.HostID
	Term   identifier.Term
}

// MembershipChanged reports the members that this keeper goes by now.
type MembershipChanged struct{ Members []Member }

// Joined reports that a joining keeper counts from now on.
type Joined struct{}

// TransferAbandoned reports that the other keeper did not take over in time.
type TransferAbandoned struct{}

// Halted reports that this keeper can't go on; it answers to nothing from now on.
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
