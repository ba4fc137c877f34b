// Package throttler decides, from the time for which the inputs of a host wait before they are
// handled, whether the host is overloaded and which part of the new work it rejects. It is pure:
// readings of the clock come in with the observations.
package throttler

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Settings holds the thresholds and rates of a throttler.
type Settings struct {
	// Threshold is the least wait, over a window, above which a host is overloaded.
	Threshold time.Duration
	// Target is the wait that an overloaded host is held at. A job passes the queue of its host three
	// times, and waits for the rest of the tick each time, so the target is well below the threshold.
	Target time.Duration
	// Window is the least length of a window. The smallest wait of a window counts, as in CoDel: a
	// burst that the host works off within a window is no overload.
	Window time.Duration
	// MinObservations is how many ticks a window must have for an overload. After a stall, one or two
	// ticks handle what has queued up.
	MinObservations int
	// StartTime is how long after the start, or the end of a suspension, nothing is rejected.
	StartTime time.Duration
	// SuspensionInterval is the least time between suspensions. Ticks of an overloaded host may take as
	// long as a suspension, each of them.
	SuspensionInterval time.Duration
	// MaxSilence is how long an overload goes on without observations.
	MaxSilence time.Duration
	// Gain is by how much the lasting part of the rejected fraction rises in a second in which the wait
	// is far above the target. It falls at the same rate.
	Gain float64
	// MaxFraction bounds the rejected fraction, so that some jobs always probe the host.
	MaxFraction float64
	// MinRetryAfter and MaxRetryAfter bound the time after which a rejected caller should retry.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
}

// DefaultSettings returns the daemon's default settings.
func DefaultSettings() Settings {
	return Settings{
		// The shortest jobs of the mixes have 96 ms to spare, and a passage of the queue takes about
		// one and a half times the longest wait.
		Threshold:          20 * time.Millisecond,
		Target:             10 * time.Millisecond,
		Window:             100 * time.Millisecond,
		MinObservations:    4,
		StartTime:          3 * time.Second,
		SuspensionInterval: 10 * time.Second,
		MaxSilence:         time.Second,
		Gain:               0.5,
		MaxFraction:        0.98,
		MinRetryAfter:      time.Second,
		MaxRetryAfter:      10 * time.Second,
	}
}

// Throttler is the load state of one host. Set the exported fields before the first Observe.
type Throttler struct {
	Settings Settings

	// quietUntil is until when nothing is rejected after a start or a suspension.
	quietUntil identifier.Moment
	// nextResume is when the next suspension counts.
	nextResume identifier.Moment
	started    bool
	// windowStart is the time of the first observation of the current window, lastAt that of the last
	// observation.
	windowStart, lastAt identifier.Moment
	observations        int
	// firstWait is the wait of the first observation of the window.
	firstWait, leastWait time.Duration
	// lasting is the part of the fraction that changes slowly, fraction the whole.
	lasting, fraction float64
	// credit accumulates the fraction of each new job; a job is rejected for each whole unit.
	credit      float64
	overloaded  bool
	beganAt     identifier.Moment
	longestWait time.Duration
}

// Observe records that the oldest input of the tick at now has waited for some time; zero for a tick
// without inputs that runs in time. The wait is that of the oldest input: the others of a tick have
// arrived during the tick before, and the last ones have hardly waited however slow the host is.
func (throttler *Throttler) Observe(now identifier.Moment, wait time.Duration) {
	if !throttler.started || now.Before(throttler.lastAt) || wait < 0 {
		throttler.reset(now)
		return
	}
	gap := now.Sub(throttler.lastAt)
	throttler.lastAt = now
	if !throttler.quietUntil.Due(now) {
		throttler.beginWindow(now)
		return
	}
	if throttler.observations == 0 {
		throttler.windowStart, throttler.firstWait = now, wait
	}
	throttler.observations++
	throttler.leastWait = min(throttler.leastWait, wait)
	complete := throttler.observations >= throttler.Settings.MinObservations || throttler.leastWait <= throttler.Settings.Threshold
	if complete && throttler.windowStart.Add(throttler.Settings.Window).Due(now) {
		throttler.assess(now, wait)
		throttler.beginWindow(now)
	}
	if throttler.overloaded {
		throttler.control(wait, gap)
	}
}

