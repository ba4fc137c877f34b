package loader

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Connections bounds what one connection may hold, so that slow, half-open and
// runaway ones can't take a host from the others. A change takes effect at the
// next start.
type Connections struct {
	// PerListener is the largest number of connections open at once on each of the
	// three addresses. A further one is closed at once, so that its client turns to
	// another host in place of waiting.
	PerListener int `json:"per-listener"`

	// Streams is the largest number of gRPC streams on one connection. Hosts and
	// backend servers need one.
	Streams int `json:"streams"`

	// Message is the largest gRPC message that is received.
	Message identifier.Bytes `json:"message-bytes"`

	// KeepaliveInterval is the silence on a gRPC connection after which the other
	// side is probed. At least 10s.
	KeepaliveInterval Duration `json:"keepalive-interval"`

	// KeepaliveTimeout is how long the answer to a probe may take before the
	// connection is closed.
	KeepaliveTimeout Duration `json:"keepalive-timeout"`

	// HandshakeTimeout is how long the other side may take to set up a connection
	// and to send its first message.
	HandshakeTimeout Duration `json:"handshake-timeout"`
}

// minConnections is the least number of connections that an address takes.
const minConnections = 16

func (checker *checker) checkConnections() {
	connections := &checker.settings.Connections
	between(checker, "connections.per-listener", connections.PerListener, minConnections, 1_000_000)
	between(checker, "connections.streams", connections.Streams, 1, 1000)
	between(checker, "connections.message-bytes", connections.Message, 1<<20, 1<<30)
	// gRPC probes no more often than this.
	between(checker, "connections.keepalive-interval", connections.KeepaliveInterval, Duration(10*time.Second), Duration(time.Hour))
	between(checker, "connections.keepalive-timeout", connections.KeepaliveTimeout, Duration(100*time.Millisecond), Duration(time.Hour))
	between(checker, "connections.handshake-timeout", connections.HandshakeTimeout, Duration(100*time.Millisecond), Duration(5*time.Minute))
}
