// Package starter decides which entry host calls a backend server to start a run.
//
// A backend server accepts a limited number of connections from all hosts together. If every host
// with a grant for a server called it directly, the connections would grow with the deployment.
// Beyond the limit the server resets connections, and with them the calls of its lead. The
// symptoms would be servers that are lost and back within milliseconds under a steady load, and
// repeated starts. So each server has a set of starters: entry hosts of its failure domain that
// are selected by rendezvous hashing, few enough for its limit. Any other host orders the start
// from one of them.
//
// The package has no side effects: Tick takes the time and events, and returns calls and messages.
package starter

import (
	"maps"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/supervisor"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// Settings holds the connection limits of the starters and the timeout of their orders.
type Settings struct {
	// HostConnections is how many connections one starter opens to one server.
	// SmallDomainConnections applies instead if the failure domain has so few hosts that each may
	// open more: a call whose answer is lost blocks its connection while other calls wait for it.
	HostConnections        int
	SmallDomainConnections int
	// LeadConnections is how many of a server's connections are reserved for the calls of its lead
	// and of the previous lead.
	LeadConnections int
	// LingeringShare is the fraction of a server's connections that is reserved for those of ended
	// processes, which the server counts for seconds longer. After a power loss all hosts come
	// back while all their former connections still count.
	LingeringShare float64
	// ServerConnections is how many connections a server accepts if its service sets no limit.
	ServerConnections int
	// OrderTimeout is how long the result of an order may take: the call itself and a round trip
	// between busy hosts.
	OrderTimeout time.Duration
}

// DefaultSettings returns the daemon's default settings.
func DefaultSettings() Settings {
	return Settings{
		HostConnections: 1, SmallDomainConnections: 4, LeadConnections: 8, LingeringShare: 0.5, ServerConnections: 64, OrderTimeout: 220 * time.Millisecond,
	}
}

// Starter makes and orders the start calls of one host. Set the exported fields before the first
// Tick.
type Starter struct {
	Self          identifier.HostID
	FailureDomain identifier.FailureDomain
	Settings      Settings

	now identifier.Moment
	// liveHosts holds the live entry hosts of each failure domain, in the order of their ids.
	liveHosts map[identifier.FailureDomain][]identifier.HostID
	// processors holds the processor capacities that live hosts state.
	processors map[identifier.HostID]identifier.MilliCPU
	// connected holds the hosts to which this host has a connection.
	connected map[identifier.HostID]bool
	// connectionLimits holds how many connections a server of each service accepts.
	connectionLimits map[identifier.ServiceName]int
	// starterSets caches the starters of each server until hosts or limits change.
	starterSets map[identifier.BackendServerID][]identifier.HostID
	// evacuations holds the failure domains in which no run is started.
	evacuations messenger.EvacuatedDomains
	orders      *tabulator.Table[orderKey, order]
	timers      *tabulator.Timers[orderKey]
	outputs     []Output
}

// orderKey identifies an ordered start.
type orderKey struct {
	run    messenger.RunKey
	server identifier.ServerIncarnation
	epoch  identifier.Epoch
}

// order is a start call that another host was requested to make.
type order struct{ to identifier.HostID }

// Tick applies the inputs, ends the orders that time out at now and returns the outputs for its
// owner to carry out.
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

// NextDeadline returns the time at which Tick must run even without inputs, or identifier.Never.
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
	starter.liveHosts = make(map[identifier.FailureDomain][]identifier.HostID)
	starter.processors = make(map[identifier.HostID]identifier.MilliCPU)
	starter.connected = make(map[identifier.HostID]bool)
	starter.connectionLimits = make(map[identifier.ServiceName]int)
	starter.starterSets = make(map[identifier.BackendServerID][]identifier.HostID)
	starter.orders = tabulator.New[orderKey, order]()
	starter.timers = tabulator.NewTimers[orderKey]()
}

