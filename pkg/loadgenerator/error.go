package loadgenerator

import (
	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/wrapper"
)

//go:generate enumer -type=ErrorKind -trimprefix=ErrorKind -transform=kebab -text

// ErrorKind tells what kind of thing went wrong.
type ErrorKind int

const (
	// ErrorKindMalformed means that a plan or a summary can't be read or is
	// impossible.
	ErrorKindMalformed ErrorKind = iota + 1
	// ErrorKindDrawing means that a plot can't be drawn or written.
	ErrorKindDrawing
)

// Error is the error of this package.
type Error = wrapper.Error[ErrorKind]

func malformed(operation, format string, arguments ...any) error {
	return &Error{Operation: operation, Kind: ErrorKindMalformed, Err: eris.Errorf(format, arguments...)}
}
