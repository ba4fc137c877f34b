package sizer

import "github.com/stoathitch/stoathitch/pkg/wrapper"

//go:generate enumer -type=ErrorKind -trimprefix=Error -transform=kebab -text

// ErrorKind tells what kind of thing went wrong.
type ErrorKind int

// The kinds of errors of this package.
const (
	// ErrorSlopes means that a file of slopes is malformed or incomplete.
	ErrorSlopes ErrorKind = iota
)

// Error is the error type of this package.
type Error = wrapper.Error[ErrorKind]
