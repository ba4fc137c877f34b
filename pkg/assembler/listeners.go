package assembler

import (
	"net"
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/listener"
	"github.com/stoathitch/stoathitch/pkg/wrapper"
)

//go:generate enumer -type=ErrorKind -trimprefix=Error -transform=kebab -text

// ErrorKind classifies the errors of this package.
type ErrorKind int

// The kinds of errors of this package.
const (
	// ErrorListen means that an address could not be bound.
	ErrorListen ErrorKind = iota
	// ErrorJournal means that the journal or the founders file of a keeper could not be read or
	// written.
	ErrorJournal
	// ErrorSecurity means that key files or tokens are missing or invalid.
	ErrorSecurity
)

// Error is the error type of this package.
type Error = wrapper.Error[ErrorKind]

// listeners are the bound addresses of one daemon. A host without the role entry may have no address
// for backend servers.
type listeners struct {
	callers        *listener.Listener
	backendServers *listener.Listener
	peers          *listener.Listener
}

func (daemon *Daemon) listen() (*listeners, error) {
	bound := &listeners{}
	bindings := []struct {
		address netip.AddrPort
		target  **listener.Listener
	}{
		{daemon.Settings.CallersAddress, &bound.callers},
		{daemon.Settings.BackendServersAddress, &bound.backendServers},
		{daemon.Settings.PeersAddress, &bound.peers},
	}
	for _, binding := range bindings {
		if !binding.address.IsValid() {
			continue
		}
		opened, err := daemon.Listen(binding.address)
		if err != nil {
			bound.close()
			return nil, err
		}
		*binding.target = opened
	}
	return bound, nil
}

// Listen binds an address, with the connection limit and write timeout of the settings.
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

// backendServersAddress returns the address for the log, "none" if there is none.
func (listeners *listeners) backendServersAddress() string {
	if listeners.backendServers == nil {
		return "none"
	}
	return listeners.backendServers.Addr().String()
}

func (listeners *listeners) close() {
	for _, opened := range []*listener.Listener{listeners.callers, listeners.backendServers, listeners.peers} {
		if opened != nil {
			_ = opened.Close()
		}
	}
}
