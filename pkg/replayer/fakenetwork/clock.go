// Package fakenetwork simulates the network of a trace replay: one virtual clock and
// ordered connections between processes, with delays, silent partitions and
// processes that die. It takes no real time and runs nothing concurrently.
package fakenetwork

import (
	"container/heap"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Clock runs events in the order of their moments. Events of the same moment run in
// the order in which they were scheduled, which makes replays deterministic.
type Clock struct {
	now      identifier.Moment
	events   eventHeap
	sequence uint64
}

// NewClock returns a clock whose current moment is start.
func NewClock(start identifier.Moment) *Clock { return &Clock{now: start} }

// Now returns the current virtual moment.
func (clock *Clock) Now() identifier.Moment { return clock.now }

// At schedules an action. One whose moment has passed is scheduled for the current moment.
func (clock *Clock) At(moment identifier.Moment, action func()) {
	clock.sequence++
	heap.Push(&clock.events, event{at: max(moment, clock.now), sequence: clock.sequence, action: action})
}

// Run runs all events up to and including the moment end, and then sets the clock to end.
func (clock *Clock) Run(end identifier.Moment) {
	for len(clock.events) > 0 && clock.events[0].at <= end {
		next := heap.Pop(&clock.events).(event)
		clock.now = next.at
		next.action()
	}
	clock.now = end
}

type event struct {
	at       identifier.Moment
	sequence uint64
	action   func()
}

type eventHeap []event

func (events eventHeap) Len() int { return len(events) }

func (events eventHeap) Less(first, second int) bool {
	if events[first].at != events[second].at {
		return events[first].at < events[second].at
	}
	return events[first].sequence < events[second].sequence
}

func (events eventHeap) Swap(first, second int) {
	events[first], events[second] = events[second], events[first]
}

// Push adds an event; only container/heap calls it.
func (events *eventHeap) Push(added any) { *events = append(*events, added.(event)) }

// Pop removes the last event; only container/heap calls it.
func (events *eventHeap) Pop() any {
	old := *events
	last := len(old) - 1
	popped := old[last]
	old[last] = event{}
	*events = old[:last]
	return popped
}
