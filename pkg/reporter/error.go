package reporter

import (
	"fmt"

	"github.com/rotisserie/eris"
)

//go:generate enumer -type=ErrorKind -trimprefix=Error -transform=kebab -text

// ErrorKind says why a report was not made.
type ErrorKind int

// The kinds of errors.
const (
	ErrorNoRows ErrorKind = iota
	ErrorDrawing
	ErrorWriting
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
func (reportError *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", reportError.Operation, reportError.Kind, reportError.Err)
}

// Unwrap returns the cause.
func (reportError *Error) Unwrap() error { return reportError.Err }
