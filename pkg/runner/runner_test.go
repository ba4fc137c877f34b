package runner

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// recordingDecider records the inputs of its first tick and ends the run.
type recordingDecider struct {
	inputs []time.Duration
	end    context.CancelFunc
}

func (decider *recordingDecider) NextDeadline() identifier.Moment { return identifier.Never }

func (decider *recordingDecider) Tick(_ identifier.Moment, inputs []time.Duration) []struct{} {
	decider.inputs = slices.Clone(inputs)
	decider.end()
	return nil
}

// Guards against a wait that is that of the last input of a tick, which hardly waits on a slow host.
func TestWaitOfTheOldestInput(t *testing.T) {
	fakeMachine := &fakeMachine{}
	ctx, end := context.WithCancel(t.Context())
	decider := &recordingDecider{end: end}
	running := Runner[time.Duration, struct{}]{
		Decider: decider, Clock: fakeMachine.clock(), Measure: func(wait time.Duration) time.Duration { return wait },
	}
	running.Prepare()
	running.Post(ctx, 1)
	fakeMachine.advance(60 * time.Millisecond)
	running.Post(ctx, 2)
	fakeMachine.advance(10 * time.Millisecond)
	running.Run(ctx)
	if want := []time.Duration{70 * time.Millisecond, 1, 2}; !slices.Equal(decider.inputs, want) {
		t.Errorf("the first tick has %v, want %v", decider.inputs, want)
	}
}
