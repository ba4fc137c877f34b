package journaler

import (
	"math"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

//go:generate enumer -type=RecordKind -transform=kebab -text -output=recordkind_enumer.go

// RecordKind is the effect of a record when the log is replayed. The numbers are stored on disk:
// never change one, and add new ones at the end.
type RecordKind int

const (
	// RecordSegmentStart is the first record of each segment. It repeats the hard state and
	// the last position, so that earlier segments can be dropped.
	RecordSegmentStart RecordKind = iota
	// RecordEntry appends an entry.
	RecordEntry
	// RecordHardState replaces the hard state.
	RecordHardState
	// RecordTruncateFrom removes the entry at its index and all later ones.
	RecordTruncateFrom
	// RecordSnapshotMarker drops all entries: the log restarts after a snapshot whose last
	// entry it doesn't contain.
	RecordSnapshotMarker
)

// recordOverhead is the approximate size of a record on disk, excluding the entry's data.
const recordOverhead = 32

type record struct {
	Kind      RecordKind `cbor:"1,keyasint"`
	Entry     *Entry     `cbor:"2,keyasint,omitempty"`
	HardState *HardState `cbor:"3,keyasint,omitempty"`
	// Position is the end of the log in a segment start and the snapshot's position in a
	// snapshot marker; a truncation uses only the index.
	Position *Position `cbor:"4,keyasint,omitempty"`
	// PreviousBytes is the length of the previous segment, in a segment start. It reveals an
	// older segment that has lost whole frames at its end.
	PreviousBytes int64 `cbor:"5,keyasint,omitempty"`
}

// group is the payload of one frame.
type group struct {
	Records []record `cbor:"1,keyasint"`
}

var decodeMode = newDecodeMode()

// newDecodeMode raises the library's limit on array lengths, which one large group would exceed.
// That is safe because a frame's checksum is verified before it is decoded.
func newDecodeMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: math.MaxInt32}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

func decodeGroup(payload []byte) ([]record, error) {
	var decoded group
	if err := decodeMode.Unmarshal(payload, &decoded); err != nil {
		return nil, eris.Wrap(err, "decode the records")
	}
	for _, change := range decoded.Records {
		if err := change.check(); err != nil {
			return nil, err
		}
	}
	return decoded.Records, nil
}

// check returns an error if a field that the record's kind requires is missing.
func (record record) check() error {
	complete := false
	switch record.Kind {
	case RecordSegmentStart:
		complete = record.HardState != nil && record.Position != nil
	case RecordEntry:
		complete = record.Entry != nil
	case RecordHardState:
		complete = record.HardState != nil
	case RecordTruncateFrom, RecordSnapshotMarker:
		complete = record.Position != nil
	}
	if !complete {
		return eris.Errorf("a record of kind %s is not known or lacks a field", record.Kind)
	}
	return nil
}

func truncateRecord(from identifier.LogIndex) record {
	return record{Kind: RecordTruncateFrom, Position: &Position{Index: from}}
}
