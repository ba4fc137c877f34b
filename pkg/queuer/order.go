package queuer

import (
	"math"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Shape is what an order knows of a job when it joins the queue.
type Shape struct {
	ArrivedAt identifier.Moment
	// Deadline is the caller's deadline, or identifier.Never.
	Deadline identifier.Moment
	// Ideal is the job's time from its first start to its last answer when all
	// its tasks start at once on as many slots as there are.
	Ideal time.Duration
	// Tasks is how many tasks the job has.
	Tasks int
}

// Order ranks the jobs of one team: the job that is due first goes first. The
// moment is given once, at the arrival. It lies after the arrival by a bounded
// amount, so that every job becomes the first in the end: only jobs that arrive
// within that amount of time can overtake it.
type Order interface {
	Due(shape Shape) identifier.Moment
}

// NarrowFirst serves narrow and short jobs before wide and long ones, because a
// wait of the same time is more of a short job's response and holds up as many
// jobs as there are behind it. The slack of a job is Slack for each task, times the
// square root of its ideal in seconds: half way between the fewest tasks first,
// which needs no estimate, and the least work first, which trusts it in full.
//
// Without a bound a wide job that was admitted would be overtaken by what arrives
// after it for many times its own length, which admission can't foresee. So the
// slack is at most Stretch times the ideal.
type NarrowFirst struct {
	Slack   time.Duration
	Stretch float64
}

// Due returns the arrival plus the slack, or earlier where the deadline needs it.
func (order NarrowFirst) Due(shape Shape) identifier.Moment {
	ideal := shape.Ideal.Seconds()
	slack := order.Slack.Seconds() * float64(shape.Tasks) * math.Sqrt(ideal)
	slack = min(slack, order.Stretch*ideal)
	return shape.dueWithin(time.Duration(slack * float64(time.Second)))
}

// dueWithin returns the end of a slack that begins at the arrival, or the last
// moment at which the job can start to meet its deadline.
func (shape *Shape) dueWithin(slack time.Duration) identifier.Moment {
	due := shape.ArrivedAt.Add(slack)
	if shape.Deadline == identifier.Never {
		return due
	}
	latest := max(shape.Deadline.Add(-shape.Ideal), shape.ArrivedAt)
	return identifier.Earlier(due, latest)
}
