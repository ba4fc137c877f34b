package journaler

import (
	"fmt"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// folderContents is what stands in a data folder, by kind.
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

// splitAtGap returns the newest segments that follow each other without a gap,
// and the older ones.
func splitAtGap(segments []segment) (older, run []segment) {
	first := max(len(segments)-1, 0)
	for first > 0 && segments[first-1].sequence+1 == segments[first].sequence {
		first--
	}
	return segments[:first], segments[first:]
}

// recover reads the folder, cuts a torn tail and makes sure that all it returns
// is durable.
func (journal *Journal) recover() (Recovered, error) {
	contents, err := listFolder(journal.FileSystem, journal.Folder)
	if err != nil {
		return Recovered{}, err
	}
	older, run := splitAtGap(contents.segments)
	replayed, err := journal.replay(run, len(contents.snapshots) > 0)
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
	if err := journal.settle(replayed, older, contents.temporary); err != nil {
		return Recovered{}, err
	}
	recovered := Recovered{
		HardState:        replayed.state.hardState,
		Snapshot:         snapshot,
		CutBytes:         replayed.cutBytes,
		DamagedSnapshots: damaged,
	}
	if snapshot != nil {
		journal.takeSnapshot(snapshot.Position())
	}
	recovered.Entries = replayed.entriesBehind(journal.state)
	return recovered, nil
}

// newestSnapshot reads the newest snapshot that is intact, and names the damaged
// ones that it passed over.
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

// checkCoverage refuses a log whose beginning stands in no readable snapshot.
// Serving from what is left would make accepted entries vanish.
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

// settle makes what was replayed durable and opens its last segment for more.
//
// A failed sync can leave the last frame in the kernel's cache only, marked
// clean: it reads back, yet is not on the disk, and no sync would write it. So
// the last frame is written again before the sync. One frame is enough, since
// nothing is ever written behind a frame that isn't synced.
func (journal *Journal) settle(replayed *replay, older []segment, temporary []string) error {
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

// removeLeftovers removes what a crash left behind: half-written snapshots, a
// half-created segment, and segments that a snapshot covers.
func (journal *Journal) removeLeftovers(replayed *replay, older []segment, temporary []string) error {
	names := slices.Clone(temporary)
	for _, part := range older {
		names = append(names, part.name())
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

// entriesBehind returns the entries behind the snapshot of the settled state.
func (replayed *replay) entriesBehind(state logState) []Entry {
	if state.last <= state.snapshot.Index {
		return nil
	}
	skipped := state.snapshot.Index - replayed.state.base.Index
	return replayed.entries[skipped:]
}

// replay is the log as the segments tell it.
type replay struct {
	state    logState
	segments []segment
	// entries follow state.base without a gap.
	entries []Entry
	// end is the offset behind the last valid frame of the last segment.
	end int64
	// lastFrame is what settle writes again: the last frame, with the header
	// when there is no other.
	lastFrame    []byte
	cutBytes     identifier.Bytes
	tornCreation *segment
}

func (journal *Journal) replay(run []segment, snapshots bool) (*replay, error) {
	replayed := &replay{}
	if len(run) == 0 && snapshots {
		err := eris.New("there is a snapshot, but no segment with the hard state")
		return nil, &Error{Operation: "recover", Kind: MissingSegment, File: journal.Folder, Err: err}
	}
	for number, part := range run {
		content, err := journal.FileSystem.Read(journal.path(part.name()))
		if err != nil {
			return nil, storageError("recover", part.name(), ReadFailed, err)
		}
		last := number == len(run)-1
		mayBeTorn := last && (number > 0 || part.sequence == firstSequence && !snapshots)
		if mayBeTorn && isTornCreation(part, content) {
			replayed.tornCreation = &part
			replayed.cutBytes = identifier.Bytes(len(content))
			return replayed, nil
		}
		if err := replayed.readSegment(part, content, last); err != nil {
			return nil, err
		}
	}
	return replayed, nil
}

// isTornCreation tells whether a crash interrupted the creation of a segment: its
// header or its start is damaged, and no frame stands behind. Nothing was
// acknowledged in it then.
func isTornCreation(part segment, content []byte) bool {
	if len(content) > tornCreationBytes || hasStart(part, content) {
		return false
	}
	behindStart := min(headerBytes+1, int64(len(content)))
	_, found := findFrame(content, part.sequence, behindStart)
	return !found
}

// hasStart tells whether a segment begins as each does, or is of a version that
// can't be judged.
func hasStart(part segment, content []byte) bool {
	err := checkHeader(part.name(), content, segmentMagic, part.sequence, nil)
	if kind, _ := KindOf(err); err != nil && kind == UnsupportedFormat {
		return true
	}
	if err != nil {
		return false
	}
	_, _, valid := readFrame(content, part.sequence, headerBytes)
	return valid
}

// readSegment replays one segment. Only the last one may end in a torn frame.
func (replayed *replay) readSegment(part segment, content []byte, last bool) error {
	if err := checkHeader(part.name(), content, segmentMagic, part.sequence, nil); err != nil {
		return err
	}
	offset := int64(headerBytes)
	for offset < int64(len(content)) {
		payload, next, valid := readFrame(content, part.sequence, offset)
		if !valid {
			return replayed.endAtDamage(part, content, offset, last)
		}
		if err := replayed.readFrame(&part, payload, offset); err != nil {
			return corruptError(part.name(), offset, err.Error())
		}
		replayed.lastFrame = content[offset:next]
		if offset == headerBytes {
			replayed.lastFrame = content[:next]
		}
		offset = next
		replayed.end = offset
	}
	if offset == headerBytes {
		return corruptError(part.name(), offset, "the segment has no start")
	}
	replayed.segments = append(replayed.segments, part)
	return nil
}

// endAtDamage cuts a torn tail and refuses any other damage. A crash can tear
// only the last frame of the last segment, since each frame is synced before the
// next is written. A valid frame behind the damage, or a later segment, was
// acknowledged after the damaged one: cutting there would lose entries that
// others count on.
func (replayed *replay) endAtDamage(part segment, content []byte, offset int64, last bool) error {
	if !last {
		return corruptError(part.name(), offset, "a damaged frame, and a later segment follows")
	}
	if offset == headerBytes {
		return corruptError(part.name(), offset, "the segment's start is damaged")
	}
	if behind, found := findFrame(content, part.sequence, offset+1); found {
		return corruptError(part.name(), offset, fmt.Sprintf("a damaged frame, and a valid one follows at offset %d", behind))
	}
	replayed.cutBytes = identifier.Bytes(int64(len(content)) - offset)
	replayed.segments = append(replayed.segments, part)
	return nil
}

func (replayed *replay) readFrame(part *segment, payload []byte, offset int64) error {
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
			part.startLast = change.Position.Index
		}
		if starts && len(replayed.segments) == 0 {
			replayed.begin(change)
			continue
		}
		if starts && change.PreviousBytes != replayed.end {
			return eris.Errorf("the segment before ended at offset %d, now at %d", change.PreviousBytes, replayed.end)
		}
		if err := replayed.apply(change); err != nil {
			return err
		}
	}
	return nil
}

// begin takes the state over from the start of the oldest segment.
func (replayed *replay) begin(start record) {
	replayed.state.hardState = *start.HardState
	replayed.state.restartBehind(*start.Position)
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
