package journaler

import (
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Report is the contents of a data folder, for an operator. Its JSON names are
// kebab case.
type Report struct {
	Segments  []SegmentReport  `json:"segments"`
	Snapshots []SnapshotReport `json:"snapshots"`
	// Leftovers are files that the next Open removes.
	Leftovers []string `json:"leftovers,omitempty"`
}

// SegmentReport is one file of the log.
type SegmentReport struct {
	File   string           `json:"file"`
	Bytes  identifier.Bytes `json:"bytes"`
	Frames []FrameReport    `json:"frames"`
	// Problem says what is wrong, with the offset; empty if nothing is. While a
	// daemon writes to the folder, the frame in writing looks like a torn tail.
	Problem string `json:"problem,omitempty"`
}

// FrameReport is what one sync made durable.
type FrameReport struct {
	Offset  int64            `json:"offset"`
	Bytes   identifier.Bytes `json:"bytes"`
	Records []RecordReport   `json:"records"`
}

// RecordReport is one record, without the data of its entry.
type RecordReport struct {
	Kind      RecordKind       `json:"kind"`
	Position  *Position        `json:"position,omitempty"`
	EntryKind EntryKind        `json:"entry-kind,omitempty"`
	Data      identifier.Bytes `json:"data,omitempty"`
	HardState *HardState       `json:"hard-state,omitempty"`
}

// SnapshotReport is one snapshot file, without its data.
type SnapshotReport struct {
	File     string           `json:"file"`
	Position Position         `json:"position"`
	Data     identifier.Bytes `json:"data"`
	Problem  string           `json:"problem,omitempty"`
}

// Inspect reads a data folder and changes nothing. It takes no lock, so it may
// run beside a daemon. It reports damage instead of failing on it; its own error
// has the kind read-failed.
func Inspect(folder string) (Report, error) {
	inspected := Journal{Folder: folder, FileSystem: Disk{}}
	return inspected.inspect()
}

func (journal *Journal) inspect() (Report, error) {
	contents, err := listFolder(journal.FileSystem, journal.Folder)
	if err != nil {
		return Report{}, err
	}
	report := Report{Leftovers: contents.temporary}
	for number, part := range contents.segments {
		content, err := journal.FileSystem.Read(journal.path(part.name()))
		if err != nil {
			return Report{}, storageError("inspect", part.name(), ReadFailed, err)
		}
		inspected := inspectSegment(part, content)
		if number > 0 && contents.segments[number-1].sequence+1 != part.sequence && inspected.Problem == "" {
			inspected.Problem = "the segment before it is missing"
		}
		report.Segments = append(report.Segments, inspected)
	}
	for _, position := range contents.snapshots {
		report.Snapshots = append(report.Snapshots, journal.inspectSnapshot(position))
	}
	return report, nil
}

func inspectSegment(part segment, content []byte) SegmentReport {
	report := SegmentReport{File: part.name(), Bytes: identifier.Bytes(len(content))}
	if err := checkHeader(part.name(), content, segmentMagic, part.sequence, nil); err != nil {
		report.Problem = err.Error()
		return report
	}
	for offset := int64(headerBytes); offset < int64(len(content)); {
		payload, next, valid := readFrame(content, part.sequence, offset)
		if !valid {
			report.Problem = describeDamage(part, content, offset)
			break
		}
		records, err := decodeGroup(payload)
		if err != nil {
			report.Problem = corruptError(part.name(), offset, err.Error()).Error()
			break
		}
		frame := FrameReport{Offset: offset, Bytes: identifier.Bytes(next - offset)}
		for _, found := range records {
			frame.Records = append(frame.Records, inspectRecord(found))
		}
		report.Frames = append(report.Frames, frame)
		offset = next
	}
	return report
}

func describeDamage(part segment, content []byte, offset int64) string {
	if _, found := findFrame(content, part.sequence, offset+1); found {
		return corruptError(part.name(), offset, "a damaged frame, and a valid one follows").Error()
	}
	return corruptError(part.name(), offset, "no valid frame from here on; a torn tail, if this is the last segment").Error()
}

func inspectRecord(found record) RecordReport {
	report := RecordReport{Kind: found.Kind, Position: found.Position, HardState: found.HardState}
	if found.Entry != nil {
		report.Position = &Position{Index: found.Entry.Index, Term: found.Entry.Term}
		report.EntryKind = found.Entry.Kind
		report.Data = identifier.Bytes(len(found.Entry.Data))
	}
	return report
}

func (journal *Journal) inspectSnapshot(position Position) SnapshotReport {
	name := snapshotName(position)
	report := SnapshotReport{File: name, Position: position}
	snapshot, err := readSnapshot(journal.FileSystem, journal.path(name), name)
	if err != nil {
		report.Problem = err.Error()
		return report
	}
	report.Data = identifier.Bytes(len(snapshot.Data))
	return report
}
