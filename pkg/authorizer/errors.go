package authorizer

import "github.com/rotisserie/eris"

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

func newError(operation string, kind ErrorKind, cause error) error {
	return &Error{Operation: operation, Kind: kind, Err: eris.Wrap(cause, operation)}
}
