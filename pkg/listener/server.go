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

// drainInterval is how often a draining server looks for connections on which nothing
// is under way: short beside the second or more that a drain may take.
const drainInterval = 10 * time.Millisecond

// Server serves HTTP to callers and can be drained. Set the exported fields before
// Serve.
type Server struct {
	// HTTP is the server with its limits and handler; its protocols, its handler's
	// wrapping and its ConnState are set here.
	HTTP *http.Server

	draining atomic.Bool
	mutex    sync.Mutex
	listener net.Listener
	// states are those of the open connections.
	states map[net.Conn]http.ConnState
}

// Prepare makes the server usable before Serve.
func (server *Server) Prepare() {
	server.states = make(map[net.Conn]http.ConnState)
	server.HTTP.Protocols = onlyHTTP1()
	server.HTTP.ConnState = server.noteState
	handler := server.HTTP.Handler
	server.HTTP.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if server.draining.Load() {
			// The caller turns to another host with its next request.
			writer.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(writer, request)
	})
}

// onlyHTTP1 keeps callers to one request at a time on a connection, so that the
// limit of connections bounds their requests too.
func onlyHTTP1() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return protocols
}

// Serve serves until the server is drained or closed. It returns an error if it ended
// for another reason.
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

// Announce has every further response ask its caller to use another connection.
func (server *Server) Announce() { server.draining.Store(true) }

// Drain accepts no connections any more and closes the open ones as nothing is under
// way on them, until ctx is done. What is open then is left to Close.
//
// The HTTP library's own way closes each connection on which it has not yet begun to
// read a request. In a process that gets the processor late, a request may have waited
// unread for a long time by then: its caller gets no answer from a host that was shut
// down as planned. Here a connection on which bytes wait is left open and answered.
func (server *Server) Drain(ctx context.Context) {
	server.Announce()
	server.mutex.Lock()
	if server.listener != nil {
		// Closing it twice is no harm.
		_ = server.listener.Close()
	}
	server.mutex.Unlock()
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for !server.closeQuiet() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Close ends what is still open.
func (server *Server) Close() {
	// Nothing is left to do about a connection that can't be closed.
	_ = server.HTTP.Close()
}

func (server *Server) noteState(changed net.Conn, state http.ConnState) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(server.states, changed)
		return
	}
	server.states[changed] = state
}

// closeQuiet closes the connections on which nothing is under way and tells whether
// none is open any more.
func (server *Server) closeQuiet() bool {
	server.mutex.Lock()
	var idle []net.Conn
	for open, state := range server.states {
		if state != http.StateActive {
			idle = append(idle, open)
		}
	}
	left := len(server.states)
	server.mutex.Unlock()
	for _, open := range idle {
		if quiet(open) {
			// One that can't be closed is gone. Where connections are secured, the last
			// message may take seconds to a client that doesn't read.
			go func() { _ = open.Close() }()
		}
	}
	return left == 0
}

// quiet tells whether nothing has arrived on a connection that is still to be answered.
//
// What a reader has taken from the operating system and not noted yet counts as arrived, too. A
// drain that asked for unread bytes alone would close the connection just then; its caller would
// see it end without an answer.
func quiet(open net.Conn) bool {
	if secured, encrypted := open.(*tls.Conn); encrypted {
		open = secured.NetConn()
	}
	bounded, ours := open.(*connection)
	if !ours {
		return true
	}
	taken := bounded.taken.Load()
	return received(bounded.Conn) <= taken && !bounded.unanswered.Load()
}

// received tells how many bytes have arrived on a connection, read or not. The end of what the
// other side sends counts as one.
func received(open net.Conn) uint64 {
	source, readable := open.(syscall.Conn)
	if !readable {
		return 0
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return 0 // It is closed already.
	}
	var info *unix.TCPInfo
	var failed error
	look := func(descriptor uintptr) {
		info, failed = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
	}
	if raw.Control(look) != nil || failed != nil {
		return 0 // It is closed, or no connection of TCP.
	}
	return info.Bytes_received
}
