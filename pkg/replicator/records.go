package replicator

import "github.com/stoathitch/stoathitch/pkg/identifier"

// EntryKind is the kind of content that a log entry holds.
type EntryKind int

const (
	// EntryCommand holds a command for the state machine.
	EntryCommand EntryKind = iota
	// EntryNoOp is what a new leader appends first: once it is committed, so are all entries
	// before it.
	EntryNoOp
	// EntryMembership holds the complete list of members from this index on.
	EntryMembership
)

// Entry is one position of the replicated log.
type Entry struct {
	Index identifier.LogIndex `cbor:"1,keyasint,omitempty"`
	Term  identifier.Term     `cbor:"2,keyasint,omitempty"`
	Kind  EntryKind           `cbor:"3,keyasint,omitempty"`
	Data  []byte              `cbor:"4,keyasint,omitempty"`
}

// HardState is what a keeper must keep across restarts besides its log. Commit is a hint that
// is written along with the rest and never on its own.
type HardState struct {
	Term   identifier.Term     `cbor:"1,keyasint,omitempty"`
	Vote   identifier.HostID   `cbor:"2,keyasint,omitempty"`
	Commit identifier.LogIndex `cbor:"3,keyasint,omitempty"`
}

// MemberRole is whether a member counts for quorums.
type MemberRole int

const (
	// MemberVoter counts for every quorum.
	MemberVoter MemberRole = iota
	// MemberLearner receives the log and counts for no quorum.
	MemberLearner
)

// Member is one keeper that replicates the log.
type Member struct {
	Host identifier.HostID `cbor:"1,keyasint,omitempty"`
	Role MemberRole        `cbor:"2,keyasint,omitempty"`
	// Incarnation is that of the disk with which this member joined; zero for a founder, and in entries of
	// earlier software versions.
	Incarnation identifier.Incarnation `cbor:"3,keyasint,omitempty"`
}

// Snapshot replaces all entries up to and including Index.
type Snapshot struct {
	Index   identifier.LogIndex `cbor:"1,keyasint,omitempty"`
	Term    identifier.Term     `cbor:"2,keyasint,omitempty"`
	Members []Member            `cbor:"3,keyasint,omitempty"`
	Data    []byte              `cbor:"4,keyasint,omitempty"`
}

// StateMachine applies committed commands. It must be deterministic: the same commands in the
// same order give the same results and the same snapshot on every keeper.
type StateMachine interface {
	// Apply executes one command and returns its result.
	Apply(index identifier.LogIndex, data []byte) []byte
	// Snapshot returns the whole state; the caller keeps the slice.
	Snapshot() []byte
	// Restore replaces the whole state by one that Snapshot returned.
	Restore(data []byte) error
}
