package securer

import (
	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/wrapper"
)

// ErrorKind tells what kind of thing went wrong.
type ErrorKind int

// The kinds of errors of this package.
const (
	// ErrorFiles means that key files can't be read or don't fit together.
	ErrorFiles ErrorKind = iota
	// ErrorExpired means that a certificate is not valid at this time.
	ErrorExpired
	// ErrorIdentity means that a certificate does not name who it should.
	ErrorIdentity
	// ErrorUntrusted means that the authorities have not signed a certificate.
	ErrorUntrusted
)

// Error is the error type of this package.
type Error = wrapper.Error[ErrorKind]

func newError(operation string, kind ErrorKind, cause error) error {
	return &Error{Operation: operation, Kind: kind, Err: eris.Wrap(cause, operation)}
}
