// Package assessor judges the health of backend servers from the outcomes of
// their tasks and says how many tasks each may run at once.
//
// It is pure: time and outcomes come in through Tick, changed allowances go out.
//
// Three thoughts carry it:
//   - A server is blamed only for failures beyond what the same callers' tasks show
//     on other servers. A bad job or a bad release fails everywhere and blames no
//     single server, so it ejects none.
//   - A server that fails or is slow gets less before it gets nothing. The limit
//     lies on tasks that run at once, because a server that fails at once is always
//     free and would draw all tasks otherwise.
//   - An ejected server proves itself by one task at a time, then two, four and so
//     on. Ejection never takes more than a share of all slots.
package assessor

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// Settings says when a server is blamed and for how long.
type Settings struct {
	// Window is over how many of a server's latest tasks failures are weighed.
	Window int
	// EjectAt is the blame, in failed tasks of the window beyond what other servers
	// show, at which a server is ejected.
	EjectAt float64
	// EjectedShare bounds the ejected slots by their share of all slots.
	EjectedShare float64
	// EjectWait is how long the first ejection lasts; each further one without a
	// full recovery between lasts twice as long, up to EjectWaitMax.
	EjectWait    time.Duration
	EjectWaitMax time.Duration
	// SlowAt and SlowEjectAt are base 2 logarithms of observed over expected run
	// time: from the first a server gets less, from the second it is ejected.
	SlowAt      float64
	SlowEjectAt float64
	// SlownessDecay weighs a new ratio of run times against those before.
	SlownessDecay float64
	// RatioLimit bounds the base 2 logarithm of one task's ratio, so that a single
	// straggler is not taken for a slow server.
	RatioLimit float64
	// RampUp is how young a server's process may be to be started on few tasks.
	RampUp time.Duration
}

// DefaultSettings returns the settings that the daemon starts from.
func DefaultSettings() Settings {
	return Settings{
		Window:       10,
		EjectAt:      4.5,
		EjectedShare: 1.0 / 3,
		EjectWait:    2 * time.Second,
		EjectWaitMax: 30 * time.Second,
		SlowAt:       1,
		SlowEjectAt:  3,
		// The last twenty run times count.
		SlownessDecay: 0.05,
		RatioLimit:    4,
		RampUp:        10 * time.Second,
	}
}

// Assessor holds what is known of the servers' health. Set Settings before the
// first Tick.
type Assessor struct {
	Settings Settings

	now     identifier.Moment
	servers *tabulator.Table[identifier.BackendServerID, server]
	origins *tabulator.Table[Origin, origin]
	timers  *tabulator.Timers[identifier.BackendServerID]
	// slots counts all slots, ejected those of ejected servers.
	slots   identifier.Slots
	ejected identifier.Slots
	// slowness sums that of all servers.
	slowness slownessTotal
	outputs  []Output
}

// Tick applies the inputs in order, judges the servers that they are about and
// returns the allowances that have changed.
func (assessor *Assessor) Tick(now identifier.Moment, inputs []Input) []Output {
	assessor.prepare(now)
	for _, input := range inputs {
		assessor.apply(input)
	}
	// Judging comes after all outcomes of the tick, so that a bad job which fails
	// on many servers at once is seen as one.
	for _, input := range inputs {
		if ended, isEnd := input.(*TaskEnded); isEnd {
			assessor.judge(assessor.servers.Get(ended.Server))
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
		assessor.join(input)
	case *ServerGone:
		assessor.leave(input.Server)
	case *TaskEnded:
		assessor.record(input)
	}
}

// expire lets ejected servers prove themselves.
func (assessor *Assessor) expire() {
	assessor.timers.EachDue(assessor.now, func(id identifier.BackendServerID) {
		if server := assessor.servers.Get(id); server != nil && server.state == stateEjected {
			assessor.probe(server)
		}
	})
}
