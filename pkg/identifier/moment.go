package identifier

import (
	"math"
	"time"
)

// Moment is a point on one host's own monotonic clock, in nanoseconds since that
// process started. Moments of different hosts are never compared: on the wire a
// deadline travels as the time that remains.
type Moment int64

// Never is a deadline that does not fall due.
const Never Moment = math.MaxInt64

// Add returns the moment that lies duration later. Never stays Never.
func (moment Moment) Add(duration time.Duration) Moment {
	if moment == Never {
		return Never
	}
	return moment + Moment(duration)
}

// Sub returns the time from other to moment.
func (moment Moment) Sub(other Moment) time.Duration {
	return time.Duration(moment - other)
}

// Before tells whether moment lies before other.
func (moment Moment) Before(other Moment) bool { return moment < other }

// Due tells whether a deadline at moment has been reached at now.
func (moment Moment) Due(now Moment) bool { return moment <= now }

// Remaining returns the time left until moment at now, as it travels on the
// wire: nil for Never, zero for a deadline that has passed.
func (moment Moment) Remaining(now Moment) *time.Duration {
	if moment == Never {
		return nil
	}
	remaining := max(moment.Sub(now), 0)
	return &remaining
}

// DeadlineFrom turns a remaining time from the wire into a deadline on this
// host's clock; nil means Never.
func DeadlineFrom(now Moment, remaining *time.Duration) Moment {
	if remaining == nil {
		return Never
	}
	return now.Add(*remaining)
}

// Earlier returns the earlier of two moments.
func Earlier(first, second Moment) Moment { return min(first, second) }
