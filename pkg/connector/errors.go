// Package connector carries messages between processes over gRPC: batches between hosts, and the
// published protocol with backend servers. It makes no decisions; everything received goes to the
// coordinator.
package connector

import (
	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/wrapper"
)

//go:generate enumer -type=ErrorKind -trimprefix=Error -transform=kebab -text

// ErrorKind classifies the errors of this package.
type ErrorKind int

// The kinds of errors of this package.
const (
	// ErrorProtocol means that the other side violated the protocol.
	ErrorProtocol ErrorKind = iota
	// ErrorStream means that a stream ended or could not be opened.
	ErrorStream
	// ErrorCodec means that a message could not be encoded or decoded.
	ErrorCodec
	// ErrorListen means that an address could not be bound.
	ErrorListen
	// ErrorRefused means that the other side's certificate does not match the identity that it claims.
	ErrorRefused
)

// Error is the error type of this package.
type Error = wrapper.Error[ErrorKind]

func newError(operation string, kind ErrorKind, cause error) error {
	return &Error{Operation: operation, Kind: kind, Err: eris.Wrap(cause, operation)}
}
