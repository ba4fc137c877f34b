// Package connector carries messages between processes over gRPC: batches
// between hosts, and the published protocol with backend servers. It decides
// nothing; what arrives goes to the coordinator.
package connector

import (
	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/wrapper"
)

//go:generate enumer -type=ErrorKind -trimprefix=Error -transform=kebab -text

// ErrorKind tells what kind of thing went wrong.
type ErrorKind int

// The kinds of errors of this package.
const (
	// ErrorProtocol means that the other side broke the protocol.
	ErrorProtocol ErrorKind = iota
	// ErrorStream means that a stream ended or could not be opened.
	ErrorStream
	// ErrorCodec means that a message could not be encoded or decoded.
	ErrorCodec
	// ErrorListen means that an address could not be bound.
	ErrorListen
	// ErrorRefused means that the other side's certificate does not name who speaks.
	ErrorRefused
)

// Error is the error type of this package.
type Error = wrapper.Error[ErrorKind]

func newError(operation string, kind ErrorKind, cause error) error {
	return &Error{Operation: operation, Kind: kind, Err: eris.Wrap(cause, operation)}
}
