package replicator

import "github.com/stoathitch/stoathitch/pkg/identifier"

// memoryLog holds the entries after base. The entry at base itself is covered by a snapshot;
// only its term is kept, for the consistency check of appends.
type memoryLog struct {
	base     identifier.LogIndex
	baseTerm identifier.Term
	entries  []Entry
	// baseBytes is the data of all entries up to base, and totals the data up to each entry. Only
	// differences have a meaning: both begin at zero with each reset.
	baseBytes identifier.Bytes
	totals    []identifier.Bytes
}

func (log *memoryLog) lastIndex() identifier.LogIndex {
	return log.base + identifier.LogIndex(len(log.entries))
}

func (log *memoryLog) lastTerm() identifier.Term {
	term, _ := log.term(log.lastIndex())
	return term
}

// term returns the term of the entry at index, or false if the log does not hold that term.
func (log *memoryLog) term(index identifier.LogIndex) (identifier.Term, bool) {
	if index == log.base {
		return log.baseTerm, true
	}
	if index < log.base || index > log.lastIndex() {
		return 0, false
	}
	return log.entries[index-log.base-1].Term, true
}

func (log *memoryLog) matches(index identifier.LogIndex, term identifier.Term) bool {
	held, known := log.term(index)
	return known && held == term
}

// at returns the entry at index, which must be in the log.
func (log *memoryLog) at(index identifier.LogIndex) Entry {
	return log.entries[index-log.base-1]
}

// from returns all entries from index on. The slice's capacity is limited, so that a later
// append never writes into a slice that was returned.
func (log *memoryLog) from(index identifier.LogIndex) []Entry {
	if index > log.lastIndex() {
		return nil
	}
	tail := log.entries[index-log.base-1:]
	return tail[:len(tail):len(tail)]
}

func (log *memoryLog) append(entries ...Entry) {
	log.entries = append(log.entries, entries...)
	total := log.bytesUpTo(log.base + identifier.LogIndex(len(log.totals)))
	for _, entry := range entries {
		total += identifier.Bytes(len(entry.Data))
		log.totals = append(log.totals, total)
	}
}

// bytesUpTo returns the total at index, which must not lie beyond the log. An index before base
// counts as base.
func (log *memoryLog) bytesUpTo(index identifier.LogIndex) identifier.Bytes {
	if index <= log.base {
		return log.baseBytes
	}
	return log.totals[index-log.base-1]
}

// bytesAfter returns the data of the entries after index up to last, as far as the log holds them.
func (log *memoryLog) bytesAfter(index, last identifier.LogIndex) identifier.Bytes {
	return log.bytesUpTo(min(last, log.lastIndex())) - log.bytesUpTo(min(index, last, log.lastIndex()))
}

// firstIndexWithin returns the first index, not before index, such that the entries after it up to
// last hold at most bound.
func (log *memoryLog) firstIndexWithin(index, last identifier.LogIndex, bound identifier.Bytes) identifier.LogIndex {
	first := max(index, log.base)
	for log.bytesAfter(first, last) > bound {
		first++
	}
	return first
}

// truncateFrom removes the entries from index on. It copies the remaining ones, since slices
// of the removed entries may still be in use.
func (log *memoryLog) truncateFrom(index identifier.LogIndex) {
	kept := log.entries[:index-log.base-1]
	log.entries = append([]Entry(nil), kept...)
	log.totals = log.totals[:len(kept)]
}

// compactTo drops the entries up to and including index.
func (log *memoryLog) compactTo(index identifier.LogIndex) {
	if index <= log.base {
		return
	}
	term, known := log.term(index)
	if !known {
		return
	}
	log.baseBytes = log.bytesUpTo(index)
	log.totals = append([]identifier.Bytes(nil), log.totals[index-log.base:]...)
	log.entries = append([]Entry(nil), log.entries[index-log.base:]...)
	log.base = index
	log.baseTerm = term
}

// reset empties the log, so that it continues after a snapshot.
func (log *memoryLog) reset(index identifier.LogIndex, term identifier.Term) {
	*log = memoryLog{base: index, baseTerm: term}
}

// lastIndexBelowTermAt returns the last index before the consecutive entries that have the
// same term as the one at index, whose term must be known.
func (log *memoryLog) lastIndexBelowTermAt(index identifier.LogIndex) identifier.LogIndex {
	conflicting, _ := log.term(index)
	for index > log.base {
		term, _ := log.term(index)
		if term != conflicting {
			break
		}
		index--
	}
	return index
}
