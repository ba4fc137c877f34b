package queuer

import (
	"math"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Shape holds the properties of a job by which an Order ranks it.
type Shape struct {
	ArrivedAt identifier.Moment
	// Deadline is the caller's deadline, or identifier.Never.
	Deadline identifier.Moment
	// Ideal is the job's expected duration, from the first start to the last answer, when
	// it can use all existing slots at once.
	Ideal time.Duration
	// Tasks is the number of tasks of the job.
	Tasks int
}

// Order ranks the jobs of one team by their due time, earliest first. The due time is
// determined once, on arrival. It is later than the arrival by a bounded amount, so that
// no job starves: only jobs that arrive within that time can overtake it.
type Order interface {
	Due(shape Shape) identifier.Moment
}

// NarrowFirst serves jobs with few and short tasks before jobs with many and long ones.
// The same wait is a larger part of a short job's response time, and a wide job at the
// front delays every job behind it. The slack of a job is Slack for each task, times the
// square root of its ideal duration in seconds. This is halfway between fewest tasks
// first, which needs no estimate, and least work first, which relies fully on the
// estimate.
//
// Without a bound, jobs that arrive later could overtake an admitted wide job for many
// times its own duration, which admission can't foresee. The slack is therefore at most
// Stretch times the ideal duration.
type NarrowFirst struct {
	Slack   time.Duration
	Stretch float64
}

// Due returns the arrival time plus the slack, or an earlier time if the deadline requires
// it.
func (order NarrowFirst) Due(shape Shape) identifier.Moment {
	ideal := shape.Ideal.Seconds()
	slack := order.Slack.Seconds() * float64(shape.Tasks) * math.Sqrt(ideal)
	slack = min(slack, order.Stretch*ideal)
	return shape.dueWithin(time.Duration(slack * float64(time.Second)))
}

// dueWithin returns the arrival time plus slack, or the latest time at which the job can
// start to meet its deadline if that is earlier. It is never before the arrival.
func (shape *Shape) dueWithin(slack time.Duration) identifier.Moment {
	due := shape.ArrivedAt.Add(slack)
	if shape.Deadline == identifier.Never {
		return due
	}
	latest := max(shape.Deadline.Add(-shape.Ideal), shape.ArrivedAt)
	return identifier.Earlier(due, latest)
}
