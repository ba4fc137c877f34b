package tabulator

import (
	"container/heap"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Timers holds at most one deadline for each key. Deadlines are ordered by time and, at
// the same time, by the order in which they were set.
// The zero value is not usable; construct it with NewTimers.
type Timers[K comparable] struct {
	entries timerHeap[K]
	byKey   map[K]*timer[K]
	counter uint64
}

type timer[K comparable] struct {
	key      K
	due      identifier.Moment
	order    uint64
	position int
}

// NewTimers returns timers without deadlines.
func NewTimers[K comparable]() *Timers[K] {
	return &Timers[K]{byKey: make(map[K]*timer[K])}
}

// Set sets the deadline of key and replaces an earlier one. identifier.Never clears it.
func (timers *Timers[K]) Set(key K, due identifier.Moment) {
	if due == identifier.Never {
		timers.Clear(key)
		return
	}
	timers.counter++
	if existing, found := timers.byKey[key]; found {
		existing.due = due
		existing.order = timers.counter
		heap.Fix(&timers.entries, existing.position)
		return
	}
	entry := &timer[K]{key: key, due: due, order: timers.counter}
	timers.byKey[key] = entry
	heap.Push(&timers.entries, entry)
}

// Clear removes the deadline of key, if it has one.
func (timers *Timers[K]) Clear(key K) {
	entry, found := timers.byKey[key]
	if !found {
		return
	}
	delete(timers.byKey, key)
	heap.Remove(&timers.entries, entry.position)
}

// PopDue removes and returns the key with the earliest deadline if that has been reached
// at now; otherwise the second result is false.
func (timers *Timers[K]) PopDue(now identifier.Moment) (K, bool) {
	if len(timers.entries) == 0 || !timers.entries[0].due.Due(now) {
		var none K
		return none, false
	}
	entry := heap.Pop(&timers.entries).(*timer[K])
	delete(timers.byKey, entry.key)
	return entry.key, true
}

// EachDue removes every key whose deadline has been reached at now and calls expire for it,
// in order, including keys that expire sets to now or earlier.
func (timers *Timers[K]) EachDue(now identifier.Moment, expire func(key K)) {
	for {
		key, due := timers.PopDue(now)
		if !due {
			return
		}
		expire(key)
	}
}

// Next returns the earliest deadline, or identifier.Never if there is none.
func (timers *Timers[K]) Next() identifier.Moment {
	if len(timers.entries) == 0 {
		return identifier.Never
	}
	return timers.entries[0].due
}

// Len returns the number of deadlines.
func (timers *Timers[K]) Len() int { return len(timers.entries) }

type timerHeap[K comparable] []*timer[K]

func (entries timerHeap[K]) Len() int { return len(entries) }

func (entries timerHeap[K]) Less(first, second int) bool {
	if entries[first].due != entries[second].due {
		return entries[first].due < entries[second].due
	}
	return entries[first].order < entries[second].order
}

func (entries timerHeap[K]) Swap(first, second int) {
	entries[first], entries[second] = entries[second], entries[first]
	entries[first].position = first
	entries[second].position = second
}

// Push is part of heap.Interface.
func (entries *timerHeap[K]) Push(value any) {
	entry := value.(*timer[K])
	entry.position = len(*entries)
	*entries = append(*entries, entry)
}

// Pop is part of heap.Interface.
func (entries *timerHeap[K]) Pop() any {
	last := len(*entries) - 1
	entry := (*entries)[last]
	(*entries)[last] = nil
	*entries = (*entries)[:last]
	return entry
}
