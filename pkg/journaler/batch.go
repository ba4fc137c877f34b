package journaler

import "github.com/stoathitch/stoathitch/pkg/identifier"

// EntryKind tells the replicator how to decode an entry's Data. The journal stores it without
// interpreting it.
type EntryKind uint8

// Entry is one entry of the replicated log.
type Entry struct {
	Index identifier.LogIndex `cbor:"1,keyasint"`
	Term  identifier.Term     `cbor:"2,keyasint"`
	Kind  EntryKind           `cbor:"3,keyasint,omitempty"`
	Data  []byte              `cbor:"4,keyasint,omitempty"`
}

// HardState is what a keeper must persist besides the log so that its votes and acknowledgements
// stay valid after a restart.
type HardState struct {
	Term     identifier.Term     `cbor:"1,keyasint,omitempty" json:"term"`
	VotedFor identifier.HostID   `cbor:"2,keyasint,omitempty" json:"voted-for,omitempty"`
	Commit   identifier.LogIndex `cbor:"3,keyasint,omitempty" json:"commit"`
}

// Position is a log index and the term of the entry at that index.
type Position struct {
	Index identifier.LogIndex `cbor:"1,keyasint,omitempty" json:"index"`
	Term  identifier.Term     `cbor:"2,keyasint,omitempty" json:"term"`
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index identifier.LogIndex `cbor:"1,keyasint"`
	Term  identifier.Term     `cbor:"2,keyasint"`
	// Meta is the replicator's own state, such as the members.
	Meta []byte `cbor:"3,keyasint,omitempty"`
	// Data is the serialized replicated state.
	Data []byte `cbor:"4,keyasint,omitempty"`
}

// Position returns the position of the last entry that the snapshot covers.
func (snapshot Snapshot) Position() Position {
	return Position{Index: snapshot.Index, Term: snapshot.Term}
}

// Batch is a set of changes that become durable together. They are applied in the order
// truncation, entries, hard state.
type Batch struct {
	// TruncateFrom removes the entry at this index and all later ones; zero removes none.
	TruncateFrom identifier.LogIndex
	// Entries follow the last remaining entry without a gap.
	Entries []Entry
	// HardState is nil if it hasn't changed.
	HardState *HardState
}

// size estimates the size of the batch on disk.
func (batch Batch) size() identifier.Bytes {
	size := identifier.Bytes(recordOverhead)
	for _, entry := range batch.Entries {
		size += identifier.Bytes(len(entry.Data)) + recordOverhead
	}
	return size
}
