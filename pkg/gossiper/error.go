package gossiper

import "github.com/rotisserie/eris"

// ErrorKind classifies the errors of this package.
type ErrorKind uint8

const (
	// ErrorMalformedMessage reports a message that cannot be encoded or decoded as CBOR.
	ErrorMalformedMessage ErrorKind = iota
	// ErrorNoSender reports a message that does not name its sender.
	ErrorNoSender
)

// Error is the error type of this package. Err is the cause and may be nil.
type Error struct {
	Operation string
	Kind      ErrorKind
	Err       error
}

// Error returns operation, kind and cause on one line.
func (err *Error) Error() string {
	if err.Err == nil {
		return err.Operation + ": " + err.Kind.String()
	}
	return err.Operation + ": " + err.Kind.String() + ": " + err.Err.Error()
}

// Unwrap returns the cause, or nil if there is none.
func (err *Error) Unwrap() error { return err.Err }

func newError(operation string, kind ErrorKind, cause error) error {
	if cause != nil {
		cause = eris.Wrap(cause, operation)
	}
	return &Error{Operation: operation, Kind: kind, Err: cause}
}
