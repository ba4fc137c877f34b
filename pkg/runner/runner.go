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
	// Measure returns the first input of each tick: how long the oldest input of the tick has waited
	// in the inbox, zero in a tick without inputs. If nil, waits are not measured.
	Measure func(wait time.Duration) Input

	inbox chan posted[Input]
}

// posted is an input in the inbox and when it was posted, which is zero if waits are not measured.
type posted[Input any] struct {
	input Input
	at    identifier.Moment
}

// Prepare creates the inbox. Call it before the first Post and before Run.
func (runner *Runner[Input, Output]) Prepare() { runner.inbox = make(chan posted[Input], inboxSize) }

// Post queues an input for the next tick and blocks while the inbox is full. It returns false
// once ctx is done.
func (runner *Runner[Input, Output]) Post(ctx context.Context, input Input) bool {
	waiting := posted[Input]{input: input}
	if runner.Measure != nil {
		// Time for which a full inbox blocks counts as a wait.
		waiting.at = runner.Clock.Now()
	}
	select {
	case runner.inbox <- waiting:
		return true
	case <-ctx.Done():
		return false
	}
}

// Run ticks until ctx is done.
func (runner *Runner[Input, Output]) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	inputs := make([]Input, 0, maxBatch+1)
	for {
		runner.resetTimer(timer)
		inputs = inputs[:0]
		if runner.Measure != nil {
			var measured Input // Set before the tick.
			inputs = append(inputs, measured)
		}
		empty := len(inputs)
		var oldest identifier.Moment
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			inputs, oldest = runner.drainInbox(inputs)
		case first := <-runner.inbox:
			inputs, _ = runner.drainInbox(append(inputs, first.input))
			oldest = first.at
		}
		now := runner.Clock.Now()
		if runner.Measure != nil {
			wait := time.Duration(0)
			if len(inputs) > empty {
				wait = now.Sub(oldest)
			}
			inputs[0] = runner.Measure(wait)
		}
		outputs := runner.Decider.Tick(now, inputs)
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

// drainInbox appends inputs that have already arrived, up to maxBatch, without waiting. It also
// returns when the first of them was posted.
func (runner *Runner[Input, Output]) drainInbox(inputs []Input) ([]Input, identifier.Moment) {
	var oldest identifier.Moment
	for first := true; len(inputs) < maxBatch; first = false {
		select {
		case waiting := <-runner.inbox:
			if first {
				oldest = waiting.at
			}
			inputs = append(inputs, waiting.input)
		default:
			return inputs, oldest
		}
	}
	return inputs, oldest
}
