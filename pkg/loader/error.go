package loader

import (
	"fmt"
	"strings"
)

//go:generate enumer -type=ErrorKind -trimprefix=ErrorKind -transform=kebab -text -output=errorkind_enumer.go

// ErrorKind tells why settings could not be loaded.
type ErrorKind int

const (
	// ErrorKindUnreadable means that the file could not be read.
	ErrorKindUnreadable ErrorKind = iota + 1
	// ErrorKindInvalid means that the content has problems, which Error lists.
	ErrorKindInvalid
)

// Error is the error of this package.
type Error struct {
	// Operation is what was being done: "load" or "parse".
	Operation string
	// Kind tells why it failed.
	Kind ErrorKind
	// Problems lists everything that is wrong, in the order of the file.
	Problems []Problem
	// Err is the cause, where there is one.
	Err error
}

// Error returns one line for each problem.
func (failure *Error) Error() string {
	if failure.Err != nil {
		return fmt.Sprintf("%s settings: %s: %v", failure.Operation, failure.Kind, failure.Err)
	}
	lines := make([]string, 0, len(failure.Problems))
	for _, problem := range failure.Problems {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the cause, or nil.
func (failure *Error) Unwrap() error { return failure.Err }

// Problem is one thing that is wrong in a settings file.
type Problem struct {
	// File is the name of the file.
	File string `json:"file"`
	// Line is the line in the file, from 1.
	Line int `json:"line"`
	// Path leads to the value, such as `hosts[2].peers-address`; empty for the whole
	// file.
	Path string `json:"path"`
	// Message says what is wrong and what would be right.
	Message string `json:"message"`
}

// String returns the problem as one line.
func (problem Problem) String() string {
	if problem.Path == "" {
		return fmt.Sprintf("%s:%d: %s", problem.File, problem.Line, problem.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", problem.File, problem.Line, problem.Path, problem.Message)
}
