// Package listener accepts the connections of callers within a limit, and ends them
// without cutting off a request that has already arrived.
package listener

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
)

// Listener closes connections beyond a limit as soon as they arrive, so that their
// clients turn to another host. Were they left to wait unaccepted, as is the custom, a
// client that opens connections and keeps them would lock out everybody else without a
// sign. Set the exported fields before the first Accept.
type Listener struct {
	net.Listener
	// Limit is the largest number of connections open at once.
	Limit int64
	// WriteTimeout is how long the other side may take to read what is written.
	WriteTimeout time.Duration
	Log          *log.Logger

	open atomic.Int64
	// refusing tells that the limit has been reached, so that it is logged once.
	refusing atomic.Bool
}

// Accept returns the next connection within the limit.
func (listener *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := listener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if listener.open.Add(1) <= listener.Limit {
			listener.refusing.Store(false)
			return &connection{Conn: accepted, listener: listener}, nil
		}
		listener.open.Add(-1)
		_ = accepted.Close()
		if !listener.refusing.Swap(true) {
			listener.Log.Warn("connections refused, limit reached", "address", listener.Addr(), "limit", listener.Limit)
		}
	}
}

// connection gives its place back when it is closed.
type connection struct {
	net.Conn
	listener *Listener
	once     sync.Once
	// unanswered tells that bytes were read after the last that was written.
	unanswered atomic.Bool
	// taken counts the bytes of which Read has told; unanswered is set before.
	taken atomic.Uint64
}

// Read notes that the other side waits for something.
func (connection *connection) Read(content []byte) (int, error) {
	length, err := connection.Conn.Read(content)
	if length > 0 {
		connection.unanswered.Store(true)
		connection.taken.Add(uint64(length))
	}
	return length, err
}

// Write writes within the timeout. One who asks and never reads would else hold its
// answer in memory, and a connection of the limit, for ever.
func (connection *connection) Write(content []byte) (int, error) {
	connection.unanswered.Store(false)
	if err := connection.SetWriteDeadline(time.Now().Add(connection.listener.WriteTimeout)); err != nil {
		return 0, err
	}
	return connection.Conn.Write(content)
}

// Close closes the connection.
func (connection *connection) Close() error {
	connection.once.Do(func() { connection.listener.open.Add(-1) })
	return connection.Conn.Close()
}
