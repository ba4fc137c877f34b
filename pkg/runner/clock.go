package runner

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Clock reads the time since NewClock as moments. Changes of the wall clock don't affect it. Time
// for which the machine was suspended counts, although the monotonic clock doesn't count it: other
// hosts have declared this one dead meanwhile.
type Clock struct {
	machine machine
	start   reading
	// suspendedBefore is the time for which the machine was suspended before start.
	suspendedBefore time.Duration
	// suspended is the time for which the machine was suspended since start, in nanoseconds.
	suspended atomic.Int64
	// offset is the wall clock's lead over the monotonic clock, in nanoseconds, when suspended was
	// last updated.
	offset atomic.Int64
}

// machine reads the clocks of a machine.
type machine struct {
	// read reads the monotonic clock and the wall clock.
	read func() reading
	// suspendedTime returns the total time for which the machine has been suspended.
	suspendedTime func() time.Duration
}

// reading is the state of a machine's clocks at one moment.
type reading struct{ monotonic, wall time.Duration }

// minOffsetChange is the change of the wall clock's offset that may be a suspension. Corrections of
// the wall clock that are below it cause no system call.
const minOffsetChange = 20 * time.Millisecond

// NewClock returns a clock that reads moment 0 now.
func NewClock() *Clock { return newClock(thisMachine()) }

func newClock(machine machine) *Clock {
	clock := &Clock{machine: machine, suspendedBefore: machine.suspendedTime(), start: machine.read()}
	clock.offset.Store(int64(clock.start.wall - clock.start.monotonic))
	return clock
}

// Now returns the time since NewClock.
func (clock *Clock) Now() identifier.Moment {
	now := clock.machine.read()
	offset := now.wall - now.monotonic
	if change := offset - time.Duration(clock.offset.Load()); change.Abs() >= minOffsetChange {
		clock.updateSuspended(offset)
	}
	return identifier.Moment(now.monotonic - clock.start.monotonic + time.Duration(clock.suspended.Load()))
}

// updateSuspended stores offset after suspended: a concurrent Now that reads the new offset also
// reads the new suspended.
func (clock *Clock) updateSuspended(offset time.Duration) {
	suspended := int64(clock.machine.suspendedTime() - clock.suspendedBefore)
	for known := clock.suspended.Load(); known < suspended; known = clock.suspended.Load() {
		if clock.suspended.CompareAndSwap(known, suspended) {
			break
		}
	}
	clock.offset.Store(int64(offset))
}

// thisMachine returns the clocks of the machine that the process runs on.
func thisMachine() machine {
	start := time.Now()
	return machine{
		read: func() reading {
			now := time.Now()
			return reading{monotonic: now.Sub(start), wall: time.Duration(now.UnixNano())}
		},
		suspendedTime: readSuspendedTime,
	}
}

// readSuspendedTime returns by how much CLOCK_BOOTTIME, which counts suspensions, is ahead of
// CLOCK_MONOTONIC, which doesn't. It is 0 on a kernel without one of them.
func readSuspendedTime() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
