package sizer

//go:generate enumer -type=ErrorKind -trimprefix=Error -transform=kebab -text

// ErrorKind tells what kind of thing went wrong.
type ErrorKind int

// The kinds of errors of this package.
const (
	// ErrorSlopes means that a file of slopes is malformed or incomplete.
	ErrorSlopes ErrorKind = iota
)

// Error is the error type of this package.
type Error struct {
	Operation string
	Kind      ErrorKind
	Err       error
}

// Error describes the operation, the kind and the cause.
func (failure *Error) Error() string {
	return failure.Operation + ": " + failure.Kind.String() + ": " + failure.Err.Error()
}

// Unwrap returns the cause.
func (failure *Error) Unwrap() error { return failure.Err }
