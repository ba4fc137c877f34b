package replayer

import (
	"fmt"

	"github.com/rotisserie/eris"
)

//go:generate enumer -type=ErrorKind -trimprefix=Error -transform=kebab -text

// ErrorKind classifies the errors of this package.
type ErrorKind int

// Kinds of errors.
const (
	ErrorEncoding ErrorKind = iota
	ErrorUnknownPolicy
)

// Error is the type of all errors of this package.
type Error struct {
	Operation string
	Kind      ErrorKind
	Err       error
}

func newError(operation string, kind ErrorKind, err error) *Error {
	return &Error{Operation: operation, Kind: kind, Err: eris.Wrap(err, operation)}
}

// Error returns the operation, the kind and the cause.
func (replayError *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", replayError.Operation, replayError.Kind, replayError.Err)
}

// Unwrap returns the cause.
func (replayError *Error) Unwrap() error { return replayError.Err }
