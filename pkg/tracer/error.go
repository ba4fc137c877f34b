package tracer

import (
	"fmt"

	"github.com/rotisserie/eris"
)

//go:generate enumer -type=ErrorKind -trimprefix=Error -transform=kebab -text

// ErrorKind says what is wrong with a trace.
type ErrorKind int

// The kinds of errors.
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

// Error is the one error type of this package. Line counts from 1.
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

// Unwrap returns the cause.
func (traceError *Error) Unwrap() error { return traceError.Err }

const operationParse = "parse trace"

// problem returns a parse error whose line is not known yet; the parser fills it in.
func problem(kind ErrorKind, format string, arguments ...any) *Error {
	return &Error{Operation: operationParse, Kind: kind, Err: eris.Errorf(format, arguments...)}
}
