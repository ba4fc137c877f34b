// Package starter decides which entry host calls a backend server to start a run.
//
// A backend server takes a bounded number of connections from all hosts together. If every
// host that was granted room there called it itself, their number would grow with the
// deployment; beyond the bound the server resets connections, and with them the calls of its
// lead. It would show as servers that are lost and back within milliseconds under a steady
// load, and as starts that are repeated. So each server has a set of starters among the entry
// hosts of its failure domain, in rendezvous order, that is small enough for its bound. A host
// that is none of them orders the start from one.
//
// It is pure: time and events come in through Tick, calls and messages go out.
package starter

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/supervisor"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// Settings bounds the connections of the starters.
type Settings struct {
	// HostConnections is how many connections one starter opens to one server, and
	// FewConnections how many where a failure domain has so few hosts that all may: a call
	// whose answer is lost holds its connection up while others wait for it.
	HostConnections int
	FewConnections  int
	// LeadConnections is how many of a server's connections are kept for the calls of its lead
	// and of the lead before.
	LeadConnections int
	// LingerShare is the part of a server's connections that is kept for those of processes that
	// have ended: it counts them for seconds longer. After a loss of power all hosts come back
	// while all their former connections still count.
	LingerShare float64
	// ServerConnections is how many connections a server takes whose service names no bound.
	ServerConnections int
	// OrderTime is how long the result of an order may take: as long as the call itself, and
	// the way there and back between busy hosts.
	OrderTime time.Duration
}

// DefaultSettings returns the settings that the daemon starts from.
func DefaultSettings() Settings {
	return Settings{
		HostConnections: 1, FewConnections: 4, LeadConnections: 8, LingerShare: 0.5, ServerConnections: 64, OrderTime: 220 * time.Millisecond,
	}
}

// Starter decides for one host. Set the exported fields before the first Tick.
type Starter struct {
	Self          identifier.HostID
	FailureDomain identifier.FailureDomain
	Settings      Settings

	now identifier.Moment
	// living are the entry hosts of each failure domain that live, in the order of their ids.
	living map[identifier.FailureDomain][]identifier.HostID
	// connected are the hosts to which a connection stands.
	connected map[identifier.HostID]bool
	// bounds are the connections that a server of each service takes.
	bounds map[identifier.ServiceName]int
	// sets keeps the starters of the servers until hosts or bounds change.
	sets map[identifier.BackendServerID][]identifier.HostID
	// evacuations are the failure domains where nothing is started.
	evacuations messenger.Evacuated
	orders      *tabulator.Table[orderKey, order]
	timers      *tabulator.Timers[orderKey]
	outputs     []Output
}

// orderKey names a start that was ordered.
type orderKey struct {
	run    messenger.RunKey
	server identifier.ServerIncarnation
	epoch  identifier.Epoch
}

// order is a start that another host was asked to make.
type order struct{ to identifier.HostID }

// Tick applies the inputs, lets deadlines fall due and returns what to do.
func (starter *Starter) Tick(now identifier.Moment, inputs []Input) []Output {
	starter.prepare(now)
	for _, input := range inputs {
		starter.apply(input)
	}
	starter.timers.EachDue(now, starter.endUnanswered)
	outputs := starter.outputs
	starter.outputs = nil
	return outputs
}

// NextDeadline returns when Tick must run even without inputs.
func (starter *Starter) NextDeadline() identifier.Moment {
	if starter.timers == nil {
		return identifier.Never
	}
	return starter.timers.Next()
}

func (starter *Starter) prepare(now identifier.Moment) {
	starter.now = now
	if starter.timers != nil {
		return
	}
	starter.living = make(map[identifier.FailureDomain][]identifier.HostID)
	starter.connected = make(map[identifier.HostID]bool)
	starter.bounds = make(map[identifier.ServiceName]int)
	starter.sets = make(map[identifier.BackendServerID][]identifier.HostID)
	starter.orders = tabulator.New[orderKey, order]()
	starter.timers = tabulator.NewTimers[orderKey]()
}

