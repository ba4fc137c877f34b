package planner

import "github.com/rotisserie/eris"

//go:generate enumer -type=ErrorKind -transform=kebab -trimprefix=Kind -text

// ErrorKind says what went wrong.
type ErrorKind int

// The kinds of errors.
const (
	// KindEncoding means that a snapshot or command can't be encoded or decoded.
	KindEncoding ErrorKind = iota
	// KindVersion means that a snapshot is of an unknown version.
	KindVersion
)

// Error is the error of this package.
type Error struct {
	Operation string
	Kind      ErrorKind
	Err       error
}

// Error implements error.
func (err *Error) Error() string { return err.Operation + ": " + err.Err.Error() }

// Unwrap returns the cause.
func (err *Error) Unwrap() error { return err.Err }

// failure wraps a cause.
func failure(operation string, kind ErrorKind, cause error) error {
	return &Error{Operation: operation, Kind: kind, Err: eris.Wrap(cause, kind.String())}
}
