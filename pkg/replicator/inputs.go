package replicator

import "github.com/stoathitch/stoathitch/pkg/identifier"

// Input is an event that the caller passes to Replicator.Tick.
type Input interface{ input() }

// Handle matches a proposal or read with its outcome on one keeper. The caller chooses it; it
// has no meaning on other keepers.
type Handle uint64

// PersistSequence numbers the Persist outputs of one process, starting at 1.
type PersistSequence uint64

// Restored passes the contents of the journal at startup. It must be the first input; an
// empty one starts a new keeper.
type Restored struct {
	HardState HardState
	// Snapshot is nil if none was saved.
	Snapshot *Snapshot
	// Entries are consecutive; those covered by the snapshot are ignored.
	Entries []Entry
}

// MessageArrived delivers a message from another keeper.
type MessageArrived struct {
	From    identifier.HostID
	Message Message
}

// Proposed requests that a command be appended to the log. Its outcome is reported by a
// ProposalOutcome.
type Proposed struct {
	Handle Handle
	Data   []byte
}

// ReadRequested requests an index at which a read of the state machine sees every proposal
// that any keeper accepted before this input.
type ReadRequested struct{ Handle Handle }

// Persisted reports that all Persist outputs up to Sequence are synced.
type Persisted struct{ Sequence PersistSequence }

// SnapshotSaved reports that the SaveSnapshot of Index is synced.
type SnapshotSaved struct{ Index identifier.LogIndex }

// PeerReachable is a hint that a connection to a keeper is established.
type PeerReachable struct{ Host identifier.HostID }

// PeerUnreachable is a hint that messages sent to a keeper may be lost.
type PeerUnreachable struct{ Host identifier.HostID }

// ChangeKind is the kind of a membership change.
type ChangeKind int

const (
	// ChangeAddLearner adds a member that does not count for any quorum yet.
	ChangeAddLearner ChangeKind = iota
	// ChangePromote turns a learner that has caught up and synced into a voter.
	ChangePromote
	// ChangeRemove removes a member; the leader cannot remove itself.
	ChangeRemove
)

// MembershipChangeProposed requests one membership change. Its outcome is reported by a
// ProposalOutcome.
type MembershipChangeProposed struct {
	Handle Handle
	Kind   ChangeKind
	Host   identifier.HostID
	// Incarnation is that of the joining disk that ChangeAddLearner adds, or zero.
	Incarnation identifier.Incarnation
}

// TransferRequested asks a leader to transfer the leadership to the most caught-up voter, as
// at a graceful shutdown.
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
