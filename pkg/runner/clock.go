package runner

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Clock reads the host's monotonic clock as moments since the clock was made.
// A jump of the wall clock does not move it.
type Clock struct{ start time.Time }

// NewClock returns a clock that stands at moment 0.
func NewClock() *Clock { return &Clock{start: time.Now()} }

// Now returns the present moment.
func (clock *Clock) Now() identifier.Moment { return identifier.Moment(time.Since(clock.start)) }
