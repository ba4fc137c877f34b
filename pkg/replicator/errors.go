package replicator

import "fmt"

// ErrorKind classifies an Error.
type ErrorKind int

const (
	// ErrorInvalidSettings means that Settings are out of bounds or contradict each other.
	ErrorInvalidSettings ErrorKind = iota
	// ErrorMalformedMessage means that bytes from a peer or the journal cannot be decoded.
	ErrorMalformedMessage
	// ErrorInconsistentJournal means that restored records contradict each other or that the
	// leader contradicts a committed entry.
	ErrorInconsistentJournal
	// ErrorUnusableSnapshot means that the state machine rejected a snapshot.
	ErrorUnusableSnapshot
)

// Error is the only error type of this package; Operation names the failed step.
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
