package queuer

import (
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
	// Work is the slot time of all tasks of the job.
	Work time.Duration
	// Slots is how many slots the work is spread over.
	Slots identifier.Slots
	// HeadStart is how much later than an urgent job this one is due.
	HeadStart time.Duration
}

// Order ranks the jobs of one team: the job with the earliest key goes first. A
// key is given once, at the arrival. It grows with the arrival time and by a
// bounded amount else, so that every job becomes the first in the end: only jobs
// that arrive within that amount of time can overtake it.
type Order interface {
	Key(shape Shape) identifier.Moment
}

// Arrival serves the jobs in the order in which they came.
type Arrival struct{}

// Key returns the arrival.
func (Arrival) Key(shape Shape) identifier.Moment { return shape.ArrivedAt.Add(shape.HeadStart) }

// ShortestWork serves the job with the least work first. Every second of waiting
// makes up for a second of work spread over the slots, times Aging.
type ShortestWork struct{ Aging float64 }

// Key returns the arrival plus the work spread over the slots.
func (order ShortestWork) Key(shape Shape) identifier.Moment {
	spread := time.Duration(float64(shape.Work) / float64(max(shape.Slots, 1)) * order.Aging)
	return shape.ArrivedAt.Add(shape.HeadStart + spread)
}

// LeastSlack serves the job first that must start first to keep its response
// within 1+Stretch times its ideal, or to meet its deadline.
type LeastSlack struct{ Stretch float64 }

// Key returns the moment at which the job should start at the latest.
func (order LeastSlack) Key(shape Shape) identifier.Moment {
	slack := time.Duration(float64(shape.Ideal) * order.Stretch)
	key := shape.ArrivedAt.Add(shape.HeadStart + slack)
	if shape.Deadline == identifier.Never {
		return key
	}
	latest := max(shape.Deadline.Add(-shape.Ideal), shape.ArrivedAt)
	return identifier.Earlier(key, latest)
}
