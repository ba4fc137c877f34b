package reporter

import (
	"fmt"

	"github.com/rotisserie/eris"
)

//go:generate enumer -type=ErrorKind -trimprefix=Error -transform=kebab -text

// ErrorKind is the reason why a report could not be written.
type ErrorKind int

// The kinds of errors: no rows, a failure of the chart library, a failed write.
const (
	ErrorNoRows ErrorKind = iota
	ErrorDrawing
	ErrorWriting
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
func (reportError *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", reportError.Operation, reportError.Kind, reportError.Err)
}

// Unwrap returns the underlying error.
func (reportError *Error) Unwrap() error { return reportError.Err }
