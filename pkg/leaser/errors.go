package leaser

import "github.com/rotisserie/eris"

//go:generate enumer -type=ErrorKind -transform=kebab -trimprefix=Kind -text

// ErrorKind says why a lease was not granted, accepted or renewed.
type ErrorKind int

// The kinds of errors.
const (
	// KindHeld means that the task's former lease may still be valid.
	KindHeld ErrorKind = iota
	// KindSilent means that the worker's last heartbeat is too old to lease on.
	KindSilent
	// KindRanOut means that the lease is over and can never be renewed.
	KindRanOut
	// KindUnknown means that there is no such lease.
	KindUnknown
	// KindStale means that the number is not above the highest one seen.
	KindStale
	// KindQuiet means that leases of a former granter may still be valid.
	KindQuiet
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

// failure builds an Error whose cause is the name of its kind.
func failure(operation string, kind ErrorKind) error {
	return &Error{Operation: operation, Kind: kind, Err: eris.New(kind.String())}
}
