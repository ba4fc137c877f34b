package connector

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

// refusalPause is the least time between two log lines of refusals. One who is
// refused mostly tries again at once, and would fill the log of every host.
const refusalPause = time.Second

// refusals logs who was refused, now and then.
type refusals struct {
	mutex    sync.Mutex
	logged   time.Time
	unlogged int
}

func (refusals *refusals) note(logger *log.Logger, kind, name string, cause error) {
	refusals.mutex.Lock()
	defer refusals.mutex.Unlock()
	now := time.Now()
	if now.Sub(refusals.logged) < refusalPause {
		refusals.unlogged++
		return
	}
	logger.Warn("connection refused", kind, name, "err", cause, "refusals-not-logged", refusals.unlogged)
	refusals.logged, refusals.unlogged = now, 0
}
