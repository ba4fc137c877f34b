package journaler

import "github.com/stoathitch/stoathitch/pkg/identifier"

// EntryKind tells the replicator how to read an entry's Data. The journal keeps
// it and doesn't read it.
type EntryKind uint8

// Entry is one position of the replicated log.
type Entry struct {
	Index identifier.LogIndex `cbor:"1,keyasint"`
	Term  identifier.Term     `cbor:"2,keyasint"`
	Kind  EntryKind           `cbor:"3,keyasint,omitempty"`
	Data  []byte              `cbor:"4,keyasint,omitempty"`
}

// HardState is what a keeper must remember, besides the log, to keep its
// promises over a restart.
type HardState struct {
	Term     identifier.Term     `cbor:"1,keyasint,omitempty" json:"term"`
	VotedFor identifier.HostID   `cbor:"2,keyasint,omitempty" json:"voted-for,omitempty"`
	Commit   identifier.LogIndex `cbor:"3,keyasint,omitempty" json:"commit"`
}

// Position is an index and the term of the entry there.
type Position struct {
	Index identifier.LogIndex `cbor:"1,keyasint,omitempty" json:"index"`
	Term  identifier.Term     `cbor:"2,keyasint,omitempty" json:"term"`
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index identifier.LogIndex `cbor:"1,keyasint"`
	Term  identifier.Term     `cbor:"2,keyasint"`
	// Meta is what the replicator itself needs, such as the members.
	Meta []byte `cbor:"3,keyasint,omitempty"`
	// Data is the replicated state.
	Data []byte `cbor:"4,keyasint,omitempty"`
}

// Position returns the position that the snapshot ends at.
func (snapshot Snapshot) Position() Position {
	return Position{Index: snapshot.Index, Term: snapshot.Term}
}

// Batch is what becomes durable together: first the truncation, then the
// entries, then the hard state.
type Batch struct {
	// TruncateFrom removes the entry at this index and all behind it; zero
	// removes none.
	TruncateFrom identifier.LogIndex
	// Entries follow the last entry that is left, without a gap.
	Entries []Entry
	// HardState is nil when it hasn't changed.
	HardState *HardState
}

// size estimates the bytes that the batch takes on disk.
func (batch Batch) size() identifier.Bytes {
	size := identifier.Bytes(recordOverhead)
	for _, entry := range batch.Entries {
		size += identifier.Bytes(len(entry.Data)) + recordOverhead
	}
	return size
}
