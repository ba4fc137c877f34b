package replicator

import "github.com/stoathitch/stoathitch/pkg/identifier"

// Input is what a Replicator is told.
type Input interface{ input() }

// Handle names a proposal or read between its input and its outcome on one
// keeper. It is chosen by the caller and means nothing elsewhere.
type Handle uint64

// PersistSequence numbers the Persist outputs of one process, from 1.
type PersistSequence uint64

// Restored hands over what the journal held at start. It must be the first input;
// an empty one starts a new keeper.
type Restored struct {
	HardState HardState
	// Snapshot is nil if none was saved.
	Snapshot *Snapshot
	// Entries are consecutive; those that the snapshot covers are ignored.
	Entries []Entry
}

// MessageArrived hands over a message of another keeper.
type MessageArrived struct {
	From    identifier.HostID
	Message Message
}

// Proposed asks to append a command to the log. Its fate comes back as a
// ProposalOutcome.
type Proposed struct {
	Handle Handle
	Data   []byte
}

// ReadRequested asks for an index at which a read of the state machine sees every
// proposal that was accepted anywhere before this input.
type ReadRequested struct{ Handle Handle }

// Persisted reports that all Persist outputs up to Sequence are synced.
type Persisted struct{ Sequence PersistSequence }

// SnapshotSaved reports that the SaveSnapshot of Index is synced.
type SnapshotSaved struct{ Index identifier.LogIndex }

// PeerReachable is a hint that a connection to a keeper stands.
type PeerReachable struct{ Host identifier.HostID }

// PeerUnreachable is a hint that what was sent to a keeper may be lost.
type PeerUnreachable struct{ Host identifier.HostID }

// ChangeKind tells what a membership change does.
type ChangeKind int

const (
	// ChangeAddLearner adds a member that counts for nothing yet.
	ChangeAddLearner ChangeKind = iota
	// ChangePromote turns a learner that has caught up and synced into a voter.
	ChangePromote
	// ChangeRemove removes a member; the leader cannot remove itself.
	ChangeRemove
)

// MembershipChangeProposed asks for one change of the members.
type MembershipChangeProposed struct {
	Handle Handle
	Kind   ChangeKind
	Host   identifier.HostID
}

// TransferRequested asks a leader to hand over the leadership to the keeper that
// has caught up furthest, as at a graceful shutdown.
type TransferRequested struct{}

func (Restored) input()                 {}
func (MessageArrived) input()           {}
func (Proposed) input()                 {}
func (ReadRequested) input()            {}
func (Persisted) input()                {}
func (SnapshotSaved) input()            {}
func (PeerReachable) input()            {}
func (PeerUnreachable) input()          {}
func (MembershipChangeProposed) input() {}
func (TransferRequested) input()        {}
