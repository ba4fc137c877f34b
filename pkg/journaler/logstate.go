package journaler

import (
	"slices"
	"sort"

	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// logState is the part of the log's state that is needed to validate a batch before it is
// written. Replay and append use the same apply method.
type logState struct {
	// base is the position before the first entry in the segments.
	base Position
	// terms holds the first index of each term among those entries.
	terms     []Position
	last      identifier.LogIndex
	hardState HardState
	snapshot  Position
}

func (state logState) clone() logState {
	state.terms = slices.Clone(state.terms)
	return state
}

// termAt returns the term of the entry at an index, and whether it is known.
func (state *logState) termAt(index identifier.LogIndex) (identifier.Term, bool) {
	if index == state.base.Index {
		return state.base.Term, true
	}
	if index < state.base.Index || index > state.last {
		return 0, false
	}
	next := sort.Search(len(state.terms), func(run int) bool { return state.terms[run].Index > index })
	return state.terms[next-1].Term, true
}

func (state *logState) lastPosition() Position {
	term, _ := state.termAt(state.last)
	return Position{Index: state.last, Term: term}
}

// contains reports whether the log contains the last entry that a snapshot covers, so that the
// entries after it stay valid.
func (state *logState) contains(snapshot Position) bool {
	term, known := state.termAt(snapshot.Index)
	return known && term == snapshot.Term
}

// resetTo drops all entries; the log continues after position.
func (state *logState) resetTo(position Position) {
	state.base = position
	state.terms = nil
	state.last = position.Index
}

// apply applies one record to the state. It returns an error if the record doesn't fit.
func (state *logState) apply(change record) error {
	switch change.Kind {
	case RecordSegmentStart:
		return state.applySegmentStart(change)
	case RecordEntry:
		return state.applyEntry(change.Entry)
	case RecordHardState:
		state.hardState = *change.HardState
	case RecordTruncateFrom:
		return state.applyTruncate(change.Position.Index)
	case RecordSnapshotMarker:
		state.resetTo(*change.Position)
	}
	return nil
}

func (state *logState) applySegmentStart(change record) error {
	if state.baseTermUnknown() && state.last == state.base.Index && change.Position.Index == state.last {
		state.base.Term = change.Position.Term
	}
	if *change.Position != state.lastPosition() || *change.HardState != state.hardState {
		return eris.New("the segment doesn't continue the previous one")
	}
	return nil
}

func (state *logState) applyEntry(entry *Entry) error {
	last := state.lastPosition()
	if entry.Index != last.Index+1 {
		return eris.Errorf("entry %d can't follow entry %d", entry.Index, last.Index)
	}
	if entry.Term < last.Term || entry.Term == 0 {
		return eris.Errorf("entry %d of term %d can't follow term %d", entry.Index, entry.Term, last.Term)
	}
	if entry.Term != last.Term || len(state.terms) == 0 {
		state.terms = append(state.terms, Position{Index: entry.Index, Term: entry.Term})
	}
	state.last = entry.Index
	return nil
}

func (state *logState) applyTruncate(from identifier.LogIndex) error {
	if from == 0 || from > state.last {
		return eris.Errorf("can't truncate from entry %d, the last is %d", from, state.last)
	}
	state.last = from - 1
	kept := sort.Search(len(state.terms), func(run int) bool { return state.terms[run].Index >= from })
	state.terms = state.terms[:kept]
	if state.last < state.base.Index {
		// This happens only in replay: these entries were in segments that were
		// dropped after a later snapshot. Their terms are unknown and no longer matter.
		state.base = Position{Index: state.last}
	}
	return nil
}

func (state *logState) baseTermUnknown() bool {
	return state.base.Index > 0 && state.base.Term == 0
}

// applyBatch validates a batch, applies it and returns its records. After an error the state
// must be discarded.
func (state *logState) applyBatch(batch Batch) ([]record, error) {
	var records []record
	if batch.TruncateFrom != 0 {
		if err := state.checkTruncate(batch.TruncateFrom); err != nil {
			return nil, err
		}
		records = append(records, truncateRecord(batch.TruncateFrom))
	}
	for index := range batch.Entries {
		records = append(records, record{Kind: RecordEntry, Entry: &batch.Entries[index]})
	}
	if batch.HardState != nil {
		records = append(records, record{Kind: RecordHardState, HardState: batch.HardState})
	}
	before := state.hardState
	for _, change := range records {
		if err := state.apply(change); err != nil {
			return nil, err
		}
	}
	return records, checkHardState(before, state.hardState, state.last)
}

// checkTruncate prevents a faulty replicator from removing entries that a quorum has accepted:
// an accepted configuration would visibly be gone after a change of leader. A leader never
// conflicts with committed entries, so a truncation at or below the commit index is always a
// fault.
func (state *logState) checkTruncate(from identifier.LogIndex) error {
	if from <= max(state.snapshot.Index, state.hardState.Commit) {
		return eris.Errorf("entry %d is committed and can't be truncated", from)
	}
	return nil
}

// checkHardState rejects a hard state that goes backwards, votes twice in a term or commits
// entries that the log doesn't contain.
func checkHardState(before, after HardState, last identifier.LogIndex) error {
	switch {
	case after.Term < before.Term:
		return eris.Errorf("term %d is below %d", after.Term, before.Term)
	case after.Commit < before.Commit:
		return eris.Errorf("commit %d is below %d", after.Commit, before.Commit)
	case after.Commit > last:
		return eris.Errorf("commit %d is behind the last entry %d", after.Commit, last)
	case after.Term == before.Term && before.VotedFor != "" && after.VotedFor != before.VotedFor:
		return eris.Errorf("term %d has voted for %s", before.Term, before.VotedFor)
	}
	return nil
}