// assess decides at the end of a window whether the host is overloaded. A wait that has become shorter
// during the window is that of a backlog which the host works off, after a stall or a burst.
func (throttler *Throttler) assess(now identifier.Moment, lastWait time.Duration) {
	above := throttler.leastWait > throttler.Settings.Threshold
	if above && !throttler.overloaded && lastWait >= throttler.firstWait {
		throttler.overloaded = true
		throttler.beganAt = now
		throttler.longestWait = 0
	}
	if above {
		throttler.longestWait = max(throttler.longestWait, throttler.leastWait)
	}
	if !above && throttler.lasting == 0 {
		throttler.overloaded = false
		throttler.fraction, throttler.credit = 0, 0
	}
}

// control sets the fraction for the new jobs of this tick. Of the jobs that arrived during the wait, as
// many as arrive within the target are accepted, so the fraction follows a sudden change of the load
// within one tick. The lasting part brings the wait down to the target under a steady load.
func (throttler *Throttler) control(wait, elapsed time.Duration) {
	settings := &throttler.Settings
	beyond := excess(wait, settings.Target)
	if beyond > 0 {
		// A long tick counts as one window: its wait has already raised the other part.
		elapsed = min(elapsed, settings.Window)
	}
	throttler.lasting += settings.Gain * elapsed.Seconds() * beyond
	throttler.lasting = min(max(throttler.lasting, 0), settings.MaxFraction)
	throttler.fraction = min(throttler.lasting+max(beyond, 0), settings.MaxFraction)
}

// excess is the part of a wait beyond a limit, at least -1.
func excess(wait, limit time.Duration) float64 {
	return 1 - float64(limit)/float64(max(wait, limit/2))
}

// Resume reports that the process may have been suspended until now, after which nothing is rejected for
// StartTime. A host that is overloaded, or has resumed within SuspensionInterval, has long ticks instead.
func (throttler *Throttler) Resume(now identifier.Moment) {
	if throttler.overloaded || now.Before(throttler.nextResume) {
		return
	}
	throttler.nextResume = now.Add(throttler.Settings.SuspensionInterval)
	throttler.reset(now)
}

// reset rejects nothing for StartTime.
func (throttler *Throttler) reset(now identifier.Moment) {
	throttler.started = true
	throttler.lastAt = now
	throttler.quietUntil = now.Add(throttler.Settings.StartTime)
	throttler.lasting, throttler.fraction, throttler.credit = 0, 0, 0
	throttler.overloaded = false
	throttler.beginWindow(now)
}

// Expire ends an overload if there have been no observations for a while: the measurement has failed.
func (throttler *Throttler) Expire(now identifier.Moment) {
	if throttler.overloaded && throttler.lastAt.Add(throttler.Settings.MaxSilence).Before(now) {
		throttler.reset(now)
	}
}

func (throttler *Throttler) beginWindow(now identifier.Moment) {
	throttler.windowStart = now
	throttler.observations = 0
	throttler.leastWait = time.Duration(identifier.Never)
}

// Reject reports whether the next new job is to be rejected. The rejected jobs are spread evenly over
// all, without a random source.
func (throttler *Throttler) Reject() bool {
	throttler.credit += throttler.fraction
	if throttler.credit < 1 {
		return false
	}
	throttler.credit--
	return true
}

// Overloaded reports whether the host is overloaded.
func (throttler *Throttler) Overloaded() bool { return throttler.overloaded }

// Fraction returns the part of the new jobs that is rejected.
func (throttler *Throttler) Fraction() float64 { return throttler.fraction }

// LongestWait returns the largest least wait of a window since the last overload began.
func (throttler *Throttler) LongestWait() time.Duration { return throttler.longestWait }

// RetryAfter returns when a rejected job is worth another try. An overload is expected to go on for
// as long as it has lasted; nothing else is known about its end.
func (throttler *Throttler) RetryAfter() time.Duration {
	return min(max(throttler.lastAt.Sub(throttler.beganAt), throttler.Settings.MinRetryAfter), throttler.Settings.MaxRetryAfter)
}
