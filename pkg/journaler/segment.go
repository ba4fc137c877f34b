package journaler

import (
	"fmt"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

const (
	segmentPattern = "segment-%016x.log"
	firstSequence  = 1
	// tornCreationBytes is the maximum size of a segment whose creation was interrupted by a
	// crash: a header and one segment start. A longer file without a valid frame is damaged.
	tornCreationBytes = 4096
)

// segment is one file of the log.
type segment struct {
	sequence uint64
	// startLast is the last log index at the creation of the segment.
	startLast identifier.LogIndex
}

func (segment segment) name() string { return fmt.Sprintf(segmentPattern, segment.sequence) }

// parseSegmentName returns the sequence number in a file name, and whether it names a segment.
func parseSegmentName(name string) (sequence uint64, matches bool) {
	if _, err := fmt.Sscanf(name, segmentPattern, &sequence); err != nil {
		return 0, false
	}
	return sequence, name == segment{sequence: sequence}.name()
}

// startSegment creates a new segment and makes it the active one. The file and its name are
// durable before the first frame is written to it, and the previous file is fully synced.
func (journal *Journal) startSegment(sequence uint64) error {
	segment := segment{sequence: sequence, startLast: journal.state.last}
	content, err := journal.encodeSegmentStart(sequence)
	if err != nil {
		return &Error{Operation: "start segment", Kind: Invalid, File: segment.name(), Err: err}
	}
	file, err := journal.FileSystem.Create(journal.path(segment.name()))
	if err != nil {
		return journal.abandonSegment(segment, storageError("start segment", segment.name(), WriteFailed, err))
	}
	if _, err := file.WriteAt(content, 0); err != nil {
		_ = file.Close() // the file is removed
		return journal.abandonSegment(segment, storageError("start segment", segment.name(), WriteFailed, err))
	}
	err = file.Sync()
	if err == nil {
		err = journal.FileSystem.SyncFolder(journal.Folder)
	}
	if err != nil {
		_ = file.Close() // the journal is broken already
		return journal.markBroken(storageError("start segment", segment.name(), SyncFailed, err))
	}
	if journal.active != nil {
		_ = journal.active.Close() // already synced
	}
	journal.active = file
	journal.durableEnd = int64(len(content))
	journal.segments = append(journal.segments, segment)
	return nil
}

func (journal *Journal) encodeSegmentStart(sequence uint64) ([]byte, error) {
	hardState := journal.state.hardState
	position := journal.state.lastPosition()
	start := record{Kind: RecordSegmentStart, HardState: &hardState, Position: &position, PreviousBytes: journal.durableEnd}
	frame, err := encodeFrame([]record{start}, sequence, headerBytes)
	if err != nil {
		return nil, err
	}
	return append(encodeHeader(segmentMagic, sequence, nil), frame...), nil
}

// abandonSegment removes the partially written new segment after the disk ran full, so that
// the log can continue in the old one. Any other failure breaks the journal.
func (journal *Journal) abandonSegment(segment segment, cause *Error) error {
	if cause.Kind != DiskFull {
		return journal.markBroken(cause)
	}
	names, err := journal.FileSystem.List(journal.Folder)
	if err != nil {
		return journal.markBroken(cause)
	}
	for _, name := range names {
		if name != segment.name() {
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

// dropSegments removes the segments whose entries are all covered by the snapshot.
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
