package assembler

import (
	"net"
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/listener"
	"github.com/stoathitch/stoathitch/pkg/wrapper"
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
type Error = wrapper.Error[ErrorKind]

// listeners are the bound addresses of one daemon. A host without the role entry
// may have no address for backend servers.
type listeners struct {
	callers        *listener.Listener
	backendServers *listener.Listener
	peers          *listener.Listener
}

func (daemon *Daemon) listen() (*listeners, error) {
	bound := &listeners{}
	wanted := []struct {
		address netip.AddrPort
		target  **listener.Listener
	}{
		{daemon.Settings.CallersAddress, &bound.callers},
		{daemon.Settings.BackendServersAddress, &bound.backendServers},
		{daemon.Settings.PeersAddress, &bound.peers},
	}
	for _, wish := range wanted {
		if !wish.address.IsValid() {
			continue
		}
		opened, err := daemon.Listen(wish.address)
		if err != nil {
			bound.close()
			return nil, err
		}
		*wish.target = opened
	}
	return bound, nil
}

// Listen binds an address for callers, within the settings' limits of connections.
func (daemon *Daemon) Listen(address netip.AddrPort) (*listener.Listener, error) {
	opened, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, &Error{Operation: "listen on " + address.String(), Kind: ErrorListen, Err: eris.Wrap(err, "listen")}
	}
	return &listener.Listener{
		Listener: opened, Limit: int64(daemon.Settings.Connections.PerListener),
		WriteTimeout: daemon.Settings.Timeouts.BodyTimeout.Std(), Log: daemon.Log,
	}, nil
}

// backendServersAddress is for the log.
func (bound *listeners) backendServersAddress() string {
	if bound.backendServers == nil {
		return "none"
	}
	return bound.backendServers.Addr().String()
}

func (bound *listeners) close() {
	for _, opened := range []*listener.Listener{bound.callers, bound.backendServers, bound.peers} {
		if opened != nil {
			_ = opened.Close()
		}
	}
}
