package assembler

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
)

// boundedListener closes connections beyond a limit as soon as they arrive, so
// that their clients turn to another host. Were they left to wait unaccepted, as
// is the custom, a client that opens connections and keeps them would lock out
// everybody else without a sign.
type boundedListener struct {
	net.Listener
	limit int64
	// writeTimeout is how long the other side may take to read what is written.
	writeTimeout time.Duration
	log          *log.Logger

	open atomic.Int64
	// refusing tells that the limit has been reached, so that it is logged once.
	refusing atomic.Bool
}

// Accept returns the next connection within the limit.
func (listener *boundedListener) Accept() (net.Conn, error) {
	for {
		connection, err := listener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if listener.open.Add(1) <= listener.limit {
			listener.refusing.Store(false)
			return &boundedConnection{Conn: connection, listener: listener}, nil
		}
		listener.open.Add(-1)
		_ = connection.Close()
		if !listener.refusing.Swap(true) {
			listener.log.Warn("connections refused, limit reached", "address", listener.Addr(), "limit", listener.limit)
		}
	}
}

// boundedConnection gives its place back when it is closed.
type boundedConnection struct {
	net.Conn
	listener *boundedListener
	once     sync.Once
}

// Write writes within the timeout. One who asks and never reads would else hold its
// answer in memory, and a connection of the limit, for ever.
func (connection *boundedConnection) Write(content []byte) (int, error) {
	if err := connection.SetWriteDeadline(time.Now().Add(connection.listener.writeTimeout)); err != nil {
		return 0, err
	}
	return connection.Conn.Write(content)
}

// Close closes the connection.
func (connection *boundedConnection) Close() error {
	connection.once.Do(func() { connection.listener.open.Add(-1) })
	return connection.Conn.Close()
}

// onlyHTTP1 keeps callers to one request at a time on a connection, so that the
// limit of connections bounds their requests too.
func onlyHTTP1() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return protocols
}
