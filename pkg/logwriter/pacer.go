package logwriter

import (
	"sync"
	"time"
)

// pacerInterval is the minimum time between two lines that a RateLimiter allows.
const pacerInterval = time.Second

// RateLimiter limits the rate of log lines caused by remote peers. A peer that is refused, or
// that sends unreadable data, usually retries at once and would fill the log. The zero
// value is ready to use.
type RateLimiter struct {
	mutex   sync.Mutex
	nextAt  time.Time
	leftOut int
}

// Allow reports whether a line may be written now and, if so, how many were dropped since
// the last admitted line.
func (pacer *RateLimiter) Allow(now time.Time) (leftOut int, admitted bool) {
	pacer.mutex.Lock()
	defer pacer.mutex.Unlock()
	if now.Before(pacer.nextAt) {
		pacer.leftOut++
		return 0, false
	}
	leftOut = pacer.leftOut
	pacer.leftOut = 0
	pacer.nextAt = now.Add(pacerInterval)
	return leftOut, true
}
