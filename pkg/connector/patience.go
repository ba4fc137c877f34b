package connector

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// Bounds of the time that an attempt to connect to another host is given.
const (
	// firstDialTimeout is that of the first attempt. The other host's kernel answers
	// an attempt, however busy the host is, so only the way counts: a few milliseconds
	// in a region.
	firstDialTimeout = 50 * time.Millisecond
	// dialTimeout is that of a later attempt at most; between regions the way takes some
	// tens of milliseconds.
	dialTimeout = 300 * time.Millisecond
	// dialTimeoutGrowth is how much longer the next attempt is given after one that
	// nobody answered.
	dialTimeoutGrowth = 1.2
)

// dialPatience decides how long each attempt to connect to one host is given.
//
// A machine without power answers nothing, and what was sent to it is lost. A host that
// starts a moment before others dials them, and would wait for the whole of its attempt
// although they are there meanwhile; callers see a failure domain without lead and
// configuration. So the first attempts are short, and long ones follow only where
// nobody answers.
type dialPatience struct {
	mutex sync.Mutex
	next  time.Duration
}

// open opens a connection through dial, within the time that this attempt is given.
func (patience *dialPatience) open(ctx context.Context, address string, dial Dialer) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, patience.timeout())
	defer cancel()
	connection, err := dial(ctx, address)
	patience.learn(err)
	return connection, err
}

func (patience *dialPatience) timeout() time.Duration {
	patience.mutex.Lock()
	defer patience.mutex.Unlock()
	return max(patience.next, firstDialTimeout)
}

// learn gives the next attempt more time where nobody answered this one. A refusal is an
// answer.
func (patience *dialPatience) learn(err error) {
	patience.mutex.Lock()
	defer patience.mutex.Unlock()
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded) {
		longer := time.Duration(float64(max(patience.next, firstDialTimeout)) * dialTimeoutGrowth)
		patience.next = min(longer, dialTimeout)
		return
	}
	patience.next = firstDialTimeout
}
