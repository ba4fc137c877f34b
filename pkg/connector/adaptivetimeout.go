package connector

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// Timeouts of attempts to connect to another host.
const (
	// firstDialTimeout is the timeout of the first attempt. The other host's kernel answers an attempt
	// however busy the host is, so only the network latency counts: a few milliseconds within a
	// region.
	firstDialTimeout = 50 * time.Millisecond
	// dialTimeout is the maximum timeout of later attempts; the latency between regions is some tens
	// of milliseconds.
	dialTimeout = 300 * time.Millisecond
	// dialTimeoutGrowth is the factor by which the timeout grows after an unanswered attempt.
	dialTimeoutGrowth = 1.2
)

// adaptiveTimeout sets the timeout of each attempt to connect to one host.
//
// A machine without power answers nothing, and packets sent to it are lost. A host that starts a
// moment before the others and dials them would wait for the whole timeout although they are up in
// the meantime; callers would see a failure domain without a lead and a configuration. So the
// first attempts are short, and the timeout grows only while nobody answers.
type adaptiveTimeout struct {
	mutex sync.Mutex
	next  time.Duration
}

// dial opens a connection by the given Dialer, with the timeout of this attempt.
func (adaptiveTimeout *adaptiveTimeout) dial(ctx context.Context, address string, dial Dialer) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, adaptiveTimeout.timeout())
	defer cancel()
	connection, err := dial(ctx, address)
	adaptiveTimeout.recordResult(err)
	return connection, err
}

func (adaptiveTimeout *adaptiveTimeout) timeout() time.Duration {
	adaptiveTimeout.mutex.Lock()
	defer adaptiveTimeout.mutex.Unlock()
	return max(adaptiveTimeout.next, firstDialTimeout)
}

// recordResult raises the timeout of the next attempt if this one got no answer, and resets it
// otherwise. A refused connection counts as an answer.
func (adaptiveTimeout *adaptiveTimeout) recordResult(err error) {
	adaptiveTimeout.mutex.Lock()
	defer adaptiveTimeout.mutex.Unlock()
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded) {
		longer := time.Duration(float64(max(adaptiveTimeout.next, firstDialTimeout)) * dialTimeoutGrowth)
		adaptiveTimeout.next = min(longer, dialTimeout)
		return
	}
	adaptiveTimeout.next = firstDialTimeout
}
