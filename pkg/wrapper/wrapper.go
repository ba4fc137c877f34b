// Package wrapper gives the packages their error types: a cause, wrapped with what was
// being done and the kind of what went wrong.
package wrapper

import "fmt"

// Error is the error type of the package whose kinds are Kinds.
type Error[Kinds fmt.Stringer] struct {
	// Operation is what was being done.
	Operation string
	Kind      Kinds
	Err       error
}

// Error describes the operation, the kind and the cause.
func (failure *Error[Kinds]) Error() string {
	return failure.Operation + ": " + failure.Kind.String() + ": " + failure.Err.Error()
}

// Unwrap returns the cause.
func (failure *Error[Kinds]) Unwrap() error { return failure.Err }
