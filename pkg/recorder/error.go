package recorder

import (
	"fmt"

	"github.com/rotisserie/eris"
)

//go:generate enumer -type=ErrorKind -trimprefix=Error -transform=kebab -text

// ErrorKind says what is wrong with a log.
type ErrorKind int

// The kinds of errors.
const (
	ErrorMalformed ErrorKind = iota
	ErrorNoJobs
)

// Error is the one error type of this package.
type Error struct {
	Operation string
	Kind      ErrorKind
	Err       error
}

func newError(operation string, kind ErrorKind, err error) *Error {
	return &Error{Operation: operation, Kind: kind, Err: eris.Wrap(err, operation)}
}

// Error returns the operation, the kind and the cause.
func (recorderError *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", recorderError.Operation, recorderError.Kind, recorderError.Err)
}

// Unwrap returns the cause.
func (recorderError *Error) Unwrap() error { return recorderError.Err }
