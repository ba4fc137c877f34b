// Package runner drives a deciding package on the real clock: it collects inputs, ticks as
// soon as there is an input or a deadline is due, and delivers the outputs. Ticks have no
// fixed period, so they add no delay.
package runner

import (
	"context"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// maxBatch bounds the inputs of one tick, so that a flood of them doesn't delay the outputs
// of what has already been decided.
const maxBatch = 4096

// inboxSize bounds the inputs that wait for the next tick. When the inbox is full, Post blocks,
// which puts back-pressure on the connections that feed it.
const inboxSize = 16384

// Decider is a deciding package: it turns a moment and inputs into outputs. NextDeadline is
// the moment of the next tick without input, or identifier.Never.
type Decider[Input, Output any] interface {
	Tick(now identifier.Moment, inputs []Input) []Output
	NextDeadline() identifier.Moment
}

// Runner ticks one decider. Set the exported fields before Run.
type Runner[Input, Output any] struct {
	Decider Decider[Input, Output]
	// Deliver sends the outputs of one tick on. It must not block for long.
	Deliver func(outputs []Output)
	Clock   *Clock

	inbox chan Input
}

// Prepare creates the inbox. Call it before the first Post and before Run.
func (runner *Runner[Input, Output]) Prepare() { runner.inbox = make(chan Input, inboxSize) }

// Post queues an input for the next tick and blocks while the inbox is full. It returns false
// once ctx is done.
func (runner *Runner[Input, Output]) Post(ctx context.Context, input Input) bool {
	select {
	case runner.inbox <- input:
		return true
	case <-ctx.Done():
		return false
	}
}

// Run ticks until ctx is done.
func (runner *Runner[Input, Output]) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	inputs := make([]Input, 0, maxBatch)
	for {
		runner.resetTimer(timer)
		inputs = inputs[:0]
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case input := <-runner.inbox:
			inputs = append(inputs, input)
		}
		inputs = runner.drainInbox(inputs)
		outputs := runner.Decider.Tick(runner.Clock.Now(), inputs)
		if len(outputs) > 0 {
			runner.Deliver(outputs)
		}
		clear(inputs)
	}
}

// resetTimer sets the timer to the next deadline, or stops it if there is none.
func (runner *Runner[Input, Output]) resetTimer(timer *time.Timer) {
	next := runner.Decider.NextDeadline()
	if next == identifier.Never {
		timer.Stop()
		return
	}
	timer.Reset(max(next.Sub(runner.Clock.Now()), 0))
}

// drainInbox appends inputs that have already arrived, up to maxBatch, without waiting.
func (runner *Runner[Input, Output]) drainInbox(inputs []Input) []Input {
	for len(inputs) < maxBatch {
		select {
		case input := <-runner.inbox:
			inputs = append(inputs, input)
		default:
			return inputs
		}
	}
	return inputs
}
