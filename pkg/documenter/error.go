package documenter

import "fmt"

//go:generate enumer -type=ErrorKind -trimprefix=ErrorKind -transform=kebab -text -output=errorkind_enumer.go

// ErrorKind tells why the page could not be written.
type ErrorKind int

const (
	// ErrorKindUnreadable means that the code could not be read.
	ErrorKindUnreadable ErrorKind = iota + 1
	// ErrorKindUndocumented means that a key has no comment.
	ErrorKindUndocumented
)

// Error is the error of this package.
type Error struct {
	// Operation is what was being done.
	Operation string
	// Kind tells why it failed.
	Kind ErrorKind
	// Err is the cause.
	Err error
}

// Error says what failed and why.
func (failure *Error) Error() string {
	return fmt.Sprintf("%s the settings' comments: %s: %v", failure.Operation, failure.Kind, failure.Err)
}

// Unwrap returns the cause.
func (failure *Error) Unwrap() error { return failure.Err }
