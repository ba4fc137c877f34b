package recorder

import (
	"fmt"

	"github.com/rotisserie/eris"
)

//go:generate enumer -type=ErrorKind -trimprefix=Error -transform=kebab -text

// ErrorKind is the reason why logs could not be converted.
type ErrorKind int

// The kinds of errors: a line or field that can't be parsed, and logs without a job.
const (
	ErrorMalformed ErrorKind = iota
	ErrorNoJobs
)

// Error is the error type of all functions of this package.
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

// Unwrap returns the underlying error.
func (recorderError *Error) Unwrap() error { return recorderError.Err }
