package assembler

import (
	"net"
	"net/netip"

	"github.com/rotisserie/eris"
)

//go:generate enumer -type=ErrorKind -trimprefix=Error -transform=kebab -text

// ErrorKind tells what kind of thing went wrong.
type ErrorKind int

// The kinds of errors of this package.
const (
	// ErrorListen means that an address could not be bound.
	ErrorListen ErrorKind = iota
	// ErrorJournal means that the journal of a keeper could not be opened.
	ErrorJournal
	// ErrorSecurity means that key files or tokens can't be used.
	ErrorSecurity
)

// Error is the error type of this package.
type Error struct {
	Operation string
	Kind      ErrorKind
	Err       error
}

// Error describes the operation, the kind and the cause.
func (failure *Error) Error() string {
	return failure.Operation + ": " + failure.Kind.String() + ": " + failure.Err.Error()
}

// Unwrap returns the cause.
func (failure *Error) Unwrap() error { return failure.Err }

// listeners are the bound addresses of one daemon. A host without the role entry
// may have no address for backend servers.
type listeners struct {
	callers        net.Listener
	backendServers net.Listener
	peers          net.Listener
}

func (daemon *Daemon) listen() (*listeners, error) {
	bound := &listeners{}
	wanted := []struct {
		address netip.AddrPort
		target  *net.Listener
	}{
		{daemon.Settings.CallersAddress, &bound.callers},
		{daemon.Settings.BackendServersAddress, &bound.backendServers},
		{daemon.Settings.PeersAddress, &bound.peers},
	}
	for _, wish := range wanted {
		if !wish.address.IsValid() {
			continue
		}
		listener, err := net.Listen("tcp", wish.address.String())
		if err != nil {
			bound.close()
			return nil, &Error{Operation: "listen on " + wish.address.String(), Kind: ErrorListen, Err: eris.Wrap(err, "listen")}
		}
		*wish.target = &boundedListener{
			Listener: listener, limit: int64(daemon.Settings.Connections.PerListener),
			writeTimeout: daemon.Settings.Timeouts.BodyTimeout.Std(), log: daemon.Log,
		}
	}
	return bound, nil
}

// backendServersAddress is for the log.
func (bound *listeners) backendServersAddress() string {
	if bound.backendServers == nil {
		return "none"
	}
	return bound.backendServers.Addr().String()
}

func (bound *listeners) close() {
	for _, listener := range []net.Listener{bound.callers, bound.backendServers, bound.peers} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
