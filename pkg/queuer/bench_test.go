package queuer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/queuer"
)

// BenchmarkDecision measures one admission, one push and one served task, with 740 teams
// and as many waiting jobs as there are slots.
func BenchmarkDecision(b *testing.B) {
	const teams = 740
	for _, executors := range []int{50, 250, 5000} {
		b.Run(fmt.Sprintf("executors=%d", executors), func(b *testing.B) {
			slots := identifier.Slots(executors * 8)
			settings := queuer.DefaultSettings()
			queue := &queue{Settings: settings, Order: queuer.NarrowFirst{Slack: 100 * time.Millisecond, Stretch: 4}}
			entries := make([]entry, slots)
			now := identifier.Moment(0)
			arrive := func(entry *entry, number int) {
				cost := time.Duration(50+number%7*100) * time.Millisecond
				entry.Payload = number
				entry.Team = names[number%teams]
				entry.Cost = cost
				shape := queuer.Shape{ArrivedAt: now, Deadline: identifier.Never, Ideal: cost, Tasks: 1}
				entry.Due = queue.Order.Due(shape)
				candidate := queuer.Candidate{Team: entry.Team, Due: entry.Due, Work: cost, Ideal: cost, MaxDelay: cost, MaxWaitFraction: 0.5, Slots: slots}
				queue.Evaluate(now, candidate)
				queue.Push(now, entry, 1, 1)
			}
			for index := range entries {
				arrive(&entries[index], index)
			}
			step := identifier.Moment(300*time.Millisecond) / identifier.Moment(slots)
			decide := func(number int) {
				now += step
				next := queue.Next()
				queue.Serve(now, next)
				queue.AdjustCharge(next.Team, time.Millisecond, 1)
				arrive(next, number)
			}
			for number := range 10 * len(entries) {
				decide(number)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for number := range b.N {
				decide(number)
			}
		})
	}
}

var names = func() []identifier.TeamID {
	names := make([]identifier.TeamID, 740)
	for number := range names {
		names[number] = teamName(number)
	}
	return names
}()
