package planner

import "github.com/rotisserie/eris"

//go:generate enumer -type=ErrorKind -transform=kebab -trimprefix=Kind -text

// ErrorKind classifies an Error.
type ErrorKind int

// The kinds of errors.
const (
	// KindEncoding means that a snapshot or command can't be encoded or decoded.
	KindEncoding ErrorKind = iota
	// KindVersion means that a snapshot is of an unknown version.
	KindVersion
)

// Error is returned by every function of this package that can fail.
type Error struct {
	Operation string
	Kind      ErrorKind
	Err       error
}

// Error returns the operation and the cause.
func (err *Error) Error() string { return err.Operation + ": " + err.Err.Error() }

// Unwrap returns the cause.
func (err *Error) Unwrap() error { return err.Err }

// failure returns an Error that wraps cause.
func failure(operation string, kind ErrorKind, cause error) error {
	return &Error{Operation: operation, Kind: kind, Err: eris.Wrap(cause, kind.String())}
}
