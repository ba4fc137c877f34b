package requester

import (
	"fmt"

	"github.com/stoathitch/stoathitch/pkg/loader"
)

//go:generate enumer -type=ErrorKind -trimprefix=ErrorKind -transform=kebab -text

// ErrorKind tells why a request has no answer.
type ErrorKind int

const (
	// ErrorKindUnreachable means that the host gave no response. Nobody knows
	// whether it took the request: send it again with the same id.
	ErrorKindUnreachable ErrorKind = iota + 1
	// ErrorKindWrongRequest means that the host found the request wrong; nothing of
	// it was carried out.
	ErrorKindWrongRequest
	// ErrorKindUnavailable means that the host could not serve the request now.
	ErrorKindUnavailable
	// ErrorKindWrongResponse means that the response is not one of this API.
	ErrorKindWrongResponse
)

// Error is the error of this package.
type Error struct {
	// Operation is the method and path of the request.
	Operation string
	// Kind tells why it failed.
	Kind ErrorKind
	// Problems lists what is wrong in a configuration document.
	Problems []loader.Problem
	// Err is the cause.
	Err error
}

// Error describes the operation, the kind and the cause.
func (failure *Error) Error() string {
	message := fmt.Sprintf("%s: %s: %v", failure.Operation, failure.Kind, failure.Err)
	for _, problem := range failure.Problems {
		message += "\n" + problem.String()
	}
	return message
}

// Unwrap returns the cause.
func (failure *Error) Unwrap() error { return failure.Err }
