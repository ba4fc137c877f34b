package assembler

import (
	"context"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/keeper"
	"github.com/stoathitch/stoathitch/pkg/measurer"
)

// Extension serves additional interfaces of a host beside the product's own ones.
type Extension interface {
	// Open binds the extension's addresses and starts serving.
	Open(daemon *Daemon) error
	// Deliver handles an output of the coordinator and reports whether the output was for
	// the extension. It must not block.
	Deliver(output coordinator.Output) bool
	// Drain rejects new callers and answers those that wait, until ctx is done.
	Drain(ctx context.Context)
	// Close closes the connections and listeners that are still open.
	Close()
}

// Post sends an input to the coordinator. It returns false once ctx is done.
func (daemon *Daemon) Post(ctx context.Context, input coordinator.Input) bool {
	return daemon.runner.Post(ctx, input)
}

// RequestKeepers sends a request to the keepers and returns their result, or nil if it was not applied
// or ctx is done.
func (daemon *Daemon) RequestKeepers(ctx context.Context, operatorRequest *coordinator.OperatorRequest) *keeper.Result {
	return daemon.operations.requestKeepers(ctx, operatorRequest)
}

// Measurer returns the counters of this host's jobs.
func (daemon *Daemon) Measurer() *measurer.Measurer { return daemon.measurer }

// Now returns the current moment on the coordinator's clock.
func (daemon *Daemon) Now() identifier.Moment { return daemon.clock.Now() }
