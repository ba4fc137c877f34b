package runner

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Clock reads the monotonic clock as moments since NewClock. Changes of the wall clock don't
// affect it.
type Clock struct{ start time.Time }

// NewClock returns a clock that reads moment 0 now.
func NewClock() *Clock { return &Clock{start: time.Now()} }

// Now returns the time since NewClock.
func (clock *Clock) Now() identifier.Moment { return identifier.Moment(time.Since(clock.start)) }
