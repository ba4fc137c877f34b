package journaler

import (
	"fmt"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// folderContents lists the files of a data folder by kind.
type folderContents struct {
	segments  []segment  // oldest first
	snapshots []Position // newest first
	temporary []string
}

func listFolder(fileSystem FileSystem, folder string) (folderContents, error) {
	names, err := fileSystem.List(folder)
	if err != nil {
		return folderContents{}, storageError("recover", folder, ReadFailed, err)
	}
	var contents folderContents
	for _, name := range names {
		if sequence, matches := parseSegmentName(name); matches {
			contents.segments = append(contents.segments, segment{sequence: sequence})
		}
		if position, matches := parseSnapshotName(name); matches {
			contents.snapshots = append(contents.snapshots, position)
		}
		if isTemporary(name) {
			contents.temporary = append(contents.temporary, name)
		}
	}
	slices.Reverse(contents.snapshots) // names sort by index, then term
	return contents, nil
}

// splitAtGap returns the newest segments with contiguous sequence numbers, and the older ones.
func splitAtGap(segments []segment) (older, contiguous []segment) {
	first := max(len(segments)-1, 0)
	for first > 0 && segments[first-1].sequence+1 == segments[first].sequence {
		first--
	}
	return segments[:first], segments[first:]
}

// recover reads the folder, removes a torn tail and ensures that everything it returns is
// durable.
func (journal *Journal) recover() (Recovered, error) {
	contents, err := listFolder(journal.FileSystem, journal.Folder)
	if err != nil {
		return Recovered{}, err
	}
	older, contiguous := splitAtGap(contents.segments)
	replayed, err := journal.replay(contiguous, len(contents.snapshots) > 0)
	if err != nil {
		return Recovered{}, err
	}
	snapshot, damaged, err := journal.newestSnapshot(contents.snapshots)
	if err != nil {
		return Recovered{}, err
	}
	if err := replayed.checkCoverage(snapshot, older, damaged); err != nil {
		return Recovered{}, err
	}
	if err := journal.finishRecovery(replayed, older, contents.temporary); err != nil {
		return Recovered{}, err
	}
	recovered := Recovered{
		HardState:        replayed.state.hardState,
		Snapshot:         snapshot,
		TruncatedBytes:   replayed.cutBytes,
		DamagedSnapshots: damaged,
	}
	if snapshot != nil {
		journal.applySnapshot(snapshot.Position())
	}
	recovered.Entries = replayed.entriesAfter(journal.state)
	return recovered, nil
}

// newestSnapshot reads the newest intact snapshot and returns the names of the damaged ones that
// it skipped.
func (journal *Journal) newestSnapshot(positions []Position) (*Snapshot, []string, error) {
	var damaged []string
	for _, position := range positions {
		name := snapshotName(position)
		snapshot, err := readSnapshot(journal.FileSystem, journal.path(name), name)
		if err == nil {
			return snapshot, damaged, nil
		}
		if kind, _ := KindOf(err); kind != CorruptRecord {
			return nil, nil, err
		}
		damaged = append(damaged, name)
	}
	return nil, damaged, nil
}

// checkCoverage returns an error if no readable snapshot covers the missing beginning of the log.
// Continuing with the remaining entries would lose accepted ones.
func (replayed *replay) checkCoverage(snapshot *Snapshot, older []segment, damaged []string) error {
	covered := Position{}
	if snapshot != nil {
		covered = snapshot.Position()
	}
	base := replayed.state.base.Index
	if base <= covered.Index {
		return nil
	}
	if len(older) > 0 {
		missing := segment{sequence: older[len(older)-1].sequence + 1}
		err := eris.Errorf("the file is not there, and the snapshot at %d doesn't reach to its end at %d", covered.Index, base)
		return &Error{Operation: "recover", Kind: MissingSegment, File: missing.name(), Err: err}
	}
	file := ""
	if len(damaged) > 0 {
		file = damaged[0]
	}
	err := eris.Errorf("the log begins behind %d, the newest readable snapshot ends at %d", base, covered.Index)
	return &Error{Operation: "recover", Kind: MissingSnapshot, File: file, Err: err}
}

// finishRecovery makes the replayed log durable and opens its last segment for writing.
//
// A failed sync can leave the last frame only in the kernel's cache, marked clean: it can be read
// but is not on the disk, and no sync would write it. So the last frame is written again before
// the sync. One frame is enough, since nothing is ever written after a frame that isn't synced.
func (journal *Journal) finishRecovery(replayed *replay, older []segment, temporary []string) error {
	journal.state = replayed.state
	journal.segments = replayed.segments
	if err := journal.removeLeftovers(replayed, older, temporary); err != nil {
		return err
	}
	if len(journal.segments) == 0 {
		return journal.startSegment(firstSequence)
	}
	name := journal.segments[len(journal.segments)-1].name()
	file, err := journal.FileSystem.Open(journal.path(name))
	if err != nil {
		return storageError("recover", name, WriteFailed, err)
	}
	journal.active = file
	journal.durableEnd = replayed.end
	if err := file.Truncate(replayed.end); err != nil {
		return storageError("recover", name, WriteFailed, err)
	}
	if _, err := file.WriteAt(replayed.lastFrame, replayed.end-int64(len(replayed.lastFrame))); err != nil {
		return storageError("recover", name, WriteFailed, err)
	}
	err = firstError(file.Sync(), journal.FileSystem.SyncFolder(journal.Folder))
	if err != nil {
		return storageError("recover", name, SyncFailed, err)
	}
	return nil
}

// removeLeftovers removes what a crash left behind: partially written snapshots, a partially
// created segment, and segments that a snapshot covers.
func (journal *Journal) removeLeftovers(replayed *replay, older []segment, temporary []string) error {
	names := slices.Clone(temporary)
	for _, segment := range older {
		names = append(names, segment.name())
	}
	if replayed.tornCreation != nil {
		names = append(names, replayed.tornCreation.name())
	}
	for _, name := range names {
		if err := journal.FileSystem.Remove(journal.path(name)); err != nil {
			return storageError("recover", name, WriteFailed, err)
		}
	}
	return nil
}

// entriesAfter returns the entries after the snapshot of the recovered state.
func (replayed *replay) entriesAfter(state logState) []Entry {
	if state.last <= state.snapshot.Index {
		return nil
	}
	skipped := state.snapshot.Index - replayed.state.base.Index
	return replayed.entries[skipped:]
}

// replay is the log as read from the segments.
type replay struct {
	state    logState
	segments []segment
	// entries follow state.base without a gap.
	entries []Entry
	// end is the offset after the last valid frame of the last segment.
	end int64
	// lastFrame is what finishRecovery writes again: the last frame, with the file header if
	// it is the only frame.
	lastFrame    []byte
	cutBytes     identifier.Bytes
	tornCreation *segment
}

func (journal *Journal) replay(contiguous []segment, snapshots bool) (*replay, error) {
	replayed := &replay{}
	if len(contiguous) == 0 && snapshots {
		err := eris.New("there is a snapshot, but no segment with the hard state")
		return nil, &Error{Operation: "recover", Kind: MissingSegment, File: journal.Folder, Err: err}
	}
	for number, segment := range contiguous {
		content, err := journal.FileSystem.Read(journal.path(segment.name()))
		if err != nil {
			return nil, storageError("recover", segment.name(), ReadFailed, err)
		}
		last := number == len(contiguous)-1
		mayBeTorn := last && (number > 0 || segment.sequence == firstSequence && !snapshots)
		if mayBeTorn && isTornCreation(segment, content) {
			replayed.tornCreation = &segment
			replayed.cutBytes = identifier.Bytes(len(content))
			return replayed, nil
		}
		if err := replayed.readSegment(segment, content, last); err != nil {
			return nil, err
		}
	}
	return replayed, nil
}

// isTornCreation reports whether a crash interrupted the creation of a segment: its header or its
// segment start is damaged and no valid frame follows. Then nothing in it was acknowledged.
func isTornCreation(segment segment, content []byte) bool {
	if len(content) > tornCreationBytes || hasSegmentStart(segment, content) {
		return false
	}
	behindStart := min(headerBytes+1, int64(len(content)))
	_, found := findFrame(content, segment.sequence, behindStart)
	return !found
}

// hasSegmentStart reports whether a segment begins with a valid header and frame, or is of an
// unsupported format version, of which that is unknown.
func hasSegmentStart(segment segment, content []byte) bool {
	err := checkHeader(segment.name(), content, segmentMagic, segment.sequence, nil)
	if kind, _ := KindOf(err); err != nil && kind == UnsupportedFormat {
		return true
	}
	if err != nil {
		return false
	}
	_, _, valid := readFrame(content, segment.sequence, headerBytes)
	return valid
}

// readSegment replays one segment. Only the last one may end in a torn frame.
func (replayed *replay) readSegment(segment segment, content []byte, last bool) error {
	if err := checkHeader(segment.name(), content, segmentMagic, segment.sequence, nil); err != nil {
		return err
	}
	offset := int64(headerBytes)
	for offset < int64(len(content)) {
		payload, next, valid := readFrame(content, segment.sequence, offset)
		if !valid {
			return replayed.endAtDamage(segment, content, offset, last)
		}
		if err := replayed.readFrame(&segment, payload, offset); err != nil {
			return corruptError(segment.name(), offset, err.Error())
		}
		replayed.lastFrame = content[offset:next]
		if offset == headerBytes {
			replayed.lastFrame = content[:next]
		}
		offset = next
		replayed.end = offset
	}
	if offset == headerBytes {
		return corruptError(segment.name(), offset, "the segment has no start")
	}
	replayed.segments = append(replayed.segments, segment)
	return nil
}

// endAtDamage removes a torn tail and returns an error for any other damage. A crash can tear
// only the last frame of the last segment, since each frame is synced before the next is written.
// A valid frame after the damage, or a later segment, was acknowledged after the damaged one:
// removing it would lose entries that other hosts rely on.
func (replayed *replay) endAtDamage(segment segment, content []byte, offset int64, last bool) error {
	if !last {
		return corruptError(segment.name(), offset, "a damaged frame, and a later segment follows")
	}
	if offset == headerBytes {
		return corruptError(segment.name(), offset, "the segment's start is damaged")
	}
	if behind, found := findFrame(content, segment.sequence, offset+1); found {
		return corruptError(segment.name(), offset, fmt.Sprintf("a damaged frame, and a valid one follows at offset %d", behind))
	}
	replayed.cutBytes = identifier.Bytes(int64(len(content)) - offset)
	replayed.segments = append(replayed.segments, segment)
	return nil
}

func (replayed *replay) readFrame(segment *segment, payload []byte, offset int64) error {
	records, err := decodeGroup(payload)
	if err != nil {
		return err
	}
	for number, change := range records {
		starts := offset == headerBytes && number == 0
		if starts != (change.Kind == RecordSegmentStart) {
			return eris.New("a segment start is missing or out of place")
		}
		if starts {
			segment.startLast = change.Position.Index
		}
		if starts && len(replayed.segments) == 0 {
			replayed.initState(change)
			continue
		}
		if starts && change.PreviousBytes != replayed.end {
			return eris.Errorf("the previous segment ended at offset %d and now ends at %d", change.PreviousBytes, replayed.end)
		}
		if err := replayed.apply(change); err != nil {
			return err
		}
	}
	return nil
}

// initState initializes the state from the start of the oldest segment.
func (replayed *replay) initState(start record) {
	replayed.state.hardState = *start.HardState
	replayed.state.resetTo(*start.Position)
}

func (replayed *replay) apply(change record) error {
	if err := replayed.state.apply(change); err != nil {
		return err
	}
	switch change.Kind {
	case RecordEntry:
		replayed.entries = append(replayed.entries, *change.Entry)
	case RecordTruncateFrom, RecordSnapshotMarker:
		kept := replayed.state.last - replayed.state.base.Index
		replayed.entries = replayed.entries[:kept]
	}
	return nil
}
