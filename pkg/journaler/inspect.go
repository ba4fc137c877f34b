package journaler

import (
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Report describes the contents of a data folder for an operator. Its JSON names are kebab case.
type Report struct {
	Segments  []SegmentReport  `json:"segments"`
	Snapshots []SnapshotReport `json:"snapshots"`
	// Leftovers are temporary files that the next Open removes.
	Leftovers []string `json:"leftovers,omitempty"`
}

// SegmentReport describes one segment file of the log.
type SegmentReport struct {
	File   string           `json:"file"`
	Bytes  identifier.Bytes `json:"bytes"`
	Frames []FrameReport    `json:"frames"`
	// Problem describes the damage with its offset; empty if there is none. While a daemon
	// writes to the folder, the frame being written looks like a torn tail.
	Problem string `json:"problem,omitempty"`
}

// FrameReport describes one frame, which one sync made durable.
type FrameReport struct {
	Offset  int64            `json:"offset"`
	Bytes   identifier.Bytes `json:"bytes"`
	Records []RecordReport   `json:"records"`
}

// RecordReport describes one record. Data is the size of the entry's data.
type RecordReport struct {
	Kind      RecordKind       `json:"kind"`
	Position  *Position        `json:"position,omitempty"`
	EntryKind EntryKind        `json:"entry-kind,omitempty"`
	Data      identifier.Bytes `json:"data,omitempty"`
	HardState *HardState       `json:"hard-state,omitempty"`
}

// SnapshotReport describes one snapshot file. Data is the size of its data.
type SnapshotReport struct {
	File     string           `json:"file"`
	Position Position         `json:"position"`
	Data     identifier.Bytes `json:"data"`
	Problem  string           `json:"problem,omitempty"`
}

// Inspect reads a data folder without changing it. It takes no lock, so it may run while a
// daemon uses the folder. It reports damage instead of failing on it; its own error has the kind
// read-failed.
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
	for number, segment := range contents.segments {
		content, err := journal.FileSystem.Read(journal.path(segment.name()))
		if err != nil {
			return Report{}, storageError("inspect", segment.name(), ReadFailed, err)
		}
		inspected := inspectSegment(segment, content)
		if number > 0 && contents.segments[number-1].sequence+1 != segment.sequence && inspected.Problem == "" {
			inspected.Problem = "the previous segment is missing"
		}
		report.Segments = append(report.Segments, inspected)
	}
	for _, position := range contents.snapshots {
		report.Snapshots = append(report.Snapshots, journal.inspectSnapshot(position))
	}
	return report, nil
}

func inspectSegment(segment segment, content []byte) SegmentReport {
	report := SegmentReport{File: segment.name(), Bytes: identifier.Bytes(len(content))}
	if err := checkHeader(segment.name(), content, segmentMagic, segment.sequence, nil); err != nil {
		report.Problem = err.Error()
		return report
	}
	for offset := int64(headerBytes); offset < int64(len(content)); {
		payload, next, valid := readFrame(content, segment.sequence, offset)
		if !valid {
			report.Problem = describeDamage(segment, content, offset)
			break
		}
		records, err := decodeGroup(payload)
		if err != nil {
			report.Problem = corruptError(segment.name(), offset, err.Error()).Error()
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

func describeDamage(segment segment, content []byte, offset int64) string {
	if _, found := findFrame(content, segment.sequence, offset+1); found {
		return corruptError(segment.name(), offset, "a damaged frame, and a valid one follows").Error()
	}
	return corruptError(segment.name(), offset, "no valid frame from here on; a torn tail, if this is the last segment").Error()
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