func (starter *Starter) apply(input Input) {
	switch input := input.(type) {
	case *StartRequested:
		starter.handleStartRequest(input.Start)
	case *OrderArrived:
		starter.call(starter.startFromOrder(&input.Order), input.From)
	case *CallReturned:
		starter.returnResult(input)
	case *ResultArrived:
		starter.handleResult(input)
	case *HostsChanged:
		for _, host := range starter.liveHosts[input.FailureDomain] {
			delete(starter.processors, host)
		}
		maps.Copy(starter.processors, input.Processors)
		starter.liveHosts[input.FailureDomain] = input.Living
		clear(starter.starterSets)
	case *PeerConnectionChanged:
		starter.handlePeerConnectionChanged(input)
	case *EvacuationsChanged:
		starter.evacuations = input.Evacuated
	case *ConnectionLimitsChanged:
		starter.connectionLimits = input.Connections
		clear(starter.starterSets)
	}
}

// handleStartRequest calls a server, or orders the call from another host.
func (starter *Starter) handleStartRequest(start *supervisor.StartRun) {
	to := starter.chooseHost(start)
	if to == starter.Self {
		starter.call(start, starter.Self)
		return
	}
	key := orderKey{run: start.Run, server: start.Server, epoch: start.Epoch}
	starter.orders.Put(key, &order{to: to})
	starter.timers.Set(key, starter.now.Add(starter.Settings.OrderTimeout))
	starter.emit(&SendOrder{To: to, Order: messenger.StartOrder{
		RunKey: start.Run, Server: start.Server, Service: start.Service, Address: start.Address,
		Epoch: start.Epoch, LeaseEnd: start.LeaseEnd, Payload: start.Payload,
	}})
}

// call makes a start call on behalf of a host, unless the server's failure domain is evacuated.
func (starter *Starter) call(start *supervisor.StartRun, caller identifier.HostID) {
	if starter.evacuations.Has(start.FailureDomain) {
		starter.returnResult(&CallReturned{For: caller, Returned: supervisor.StartReturned{
			Run: start.Run, Server: start.Server, Epoch: start.Epoch, Outcome: messenger.StartWithheld,
		}})
		return
	}
	starter.emit(&CallServer{Start: start, For: caller, Connections: starter.connectionLimit(start)})
}

// startFromOrder returns the start that another host has ordered for a server in this failure
// domain.
func (starter *Starter) startFromOrder(order *messenger.StartOrder) *supervisor.StartRun {
	return &supervisor.StartRun{
		Server: order.Server, FailureDomain: starter.FailureDomain, Service: order.Service, Address: order.Address, Run: order.RunKey, Epoch: order.Epoch, LeaseEnd: order.LeaseEnd, Payload: order.Payload,
	}
}

// returnResult passes the answer to a call to the host that requested it.
func (starter *Starter) returnResult(input *CallReturned) {
	if input.For == starter.Self {
		starter.emit(&StartReturned{Returned: input.Returned})
		return
	}
	returned := &input.Returned
	starter.emit(&SendResult{To: input.For, Result: messenger.StartResult{
		RunKey: returned.Run, Server: returned.Server, Epoch: returned.Epoch, Outcome: returned.Outcome,
	}})
}

// handleResult handles the first result of an order. A result after the timeout is ignored: the
// start already counts as unanswered, and may have been repeated.
func (starter *Starter) handleResult(input *ResultArrived) {
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
	starter.emit(&StartReturned{Returned: supervisor.StartReturned{Run: key.run, Server: key.server, Epoch: key.epoch, Outcome: outcome}})
}

// endUnanswered ends an order without a result, after its timeout or a lost connection. The starter
// or the server may have executed it, so like any unanswered call it is repeated, or its run is
// stopped.
func (starter *Starter) endUnanswered(key orderKey) {
	if starter.orders.Get(key) != nil {
		starter.endOrder(key, messenger.StartUnanswered)
	}
}

// handlePeerConnectionChanged records whether there is a connection to another host. Orders that
// were sent on a connection that ended get no result.
func (starter *Starter) handlePeerConnectionChanged(input *PeerConnectionChanged) {
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
