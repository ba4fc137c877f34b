package assembler

import (
	"sync"
	"time"
)

// refusal counts the tries of a kind of write that the disk refuses. The zero value means that it
// refuses nothing.
type refusal struct {
	mutex sync.Mutex
	began time.Time
	tries int
}

// refused counts a refused try and reports whether it is the first one.
func (refusal *refusal) refused() bool {
	refusal.mutex.Lock()
	defer refusal.mutex.Unlock()
	refusal.tries++
	if refusal.tries > 1 {
		return false
	}
	refusal.began = time.Now()
	return true
}

// accepted ends the refusal and returns how many tries were refused and when the first one was.
func (refusal *refusal) accepted() (tries int, began time.Time) {
	refusal.mutex.Lock()
	defer refusal.mutex.Unlock()
	tries, began = refusal.tries, refusal.began
	refusal.tries, refusal.began = 0, time.Time{}
	return tries, began
}

// since returns when the first try was refused; zero if nothing is refused.
func (refusal *refusal) since() time.Time {
	refusal.mutex.Lock()
	defer refusal.mutex.Unlock()
	return refusal.began
}
