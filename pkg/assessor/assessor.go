// Package assessor evaluates the health of backend servers from the outcomes of
// their tasks and decides how many tasks each server may run concurrently (its
// allowance).
//
// It does no I/O and reads no clock: Tick takes the time and the outcomes and
// returns the allowances that changed.
//
// The design rests on three rules:
//   - A server is blamed only for failures in excess of the failure rate that the
//     same callers' tasks have on other servers. A bad job or a bad release fails on
//     every server, so it gets no single server ejected.
//   - The allowance of a failing or slow server shrinks before the server is ejected.
//     It limits concurrent tasks rather than the rate of starts, because a server
//     that fails its tasks immediately always has free slots and would otherwise
//     attract all tasks.
//   - An ejected server is probed with one task at first, then with two, four and so
//     on as tasks succeed. The ejected servers never hold more than a fixed fraction
//     of all slots.
package assessor

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// Settings configures when servers are restricted or ejected, and for how long.
type Settings struct {
	// Window is about how many of a server's latest tasks its failures are counted over.
	Window int
	// EjectThreshold is the number of failed tasks in the window, in excess of what other
	// servers show, at which a server is ejected.
	EjectThreshold float64
	// MaxEjectedFraction is the largest fraction of all slots that may be ejected.
	MaxEjectedFraction float64
	// EjectionTime is how long the first ejection lasts. Each further ejection before a
	// full recovery lasts twice as long as the previous one, up to MaxEjectionTime.
	EjectionTime    time.Duration
	MaxEjectionTime time.Duration
	// SlowThreshold and SlowEjectThreshold are base 2 logarithms of observed over expected
	// run time. Above the first the allowance shrinks, from the second on the server
	// is ejected.
	SlowThreshold      float64
	SlowEjectThreshold float64
	// SlownessDecay is the weight of a new run time ratio in the moving average.
	SlownessDecay float64
	// RatioLimit bounds the base 2 logarithm of one task's ratio, so that a single
	// straggler does not make its server count as slow.
	RatioLimit float64
	// RampUp is the uptime below which a joining server starts with a reduced allowance.
	RampUp time.Duration
}

// DefaultSettings returns the settings that the daemon starts from.
func DefaultSettings() Settings {
	return Settings{
		Window:             10,
		EjectThreshold:     4.5,
		MaxEjectedFraction: 1.0 / 3,
		EjectionTime:       2 * time.Second,
		MaxEjectionTime:    30 * time.Second,
		SlowThreshold:      1,
		SlowEjectThreshold: 3,
		// An average over about the last twenty run times.
		SlownessDecay: 0.05,
		RatioLimit:    4,
		RampUp:        10 * time.Second,
	}
}

// Assessor tracks the health of servers. Set Settings before the first Tick.
type Assessor struct {
	Settings Settings

	now     identifier.Moment
	servers *tabulator.Table[identifier.BackendServerID, server]
	origins *tabulator.Table[Origin, origin]
	timers  *tabulator.Timers[identifier.BackendServerID]
	// slots counts the slots of all servers, ejected those of the ejected servers.
	slots   identifier.Slots
	ejected identifier.Slots
	// slowness sums the slowness of all servers.
	slowness slownessTotal
	outputs  []Output
}

// Tick applies the inputs in order, re-evaluates the servers whose tasks ended and
// returns the allowances that have changed.
func (assessor *Assessor) Tick(now identifier.Moment, inputs []Input) []Output {
	assessor.prepare(now)
	for _, input := range inputs {
		assessor.apply(input)
	}
	// Servers are evaluated after all outcomes of the tick are recorded, so that a bad
	// job that fails on many servers at once is not blamed on the first of them.
	for _, input := range inputs {
		if ended, isEnd := input.(*TaskEnded); isEnd {
			assessor.evaluate(assessor.servers.Get(ended.Server))
		}
	}
	assessor.expire()
	outputs := assessor.outputs
	assessor.outputs = nil
	return outputs
}

// NextDeadline returns when Tick must run even without inputs.
func (assessor *Assessor) NextDeadline() identifier.Moment {
	if assessor.timers == nil {
		return identifier.Never
	}
	return assessor.timers.Next()
}

func (assessor *Assessor) prepare(now identifier.Moment) {
	assessor.now = now
	if assessor.servers != nil {
		return
	}
	assessor.servers = tabulator.New[identifier.BackendServerID, server]()
	assessor.origins = tabulator.New[Origin, origin]()
	assessor.timers = tabulator.NewTimers[identifier.BackendServerID]()
}

func (assessor *Assessor) apply(input Input) {
	switch input := input.(type) {
	case *ServerJoined:
		assessor.addServer(input)
	case *ServerGone:
		assessor.removeServer(input.Server)
	case *TaskEnded:
		assessor.recordOutcome(input)
	}
}

// expire starts to probe the servers whose ejection has ended.
func (assessor *Assessor) expire() {
	assessor.timers.EachDue(assessor.now, func(id identifier.BackendServerID) {
		if server := assessor.servers.Get(id); server != nil && server.state == stateEjected {
			assessor.startProbing(server)
		}
	})
}
