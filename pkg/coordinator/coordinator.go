// Package coordinator joins the deciding packages of one host into a whole. It
// routes messages between them and batches what goes to other hosts and to
// backend servers. It is pure, so that the daemon, the trace replay and the fuzz
// tests run the very same host.
package coordinator

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/forwarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Host names one host of the system.
type Host struct {
	ID            identifier.HostID
	FailureDomain identifier.FailureDomain
}

// Settings joins the settings of the parts.
type Settings struct {
	Dispatcher dispatcher.Settings
	Forwarder  forwarder.Settings
	// LeadSettle is how long a starting host waits to hear of a living lead
	// before it takes a cell, so that it does not duel with that lead.
	LeadSettle time.Duration
}

// DefaultSettings returns the settings that the daemon starts from.
func DefaultSettings() Settings {
	return Settings{
		Dispatcher: dispatcher.DefaultSettings(),
		Forwarder:  forwarder.DefaultSettings(),
		LeadSettle: 300 * time.Millisecond,
	}
}

// Coordinator is one host of the system. Set the exported fields before the
// first Tick.
type Coordinator struct {
	Self     Host
	Settings Settings

	now        identifier.Moment
	dispatcher *dispatcher.Dispatcher
	forwarder  *forwarder.Forwarder
	leads      *leads
	// reachable are the other hosts with a connection, in order of their ids.
	reachable []identifier.HostID
	// toDispatcher and toForwarder hold what the parts have still to apply in
	// this tick.
	toDispatcher []dispatcher.Input
	toForwarder  []forwarder.Input
	outputs      outbox
	draining     bool
}

// Tick applies the inputs, lets deadlines fall due and returns what to send.
func (coordinator *Coordinator) Tick(now identifier.Moment, inputs []Input) []Output {
	coordinator.prepare(now)
	for _, input := range inputs {
		coordinator.apply(input)
	}
	coordinator.elect()
	coordinator.settle()
	coordinator.reportDrained()
	return coordinator.outputs.drain()
}

// NextDeadline returns when Tick must run even without inputs.
func (coordinator *Coordinator) NextDeadline() identifier.Moment {
	if coordinator.dispatcher == nil {
		return 0
	}
	next := coordinator.dispatcher.NextDeadline()
	next = identifier.Earlier(next, coordinator.forwarder.NextDeadline())
	return identifier.Earlier(next, coordinator.leads.nextDeadline())
}

func (coordinator *Coordinator) prepare(now identifier.Moment) {
	coordinator.now = now
	if coordinator.dispatcher != nil {
		return
	}
	coordinator.dispatcher = &dispatcher.Dispatcher{
		Self:          coordinator.Self.ID,
		FailureDomain: coordinator.Self.FailureDomain,
		Settings:      coordinator.Settings.Dispatcher,
	}
	coordinator.forwarder = &forwarder.Forwarder{
		Self:          coordinator.Self.ID,
		FailureDomain: coordinator.Self.FailureDomain,
		Settings:      coordinator.Settings.Forwarder,
	}
	coordinator.leads = newLeads(coordinator.Self, coordinator.Settings.Dispatcher.Cells)
	coordinator.leads.settleAt = now.Add(coordinator.Settings.LeadSettle)
	coordinator.hostsChanged()
}

// settle runs the parts until none has anything left to apply. A message between
// two parts of the same host thus costs no delay.
func (coordinator *Coordinator) settle() {
	for {
		forwarderInputs := coordinator.toForwarder
		coordinator.toForwarder = nil
		for _, output := range coordinator.forwarder.Tick(coordinator.now, forwarderInputs) {
			coordinator.routeForwarderOutput(output)
		}
		dispatcherInputs := coordinator.toDispatcher
		coordinator.toDispatcher = nil
		for _, output := range coordinator.dispatcher.Tick(coordinator.now, dispatcherInputs) {
			coordinator.routeDispatcherOutput(output)
		}
		if len(coordinator.toForwarder) == 0 && len(coordinator.toDispatcher) == 0 {
			return
		}
	}
}

// reportDrained tells, during a graceful shutdown, that every caller's
// submission has its answer.
func (coordinator *Coordinator) reportDrained() {
	if coordinator.draining && coordinator.forwarder.Unanswered() == 0 {
		coordinator.outputs.add(&Drained{})
	}
}

// Unanswered returns how many submissions of this host's callers have no answer.
func (coordinator *Coordinator) Unanswered() int {
	if coordinator.forwarder == nil {
		return 0
	}
	return coordinator.forwarder.Unanswered()
}
