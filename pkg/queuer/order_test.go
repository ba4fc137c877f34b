package queuer_test

import (
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/queuer"
)

// TestNarrowFirst guards against admitted wide jobs that wait for many times their own
// duration, and against missed deadlines, when jobs of every width arrive at once. Both
// come from a slack that grows without bound with the number of tasks.
func TestNarrowFirst(t *testing.T) {
	order := queuer.NarrowFirst{Slack: 100 * time.Millisecond, Stretch: 4}
	arrived := identifier.Moment(time.Hour)
	for _, scenario := range []struct {
		name     string
		tasks    int
		ideal    time.Duration
		deadline time.Duration
		want     time.Duration
	}{
		{name: "one short task", tasks: 1, ideal: 40 * time.Millisecond, want: 20 * time.Millisecond},
		{name: "one long task", tasks: 1, ideal: 4 * time.Second, want: 200 * time.Millisecond},
		{name: "ten tasks", tasks: 10, ideal: time.Second, want: time.Second},
		{name: "bounded by the stretch", tasks: 110, ideal: time.Second, want: 4 * time.Second},
		{name: "bounded by the deadline", tasks: 110, ideal: time.Second, deadline: 3 * time.Second, want: 2 * time.Second},
		{name: "a deadline that can't be met", tasks: 1, ideal: time.Second, deadline: time.Millisecond},
		{name: "nothing known", tasks: 5},
	} {
		shape := queuer.Shape{ArrivedAt: arrived, Deadline: identifier.Never, Ideal: scenario.ideal, Tasks: scenario.tasks}
		if scenario.deadline > 0 {
			shape.Deadline = arrived.Add(scenario.deadline)
		}
		if got := order.Due(shape).Sub(arrived); got != scenario.want {
			t.Errorf("%s: due after %v, want %v", scenario.name, got, scenario.want)
		}
	}
}
