package runner

import (
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// fakeMachine has clocks that the test advances.
type fakeMachine struct {
	reading   reading
	suspended time.Duration
}

func (fakeMachine *fakeMachine) clock() *Clock {
	return newClock(machine{
		read:          func() reading { return fakeMachine.reading },
		suspendedTime: func() time.Duration { return fakeMachine.suspended },
	})
}

func (fakeMachine *fakeMachine) advance(duration time.Duration) {
	fakeMachine.reading.monotonic += duration
	fakeMachine.reading.wall += duration
}

func (fakeMachine *fakeMachine) suspend(duration time.Duration) {
	fakeMachine.reading.wall += duration
	fakeMachine.suspended += duration
}

// TestClockCountsSuspensions guards against a host that doesn't notice that its machine was
// suspended, and goes on as a lead although others have taken its cells: the monotonic clock stands
// meanwhile.
func TestClockCountsSuspensions(t *testing.T) {
	fakeMachine := &fakeMachine{suspended: time.Hour}
	clock := fakeMachine.clock()
	fakeMachine.advance(time.Second)
	wantNow(t, clock, time.Second)
	fakeMachine.suspend(4 * time.Second)
	wantNow(t, clock, 5*time.Second)
	fakeMachine.advance(time.Second)
	wantNow(t, clock, 6*time.Second)
	fakeMachine.suspend(3 * time.Second)
	wantNow(t, clock, 9*time.Second)
}

// TestClockIgnoresStepsOfTheWallClock guards against deadlines that pass early, or not at all, when
// the wall clock is set.
func TestClockIgnoresStepsOfTheWallClock(t *testing.T) {
	fakeMachine := &fakeMachine{}
	clock := fakeMachine.clock()
	for _, step := range []time.Duration{2 * time.Second, -3 * time.Second, time.Millisecond} {
		fakeMachine.reading.wall += step
		wantNow(t, clock, 0)
	}
	fakeMachine.suspend(4 * time.Second)
	fakeMachine.reading.wall -= 2 * time.Second
	wantNow(t, clock, 4*time.Second)
}

// TestSystemClock guards against a clock that doesn't follow the machine's clocks.
func TestSystemClock(t *testing.T) {
	clock := NewClock()
	before := clock.Now()
	time.Sleep(5 * time.Millisecond)
	passed := clock.Now().Sub(before)
	if passed < 5*time.Millisecond || passed > time.Minute {
		t.Errorf("%v have passed after a sleep of 5ms", passed)
	}
}

func BenchmarkClock(b *testing.B) {
	clock := NewClock()
	for b.Loop() {
		clock.Now()
	}
}

func wantNow(t *testing.T, clock *Clock, want time.Duration) {
	t.Helper()
	if now := clock.Now(); now != identifier.Moment(want) {
		t.Errorf("the clock reads %v, want %v", time.Duration(now), want)
	}
}
