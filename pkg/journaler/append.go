package journaler

import "github.com/rotisserie/eris"

// Append makes one batch durable, or nothing of it. Its errors have the kinds
// invalid, disk-full, write-failed, sync-failed and broken. After write-failed
// or sync-failed the batch may still be found by the next Open.
func (journal *Journal) Append(batch Batch) error {
	return journal.AppendGroup([]Batch{batch})[0]
}

// AppendGroup makes several batches durable, in their order, with one write and
// one sync. It returns one error, or nil, for each. An invalid batch is left out
// and the others go on without it.
func (journal *Journal) AppendGroup(batches []Batch) []error {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	results := make([]error, len(batches))
	if err := journal.usable("append"); err != nil {
		return fillErrors(results, err)
	}
	records, after := journal.admitAll(batches, results)
	if len(records) == 0 {
		return results
	}
	if err := journal.write(records); err != nil {
		return fillErrors(results, err)
	}
	journal.state = after
	return results
}

// admitAll checks each batch against the log as the ones before it leave it.
func (journal *Journal) admitAll(batches []Batch, results []error) ([]record, logState) {
	var records []record
	state := journal.state
	for index, batch := range batches {
		candidate := state.clone()
		admitted, err := candidate.admit(batch)
		if err != nil {
			results[index] = &Error{Operation: "append", Kind: Invalid, Err: err}
			continue
		}
		records = append(records, admitted...)
		state = candidate
	}
	return records, state
}

// write puts the records into one frame behind the last durable one and syncs
// it.
func (journal *Journal) write(records []record) error {
	if err := journal.rollSegment(); err != nil {
		return err
	}
	if journal.resetPending {
		snapshot := journal.state.snapshot
		marker := record{Kind: RecordSnapshotMarker, Position: &snapshot}
		records = append([]record{marker}, records...)
	}
	part := journal.segments[len(journal.segments)-1]
	frame, err := encodeFrame(records, part.sequence, journal.durableEnd)
	if err != nil {
		return &Error{Operation: "append", Kind: Invalid, Err: err}
	}
	if _, err := journal.active.WriteAt(frame, journal.durableEnd); err != nil {
		return journal.undoWrite(storageError("append", part.name(), WriteFailed, err))
	}
	// A kernel may mark pages clean whose write-out failed: a second sync then
	// succeeds although the bytes never reached the disk, and the entry is gone
	// after the next power loss. So a failed sync is final for this journal.
	if err := journal.active.Sync(); err != nil {
		return journal.markBroken(storageError("append", part.name(), SyncFailed, err))
	}
	journal.durableEnd += int64(len(frame))
	journal.resetPending = false
	return nil
}

// undoWrite cuts what a full disk let be written of a frame. Left there, a later
// shorter frame would be followed by its rest, and if even the cut fails nothing
// is known of the file any more.
func (journal *Journal) undoWrite(cause *Error) error {
	if cause.Kind != DiskFull {
		return journal.markBroken(cause)
	}
	err := journal.active.Truncate(journal.durableEnd)
	if err == nil {
		err = journal.active.Sync()
	}
	if err != nil {
		cause.Err = eris.Wrap(cause.Err, "the rest of the write could not be cut: "+err.Error())
		return journal.markBroken(cause)
	}
	return cause
}

// rollSegment goes on in a new segment once the active one is large. While a
// snapshot marker is pending it waits: the marker belongs into the old segment,
// which the new one's start must continue.
func (journal *Journal) rollSegment() error {
	if journal.resetPending || journal.durableEnd < int64(journal.SegmentBytes) {
		return nil
	}
	newest := journal.segments[len(journal.segments)-1]
	return journal.startSegment(newest.sequence + 1)
}

func fillErrors(results []error, err error) []error {
	for index := range results {
		if results[index] == nil {
			results[index] = err
		}
	}
	return results
}
