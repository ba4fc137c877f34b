package journaler

import "github.com/rotisserie/eris"

// Append makes one batch durable as a whole or not at all. Its errors have the kinds invalid,
// disk-full, write-failed, sync-failed and broken. After write-failed or sync-failed the next
// Open may still find the batch.
func (journal *Journal) Append(batch Batch) error {
	return journal.AppendGroup([]Batch{batch})[0]
}

// AppendGroup makes several batches durable, in order, with one write and one sync. It returns
// one error or nil per batch. A batch that follows an invalid one is refused as invalid too, so that
// what is durable is always a prefix of the group.
func (journal *Journal) AppendGroup(batches []Batch) []error {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	results := make([]error, len(batches))
	if err := journal.usable("append"); err != nil {
		return fillErrors(results, err)
	}
	records, after := journal.applyBatches(batches, results)
	if len(records) == 0 {
		return results
	}
	if err := journal.write(records); err != nil {
		return fillErrors(results, err)
	}
	journal.state = after
	return results
}

// applyBatches validates each batch against the state that the previous batches result in, and
// returns the records of those before the first invalid one and the state after them.
func (journal *Journal) applyBatches(batches []Batch, results []error) ([]record, logState) {
	var records []record
	state := journal.state
	for index, batch := range batches {
		candidate := state.clone()
		admitted, err := candidate.applyBatch(batch)
		if err != nil {
			fillErrors(results[index:], &Error{Operation: "append", Kind: Invalid, Err: err})
			break
		}
		records = append(records, admitted...)
		state = candidate
	}
	return records, state
}

// write writes the records as one frame after the last durable one and syncs it.
func (journal *Journal) write(records []record) error {
	if err := journal.rollSegment(); err != nil {
		return err
	}
	if journal.resetPending {
		snapshot := journal.state.snapshot
		marker := record{Kind: RecordSnapshotMarker, Position: &snapshot}
		records = append([]record{marker}, records...)
	}
	segment := journal.segments[len(journal.segments)-1]
	frame, err := encodeFrame(records, segment.sequence, journal.durableEnd)
	if err != nil {
		return &Error{Operation: "append", Kind: Invalid, Err: err}
	}
	if _, err := journal.active.WriteAt(frame, journal.durableEnd); err != nil {
		return journal.undoWrite(storageError("append", segment.name(), WriteFailed, err))
	}
	// A kernel may mark pages as clean although writing them to disk failed. A second sync
	// then succeeds although the bytes never reached the disk, and the entry is gone after
	// the next power loss. So a failed sync is final for this journal.
	if err := journal.active.Sync(); err != nil {
		return journal.markBroken(storageError("append", segment.name(), SyncFailed, err))
	}
	journal.durableEnd += int64(len(frame))
	journal.resetPending = false
	return nil
}

// undoWrite truncates a frame that was only partly written because the disk is full. Otherwise a
// later, shorter frame would be followed by the rest of it. If the truncation fails too, the
// contents of the file are unknown and the journal is broken.
func (journal *Journal) undoWrite(cause *Error) error {
	if cause.Kind != DiskFull {
		return journal.markBroken(cause)
	}
	err := journal.active.Truncate(journal.durableEnd)
	if err == nil {
		err = journal.active.Sync()
	}
	if err != nil {
		cause.Err = eris.Wrap(cause.Err, "the partial write could not be truncated: "+err.Error())
		return journal.markBroken(cause)
	}
	return cause
}

// rollSegment starts a new segment once the active one has reached SegmentBytes. It waits while a
// snapshot marker is pending: the marker belongs in the old segment, and the start of the new
// segment must continue from it.
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
