// Package listener limits the number of open connections of callers, and drains them
// without dropping a request that has already arrived.
package listener

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
)

// Listener closes connections beyond a limit as soon as they arrive, so that their
// clients try another host. If they were left unaccepted in the backlog, as is usual, a
// client that opens connections and keeps them would silently lock out all others. Set
// the exported fields before the first Accept.
type Listener struct {
	net.Listener
	// Limit is the maximum number of open connections.
	Limit int64
	// WriteTimeout is how long the client may take to read what one call of Write sends.
	WriteTimeout time.Duration
	Log          *log.Logger

	open atomic.Int64
	// refusing is set while connections are refused, so that this is logged only once.
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

// connection is an accepted connection; closing it frees its place within the limit.
type connection struct {
	net.Conn
	listener *Listener
	once     sync.Once
	// unanswered is set while bytes have been read since the last write.
	unanswered atomic.Bool
	// bytesRead counts the bytes that Read has returned. Read sets unanswered before it adds them.
	bytesRead atomic.Uint64
}

// Read marks the connection as unanswered when it has read anything.
func (connection *connection) Read(content []byte) (int, error) {
	length, err := connection.Conn.Read(content)
	if length > 0 {
		connection.unanswered.Store(true)
		connection.bytesRead.Add(uint64(length))
	}
	return length, err
}

// Write writes within WriteTimeout. Otherwise a client that sends requests and never reads
// would keep its response in memory and one connection of the limit occupied for ever.
func (connection *connection) Write(content []byte) (int, error) {
	connection.unanswered.Store(false)
	if err := connection.SetWriteDeadline(time.Now().Add(connection.listener.WriteTimeout)); err != nil {
		return 0, err
	}
	return connection.Conn.Write(content)
}

// Close closes the connection and frees its place, once.
func (connection *connection) Close() error {
	connection.once.Do(func() { connection.listener.open.Add(-1) })
	return connection.Conn.Close()
}
