package starter

import (
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/supervisor"
)

// Input is an event that Tick applies.
type Input interface{ isStarterInput() }

// StartRequested requests a start on behalf of this host.
type StartRequested struct{ Start *supervisor.StartRun }

// OrderArrived delivers another host's order of a start.
type OrderArrived struct {
	From  identifier.HostID
	Order messenger.StartOrder
}

// CallReturned delivers the result of a CallServer.
type CallReturned struct {
	For      identifier.HostID
	Returned supervisor.StartReturned
}

// ResultArrived delivers the result of an order.
type ResultArrived struct {
	From   identifier.HostID
	Result messenger.StartResult
}

// HostsChanged lists the live entry hosts of a failure domain, in the order of their ids.
type HostsChanged struct {
	FailureDomain identifier.FailureDomain
	Living        []identifier.HostID
	// Processors are the processor capacities that living hosts state.
	Processors map[identifier.HostID]identifier.MilliCPU
}

// PeerConnectionChanged reports whether this host has a connection to another host.
type PeerConnectionChanged struct {
	Host      identifier.HostID
	Connected bool
}

// EvacuationsChanged reports the failure domains in which no run may be started from now on.
type EvacuationsChanged struct{ Evacuated messenger.EvacuatedDomains }

// ConnectionLimitsChanged reports how many connections a server of each service accepts.
type ConnectionLimitsChanged struct {
	Connections map[identifier.ServiceName]int
}

func (*StartRequested) isStarterInput()          {}
func (*OrderArrived) isStarterInput()            {}
func (*CallReturned) isStarterInput()            {}
func (*ResultArrived) isStarterInput()           {}
func (*HostsChanged) isStarterInput()            {}
func (*PeerConnectionChanged) isStarterInput()   {}
func (*EvacuationsChanged) isStarterInput()      {}
func (*ConnectionLimitsChanged) isStarterInput() {}

// Output is a call or message for the owner of the starter to carry out.
type Output interface{ isStarterOutput() }

// CallServer calls a backend server on behalf of a host, which may be this one.
type CallServer struct {
	Start *supervisor.StartRun
	For   identifier.HostID
	// Connections limits how many connections to the server this host may have at once.
	Connections int
}

// SendOrder orders a start from another host.
type SendOrder struct {
	To    identifier.HostID
	Order messenger.StartOrder
}

// SendResult sends a host the result of its order.
type SendResult struct {
	To     identifier.HostID
	Result messenger.StartResult
}

// StartReturned delivers the result of a start that this host requested by StartRequested.
type StartReturned struct{ Returned supervisor.StartReturned }

func (*CallServer) isStarterOutput()    {}
func (*SendOrder) isStarterOutput()     {}
func (*SendResult) isStarterOutput()    {}
func (*StartReturned) isStarterOutput() {}
