package assembler

import (
	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/journaler"
)

// progress is how far a journal has come.
type progress struct {
	last      journaler.Position
	hardState journaler.HardState
}

// unknownWrite is a failed write that may be on the disk. A group is one frame, so it is there as a
// whole or not at all.
type unknownWrite struct {
	before, after progress
	// isGroup reports that it is a group of persists and not a snapshot.
	isGroup bool
}

func progressOf(journal *journaler.Journal) progress {
	last, hardState := journal.Position()
	return progress{last: last, hardState: hardState}
}

// afterBatches returns the progress once the batches are written. The term is zero if a truncation is
// not followed by an entry.
func (progress progress) afterBatches(batches []journaler.Batch) progress {
	for _, batch := range batches {
		if batch.TruncateFrom != 0 {
			progress.last = journaler.Position{Index: batch.TruncateFrom - 1}
		}
		if count := len(batch.Entries); count > 0 {
			progress.last = journaler.Position{Index: batch.Entries[count-1].Index, Term: batch.Entries[count-1].Term}
		}
		if batch.HardState != nil {
			progress.hardState = *batch.HardState
		}
	}
	return progress
}

// matches reports whether a journal that was opened anew has come here.
func (progress progress) matches(found progress) bool {
	if progress.last.Term == 0 {
		found.last.Term = 0
	}
	return progress == found
}

// isRetryable reports whether a later try of the same write may succeed. Other errors mean that the
// journal and the replicated log contradict each other.
func isRetryable(err error) bool {
	kind, isJournalError := journaler.KindOf(err)
	if !isJournalError {
		return false
	}
	switch kind {
	case journaler.DiskFull, journaler.WriteFailed, journaler.SyncFailed, journaler.ReadFailed, journaler.Broken, journaler.Locked:
		return true
	}
	return false
}

// noteOutcome records that the journal has to be opened anew after a write that broke it.
func (journalWriter *journalWriter) noteOutcome(err error, write *unknownWrite) {
	if kind, _ := journaler.KindOf(err); kind == journaler.DiskFull || !isRetryable(err) {
		return
	}
	journalWriter.mustOpen = true
	journalWriter.unknown = write
}

// ensureOpen opens a broken journal anew, which reads what is really on the disk, and finds out
// whether the write that broke it is there.
func (journalWriter *journalWriter) ensureOpen() error {
	if !journalWriter.mustOpen {
		return nil
	}
	if err := journalWriter.journal.Close(); err != nil {
		return err
	}
	if _, err := journalWriter.journal.Open(); err != nil {
		return err
	}
	found, unknown := progressOf(journalWriter.journal), journalWriter.unknown
	switch {
	case unknown.after.matches(found):
		journalWriter.groupWritten = unknown.isGroup
	case !unknown.before.matches(found):
		return &Error{Operation: "open the journal anew", Kind: ErrorJournal, Err: eris.Errorf(
			"it has come to %+v, and had come to %+v before the failed write, which leads to %+v", found, unknown.before, unknown.after)}
	}
	journalWriter.mustOpen = false
	journalWriter.unknown = nil
	return nil
}
