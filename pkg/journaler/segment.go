package journaler

import (
	"fmt"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

const (
	segmentPattern = "segment-%016x.log"
	firstSequence  = 1
	// tornCreationBytes bounds a segment that a crash interrupted in its
	// creation: a header and one segment start. A longer file without a valid
	// frame is damaged.
	tornCreationBytes = 4096
)

// segment is one file of the log.
type segment struct {
	sequence uint64
	// startLast is the last index of the log when the segment was created.
	startLast identifier.LogIndex
}

func (part segment) name() string { return fmt.Sprintf(segmentPattern, part.sequence) }

// parseSegmentName returns the sequence number in a file name.
func parseSegmentName(name string) (sequence uint64, matches bool) {
	if _, err := fmt.Sscanf(name, segmentPattern, &sequence); err != nil {
		return 0, false
	}
	return sequence, name == segment{sequence: sequence}.name()
}

// startSegment goes on in a new file. It is durable, name and all, before the
// first frame goes into it, and the file before it is synced to its end.
func (journal *Journal) startSegment(sequence uint64) error {
	part := segment{sequence: sequence, startLast: journal.state.last}
	content, err := journal.segmentStart(sequence)
	if err != nil {
		return &Error{Operation: "start segment", Kind: Invalid, File: part.name(), Err: err}
	}
	file, err := journal.FileSystem.Create(journal.path(part.name()))
	if err != nil {
		return journal.abandonSegment(part, storageError("start segment", part.name(), WriteFailed, err))
	}
	if _, err := file.WriteAt(content, 0); err != nil {
		_ = file.Close() // the file goes away
		return journal.abandonSegment(part, storageError("start segment", part.name(), WriteFailed, err))
	}
	err = file.Sync()
	if err == nil {
		err = journal.FileSystem.SyncFolder(journal.Folder)
	}
	if err != nil {
		_ = file.Close() // the journal is broken already
		return journal.markBroken(storageError("start segment", part.name(), SyncFailed, err))
	}
	if journal.active != nil {
		_ = journal.active.Close() // it is synced
	}
	journal.active = file
	journal.durableEnd = int64(len(content))
	journal.segments = append(journal.segments, part)
	return nil
}

func (journal *Journal) segmentStart(sequence uint64) ([]byte, error) {
	hardState := journal.state.hardState
	position := journal.state.lastPosition()
	start := record{Kind: RecordSegmentStart, HardState: &hardState, Position: &position, PreviousBytes: journal.durableEnd}
	frame, err := encodeFrame([]record{start}, sequence, headerBytes)
	if err != nil {
		return nil, err
	}
	return append(encodeHeader(segmentMagic, sequence, nil), frame...), nil
}

// abandonSegment removes what a full disk let be written of a new segment, so
// that the log can go on in the old one. Any other failure breaks the journal.
func (journal *Journal) abandonSegment(part segment, cause *Error) error {
	if cause.Kind != DiskFull {
		return journal.markBroken(cause)
	}
	names, err := journal.FileSystem.List(journal.Folder)
	if err != nil {
		return journal.markBroken(cause)
	}
	for _, name := range names {
		if name != part.name() {
			continue
		}
		if err := journal.FileSystem.Remove(journal.path(name)); err != nil {
			return journal.markBroken(cause)
		}
	}
	if err := journal.FileSystem.SyncFolder(journal.Folder); err != nil {
		return journal.markBroken(cause)
	}
	return cause
}

// dropSegments removes the segments whose entries the snapshot covers.
func (journal *Journal) dropSegments() error {
	dropped := 0
	for dropped+1 < len(journal.segments) && journal.segments[dropped+1].startLast <= journal.state.snapshot.Index {
		if err := journal.FileSystem.Remove(journal.path(journal.segments[dropped].name())); err != nil {
			return journal.markBroken(storageError("drop segment", journal.segments[dropped].name(), WriteFailed, err))
		}
		dropped++
	}
	journal.segments = journal.segments[dropped:]
	return nil
}
