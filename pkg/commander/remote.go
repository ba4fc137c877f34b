package commander

import (
	"context"
	"errors"
	"time"

	"github.com/stoathitch/stoathitch/pkg/requester"
)

// statusTimeout bounds how long one host is waited for when many are asked.
const statusTimeout = 2 * time.Second

// remoteOptions are the options of a command that talks to a host.
type remoteOptions struct {
	commonOptions
	proofOptions
	Host string `long:"host" env:"STOATHITCH_HOST" default:"127.0.0.1:7000" value-name:"URL" description:"the callers' address of any host"`
}

// requester reaches the given host.
func (options *remoteOptions) requester() *requester.Requester {
	return options.requesterOf(options.Host)
}

// requesterOf reaches a host at an address with or without its scheme.
func (options *remoteOptions) requesterOf(address string) *requester.Requester {
	return options.reach(options.terminal, address)
}

// quickly bounds a request that a healthy host answers at once.
func (options *remoteOptions) quickly() (context.Context, context.CancelFunc) {
	return context.WithTimeout(options.terminal.context, statusTimeout)
}

// remoteFailure gives an error of a request its exit code.
func remoteFailure(err error) error {
	if err == nil {
		return nil
	}
	var exit *exitError
	if errors.As(err, &exit) {
		return exit
	}
	var failure *requester.Error
	if errors.As(err, &failure) && failure.Kind == requester.ErrorKindWrongRequest {
		return malformed("%v", err)
	}
	return failed("%v", err)
}
