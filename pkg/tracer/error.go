package tracer

import (
	"fmt"

	"github.com/rotisserie/eris"
)

//go:generate enumer -type=ErrorKind -trimprefix=Error -transform=kebab -text

// ErrorKind is the reason why a trace could not be read or written.
type ErrorKind int

// The kinds of errors; all but ErrorReading and ErrorWriting are faults in the trace.
const (
	ErrorMalformed ErrorKind = iota
	ErrorNoDeployment
	ErrorUnknownEvent
	ErrorUnknownField
	ErrorRepeatedField
	ErrorMissingField
	ErrorBadValue
	ErrorTimeBackwards
	ErrorUnknownReference
	ErrorReading
	ErrorWriting
)

// Error is the error type of all functions of this package. Line is the line
// number within the trace, from 1.
type Error struct {
	Operation string
	Kind      ErrorKind
	Line      int
	Err       error
}

// Error returns the operation, the line, the kind and the cause.
func (traceError *Error) Error() string {
	return fmt.Sprintf("%s: line %d: %s: %v", traceError.Operation, traceError.Line, traceError.Kind, traceError.Err)
}

// Unwrap returns the underlying error.
func (traceError *Error) Unwrap() error { return traceError.Err }

const operationParse = "parse trace"

// newParseError returns a parse error without a line number, which Parse sets.
func newParseError(kind ErrorKind, format string, arguments ...any) *Error {
	return &Error{Operation: operationParse, Kind: kind, Err: eris.Errorf(format, arguments...)}
}
