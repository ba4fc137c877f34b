package replicator

import "fmt"

// ErrorKind classifies what went wrong.
type ErrorKind int

const (
	// ErrorInvalidSettings means that Settings contradict themselves.
	ErrorInvalidSettings ErrorKind = iota
	// ErrorMalformedMessage means that bytes from a peer or the journal do not decode.
	ErrorMalformedMessage
	// ErrorInconsistentJournal means that restored records do not fit together.
	ErrorInconsistentJournal
	// ErrorUnusableSnapshot means that the state machine refused a snapshot.
	ErrorUnusableSnapshot
)

// Error is the only error type of this package.
type Error struct {
	Operation string
	Kind      ErrorKind
	Err       error
}

// Error returns the operation, the kind and the cause in one line.
func (failure *Error) Error() string {
	return fmt.Sprintf("replicator: %s: %s: %v", failure.Operation, failure.Kind, failure.Err)
}

// Unwrap returns the cause.
func (failure *Error) Unwrap() error { return failure.Err }
