package logwriter

import (
	"sync"
	"time"
)

// pacerInterval is the least time between two lines that a Pacer lets through.
const pacerInterval = time.Second

// Pacer keeps lines down that others cause from outside: one who is refused, or sends
// what can't be read, mostly tries again at once and would fill the log. The zero value
// is ready to use.
type Pacer struct {
	mutex   sync.Mutex
	nextAt  time.Time
	leftOut int
}

// Admit tells whether a line may be written now, and how many were left out since the
// last one.
func (pacer *Pacer) Admit(now time.Time) (leftOut int, admitted bool) {
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
