package journaler

import (
	"math"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

//go:generate enumer -type=RecordKind -transform=kebab -text -output=recordkind_enumer.go

// RecordKind tells what a record does when the log is replayed. The numbers are
// on disk: never change one, add new ones at the end.
type RecordKind int

const (
	// RecordSegmentStart opens each segment: it repeats the hard state and the
	// last position, so that the segments before it can be dropped.
	RecordSegmentStart RecordKind = iota
	// RecordEntry appends an entry.
	RecordEntry
	// RecordHardState replaces the hard state.
	RecordHardState
	// RecordTruncateFrom removes the entry at its index and all behind it.
	RecordTruncateFrom
	// RecordSnapshotMarker drops all entries: the log goes on behind a snapshot
	// that doesn't continue it.
	RecordSnapshotMarker
)

// recordOverhead is about what a record takes on disk besides an entry's data.
const recordOverhead = 32

type record struct {
	Kind      RecordKind `cbor:"1,keyasint"`
	Entry     *Entry     `cbor:"2,keyasint,omitempty"`
	HardState *HardState `cbor:"3,keyasint,omitempty"`
	// Position is the end of the log for a segment start, the snapshot's for a
	// marker; a truncation uses only its index.
	Position *Position `cbor:"4,keyasint,omitempty"`
	// PreviousBytes is the length of the segment before, in a segment start. An
	// older segment that lost whole frames at its end is told by it.
	PreviousBytes int64 `cbor:"5,keyasint,omitempty"`
}

// group is the payload of one frame.
type group struct {
	Records []record `cbor:"1,keyasint"`
}

var decodeMode = newDecodeMode()

// newDecodeMode lifts the library's limit on array lengths, which one large
// group would pass; a frame's checksum was checked before it is decoded.
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
	for _, found := range decoded.Records {
		if err := found.check(); err != nil {
			return nil, err
		}
	}
	return decoded.Records, nil
}

// check sees to it that the fields that the kind needs are there.
func (found record) check() error {
	complete := false
	switch found.Kind {
	case RecordSegmentStart:
		complete = found.HardState != nil && found.Position != nil
	case RecordEntry:
		complete = found.Entry != nil
	case RecordHardState:
		complete = found.HardState != nil
	case RecordTruncateFrom, RecordSnapshotMarker:
		complete = found.Position != nil
	}
	if !complete {
		return eris.Errorf("a record of kind %s is not known or lacks a field", found.Kind)
	}
	return nil
}

func truncateRecord(from identifier.LogIndex) record {
	return record{Kind: RecordTruncateFrom, Position: &Position{Index: from}}
}
