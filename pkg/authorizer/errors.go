package authorizer

import (
	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/wrapper"
)

// ErrorKind tells what kind of thing went wrong.
type ErrorKind int

// The kinds of errors of this package.
const (
	// ErrorFile means that the file of tokens can't be read.
	ErrorFile ErrorKind = iota
	// ErrorMalformed means that the file of tokens is not as it should be.
	ErrorMalformed
)

// Error is the error type of this package.
type Error = wrapper.Error[ErrorKind]

func newError(operation string, kind ErrorKind, cause error) error {
	return &Error{Operation: operation, Kind: kind, Err: eris.Wrap(cause, operation)}
}
