package initializer

import "fmt"

//go:generate enumer -type=ErrorKind -trimprefix=ErrorKind -transform=kebab -text -output=errorkind_enumer.go

// ErrorKind tells why settings could not be generated.
type ErrorKind int

const (
	// ErrorKindInvalid means that no deployment of the given shape can be.
	ErrorKindInvalid ErrorKind = iota + 1
	// ErrorKindExists means that the folder has files that are in the way.
	ErrorKindExists
	// ErrorKindUnwritable means that a file could not be written.
	ErrorKindUnwritable
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
	return fmt.Sprintf("%s settings: %s: %v", failure.Operation, failure.Kind, failure.Err)
}

// Unwrap returns the cause.
func (failure *Error) Unwrap() error { return failure.Err }
