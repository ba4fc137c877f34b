package requester

import (
	"fmt"

	"github.com/stoathitch/stoathitch/pkg/loader"
)

//go:generate enumer -type=ErrorKind -trimprefix=ErrorKind -transform=kebab -text

// ErrorKind classifies why a request has no answer.
type ErrorKind int

const (
	// ErrorKindUnreachable means that the host gave no response. The request may have been
	// processed or not: resend it with the same id.
	ErrorKindUnreachable ErrorKind = iota + 1
	// ErrorKindWrongRequest means that the host rejected the request as invalid; no part of
	// it was carried out.
	ErrorKindWrongRequest
	// ErrorKindUnavailable means that the host could not serve the request now.
	ErrorKindUnavailable
	// ErrorKindWrongResponse means that the response does not follow this API.
	ErrorKindWrongResponse
)

// Error is returned by all methods of Requester.
type Error struct {
	// Operation is the method and path of the request.
	Operation string
	// Kind classifies the failure.
	Kind ErrorKind
	// Problems lists the problems found in a configuration document.
	Problems []loader.Problem
	// Err is the cause.
	Err error
}

// Error returns the operation, the kind and the cause, then one line for each problem.
func (failure *Error) Error() string {
	message := fmt.Sprintf("%s: %s: %v", failure.Operation, failure.Kind, failure.Err)
	for _, problem := range failure.Problems {
		message += "\n" + problem.String()
	}
	return message
}

// Unwrap returns the cause.
func (failure *Error) Unwrap() error { return failure.Err }
