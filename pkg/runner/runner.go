// Package runner drives a deciding package on the real clock: it gathers what
// arrives, ticks as soon as there is input or a deadline falls due, and hands the
// outputs on. A tick never waits for a fixed period, so it adds no delay.
package runner

import (
	"context"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// maxBatch bounds the inputs of one tick, so that a flood can't hold back the
// outputs of what has been decided.
const maxBatch = 4096

// inboxSize bounds what waits for the next tick. Senders block beyond it, which
// slows the connections that feed it.
const inboxSize = 16384

// Decider is a deciding package that is driven by ticks.
type Decider[Input, Output any] interface {
	Tick(now identifier.Moment, inputs []Input) []Output
	NextDeadline() identifier.Moment
}

// Runner ticks one decider. Set the exported fields before Run.
type Runner[Input, Output any] struct {
	Decider Decider[Input, Output]
	// Deliver carries the outputs of one tick out. It must not block for long.
	Deliver func(outputs []Output)
	Clock   *Clock

	inbox chan Input
}

// Prepare makes the inbox, so that Post may be called before Run.
func (runner *Runner[Input, Output]) Prepare() { runner.inbox = make(chan Input, inboxSize) }

// Post hands an input to the next tick. It returns false once ctx is done.
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
		runner.arm(timer)
		inputs = inputs[:0]
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case input := <-runner.inbox:
			inputs = append(inputs, input)
		}
		inputs = runner.gather(inputs)
		outputs := runner.Decider.Tick(runner.Clock.Now(), inputs)
		if len(outputs) > 0 {
			runner.Deliver(outputs)
		}
		clear(inputs)
	}
}

// arm sets the timer to the next deadline.
func (runner *Runner[Input, Output]) arm(timer *time.Timer) {
	next := runner.Decider.NextDeadline()
	if next == identifier.Never {
		timer.Stop()
		return
	}
	timer.Reset(max(next.Sub(runner.Clock.Now()), 0))
}

// gather takes what else has arrived, without waiting.
func (runner *Runner[Input, Output]) gather(inputs []Input) []Input {
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
