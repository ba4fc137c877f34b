package listener

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// drainInterval is how often a draining server looks for idle connections to close. It is
// short compared with the second or more that a drain may take.
const drainInterval = 10 * time.Millisecond

// Server serves HTTP to callers and can be drained. Set the exported fields before
// Serve.
type Server struct {
	// HTTP is the server with its limits and handler; Prepare sets its
	// protocols and ConnState and wraps its handler.
	HTTP *http.Server

	draining atomic.Bool
	mutex    sync.Mutex
	listener net.Listener
	// states holds the HTTP state of each open connection.
	states map[net.Conn]http.ConnState
}

// Prepare initialises the server. Call it before Serve.
func (server *Server) Prepare() {
	server.states = make(map[net.Conn]http.ConnState)
	server.HTTP.Protocols = http1Only()
	server.HTTP.ConnState = server.recordState
	handler := server.HTTP.Handler
	server.HTTP.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if server.draining.Load() {
			// The caller sends its next request to another host.
			writer.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(writer, request)
	})
}

// http1Only limits callers to one request at a time per connection, so that the
// connection limit bounds concurrent requests too.
func http1Only() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return protocols
}

// Serve serves until the server is drained or closed. It returns an error only if it
// stopped for another reason.
func (server *Server) Serve(accepting *Listener) error {
	server.mutex.Lock()
	server.listener = accepting
	server.mutex.Unlock()
	serve := server.HTTP.Serve
	if server.HTTP.TLSConfig != nil {
		serve = func(listener net.Listener) error { return server.HTTP.ServeTLS(listener, "", "") }
	}
	err := serve(accepting)
	if errors.Is(err, http.ErrServerClosed) || server.draining.Load() {
		return nil
	}
	return err
}

// BeginDrain makes every further response carry Connection: close, so that callers move to
// other connections.
func (server *Server) BeginDrain() { server.draining.Store(true) }

// Drain stops accepting connections and closes open ones once they are idle, until ctx is
// done. Connections still open then are left to Close.
//
// http.Server.Shutdown closes each connection on which it has not yet begun to read a
// request. In a process starved of CPU, a request may have been waiting unread for a long
// time by then, and its caller would get no answer from a host that was shut down as
// planned. Drain keeps a connection with unread bytes open and answers it.
func (server *Server) Drain(ctx context.Context) {
	server.BeginDrain()
	server.mutex.Lock()
	if server.listener != nil {
		// Closing it twice is harmless.
		_ = server.listener.Close()
	}
	server.mutex.Unlock()
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for !server.closeIdle() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Close closes the listener and all connections that are still open.
func (server *Server) Close() {
	// Nothing can be done about a connection that fails to close.
	_ = server.HTTP.Close()
}

func (server *Server) recordState(changed net.Conn, state http.ConnState) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(server.states, changed)
		return
	}
	server.states[changed] = state
}

// closeIdle closes the idle connections and reports whether none was open when it began.
func (server *Server) closeIdle() bool {
	server.mutex.Lock()
	var idle []net.Conn
	for open, state := range server.states {
		if state != http.StateActive {
			idle = append(idle, open)
		}
	}
	remaining := len(server.states)
	server.mutex.Unlock()
	for _, open := range idle {
		if isIdle(open) {
			// A connection that fails to close is gone already. With TLS, closing may take
			// seconds if the client doesn't read the final message.
			go func() { _ = open.Close() }()
		}
	}
	return remaining == 0
}

// isIdle reports whether a connection has neither unread bytes nor an unanswered request.
//
// Bytes that a reader has received from the operating system but not yet counted are pending,
// too. A drain that checked for unread bytes only would close the connection at that moment, and
// its caller would see it end without an answer.
func isIdle(open net.Conn) bool {
	if secured, encrypted := open.(*tls.Conn); encrypted {
		open = secured.NetConn()
	}
	bounded, accepted := open.(*connection)
	if !accepted {
		return true
	}
	bytesRead := bounded.bytesRead.Load()
	return bytesReceived(bounded.Conn) <= bytesRead && !bounded.unanswered.Load()
}

// bytesReceived returns the number of bytes that have arrived on a connection, read or not. The
// FIN of the other side counts as one.
func bytesReceived(open net.Conn) uint64 {
	source, readable := open.(syscall.Conn)
	if !readable {
		return 0
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return 0 // The connection is already closed.
	}
	var info *unix.TCPInfo
	var failed error
	readInfo := func(descriptor uintptr) {
		info, failed = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
	}
	if raw.Control(readInfo) != nil || failed != nil {
		return 0 // The connection is closed or not TCP.
	}
	return info.Bytes_received
}