func (starter *Starter) apply(input Input) {
	switch input := input.(type) {
	case *RunWanted:
		starter.start(input.Start)
	case *OrderArrived:
		starter.call(starter.startOf(&input.Order), input.From)
	case *CallReturned:
		starter.returnCall(input)
	case *ResultArrived:
		starter.takeResult(input)
	case *HostsChanged:
		starter.living[input.FailureDomain] = input.Living
		clear(starter.sets)
	case *PeerChanged:
		starter.changePeer(input)
	case *EvacuationsKnown:
		starter.evacuations = input.Evacuated
	case *BoundsKnown:
		starter.bounds = input.Connections
		clear(starter.sets)
	}
}

// start calls a server, or orders the call.
func (starter *Starter) start(start *supervisor.StartRun) {
	to := starter.choose(start)
	if to == starter.Self {
		starter.call(start, starter.Self)
		return
	}
	key := orderKey{run: start.Run, server: start.Server, epoch: start.Epoch}
	starter.orders.Put(key, &order{to: to})
	starter.timers.Set(key, starter.now.Add(starter.Settings.OrderTime))
	starter.emit(&SendOrder{To: to, Order: messenger.StartOrder{
		RunKey: start.Run, Server: start.Server, Service: start.Service, Address: start.Address,
		Epoch: start.Epoch, LeaseEnd: start.LeaseEnd, Payload: start.Payload,
	}})
}

// call has this host make a call for a host, unless the server's failure domain is evacuated.
func (starter *Starter) call(start *supervisor.StartRun, caller identifier.HostID) {
	if starter.evacuations.Has(start.FailureDomain) {
		starter.returnCall(&CallReturned{For: caller, Returned: supervisor.StartReturned{
			Run: start.Run, Server: start.Server, Epoch: start.Epoch, Outcome: messenger.StartWithheld,
		}})
		return
	}
	starter.emit(&CallServer{Start: start, For: caller, Connections: starter.connectionsTo(start)})
}

// startOf returns the start that another host has ordered, of a server of this failure domain.
func (starter *Starter) startOf(order *messenger.StartOrder) *supervisor.StartRun {
	return &supervisor.StartRun{
		Server: order.Server, FailureDomain: starter.FailureDomain, Service: order.Service, Address: order.Address, Run: order.RunKey, Epoch: order.Epoch, LeaseEnd: order.LeaseEnd, Payload: order.Payload,
	}
}

// returnCall hands the answer to a call to the host that wanted it.
func (starter *Starter) returnCall(input *CallReturned) {
	if input.For == starter.Self {
		starter.emit(&StartDone{Returned: input.Returned})
		return
	}
	returned := &input.Returned
	starter.emit(&SendResult{To: input.For, Result: messenger.StartResult{
		RunKey: returned.Run, Server: returned.Server, Epoch: returned.Epoch, Outcome: returned.Outcome,
	}})
}

// takeResult takes the result of an order, once. One that comes after its time says nothing any
// more: the start counts as unanswered, and may have been made again.
func (starter *Starter) takeResult(input *ResultArrived) {
	result := &input.Result
	key := orderKey{run: result.RunKey, server: result.Server, epoch: result.Epoch}
	if known := starter.orders.Get(key); known == nil || known.to != input.From {
		return
	}
	starter.endOrder(key, result.Outcome)
}

func (starter *Starter) endOrder(key orderKey, outcome messenger.StartOutcome) {
	starter.orders.Remove(key)
	starter.timers.Clear(key)
	starter.emit(&StartDone{Returned: supervisor.StartReturned{Run: key.run, Server: key.server, Epoch: key.epoch, Outcome: outcome}})
}

// endUnanswered ends an order whose result did not come in time. The starter, or the server, may
// have carried it out: like a call without an answer it is repeated or settled by a stop.
func (starter *Starter) endUnanswered(key orderKey) {
	if starter.orders.Get(key) != nil {
		starter.endOrder(key, messenger.StartUnanswered)
	}
}

// changePeer follows a connection to another host. What was ordered on one that ended gets no
// result.
func (starter *Starter) changePeer(input *PeerChanged) {
	if input.Connected {
		starter.connected[input.Host] = true
		return
	}
	delete(starter.connected, input.Host)
	for _, key := range starter.orders.Keys() {
		if starter.orders.Get(key).to == input.Host {
			starter.endUnanswered(key)
		}
	}
}

func (starter *Starter) emit(output Output) {
	starter.outputs = append(starter.outputs, output)
}
