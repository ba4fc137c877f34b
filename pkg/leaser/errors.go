package leaser

import "github.com/rotisserie/eris"

//go:generate enumer -type=ErrorKind -transform=kebab -trimprefix=Kind -text

// ErrorKind is the reason why a lease was not granted, adopted, accepted or renewed.
type ErrorKind int

// The reasons for refusing a lease.
const (
	// KindHeld means that another lease on the task may still be valid.
	KindHeld ErrorKind = iota
	// KindSilent means that the worker has no heartbeat, or none recent enough for a lease.
	KindSilent
	// KindRanOut means that the lease has expired and can never be renewed.
	KindRanOut
	// KindUnknown means that no such lease exists.
	KindUnknown
	// KindStale means that the number is not above the highest one seen or has too low an
	// epoch; for an adoption, that the quiet period is over or that the lease is not from
	// a former granter.
	KindStale
	// KindQuiet means that leases of a former granter may still be valid.
	KindQuiet
)

// Error is the type of all errors that this package returns.
type Error struct {
	Operation string
	Kind      ErrorKind
	Err       error
}

// Error implements error.
func (err *Error) Error() string { return err.Operation + ": " + err.Err.Error() }

// Unwrap returns the cause.
func (err *Error) Unwrap() error { return err.Err }

// newError returns an Error whose cause is the name of its kind.
func newError(operation string, kind ErrorKind) error {
	return &Error{Operation: operation, Kind: kind, Err: eris.New(kind.String())}
}
