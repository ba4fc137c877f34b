package identifier

import (
	"math"
	"time"
)

// Moment is a reading of one host's own monotonic clock, in nanoseconds since that
// process started. Moments of different hosts are never compared: a deadline is sent
// as the remaining time.
type Moment int64

// Never is a deadline that is never reached.
const Never Moment = math.MaxInt64

// Add returns moment plus duration. Never plus any duration is Never.
func (moment Moment) Add(duration time.Duration) Moment {
	if moment == Never {
		return Never
	}
	return moment + Moment(duration)
}

// Sub returns the time from other to moment; it is negative if other is later.
func (moment Moment) Sub(other Moment) time.Duration {
	return time.Duration(moment - other)
}

// Before reports whether moment is earlier than other.
func (moment Moment) Before(other Moment) bool { return moment < other }

// Due reports whether a deadline at moment has been reached at now.
func (moment Moment) Due(now Moment) bool { return moment <= now }

// Remaining returns the time left until moment at now, in the form that is sent to
// other hosts: nil for Never, zero for a deadline that has passed.
func (moment Moment) Remaining(now Moment) *time.Duration {
	if moment == Never {
		return nil
	}
	remaining := max(moment.Sub(now), 0)
	return &remaining
}

// DeadlineFrom converts a received remaining time into a deadline on this host's
// clock; nil means Never.
func DeadlineFrom(now Moment, remaining *time.Duration) Moment {
	if remaining == nil {
		return Never
	}
	return now.Add(*remaining)
}

// Earlier returns the earlier of two moments.
func Earlier(first, second Moment) Moment { return min(first, second) }
