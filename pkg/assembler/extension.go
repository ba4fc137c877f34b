package assembler

import (
	"context"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/keeper"
	"github.com/stoathitch/stoathitch/pkg/measurer"
)

// Extension serves further interfaces of a host beside the product's own ones.
type Extension interface {
	// Open binds its addresses and begins to serve.
	Open(daemon *Daemon) error
	// Deliver carries an output of the coordinator out, and tells whether it was for
	// the extension. It must not block.
	Deliver(output coordinator.Output) bool
	// Drain turns callers away and answers those who wait, until ctx is done.
	Drain(ctx context.Context)
	// Close ends what is still open.
	Close()
}

// Post hands an input to the coordinator. It returns false once ctx is done.
func (daemon *Daemon) Post(ctx context.Context, input coordinator.Input) bool {
	return daemon.runner.Post(ctx, input)
}

// Petition asks the keepers and returns their result, or nil without one.
func (daemon *Daemon) Petition(ctx context.Context, asked *coordinator.OperatorRequest) *keeper.Result {
	return daemon.operations.petition(ctx, asked)
}

// Measurer returns what counts the jobs of this host.
func (daemon *Daemon) Measurer() *measurer.Measurer { return daemon.measurer }

// Now returns the present moment on the coordinator's clock.
func (daemon *Daemon) Now() identifier.Moment { return daemon.clock.Now() }
