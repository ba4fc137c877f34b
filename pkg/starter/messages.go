package starter

import (
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/supervisor"
)

// Input is an event that Tick applies.
type Input interface{ isStarterInput() }

// RunWanted asks for a start.
type RunWanted struct{ Start *supervisor.StartRun }

// OrderArrived brings another host's order of a start.
type OrderArrived struct {
	From  identifier.HostID
	Order messenger.StartOrder
}

// CallReturned brings the answer to a CallServer.
type CallReturned struct {
	For      identifier.HostID
	Returned supervisor.StartReturned
}

// ResultArrived brings the result of an order.
type ResultArrived struct {
	From   identifier.HostID
	Result messenger.StartResult
}

// HostsChanged lists the living entry hosts of a failure domain, in the order of their ids.
type HostsChanged struct {
	FailureDomain identifier.FailureDomain
	Living        []identifier.HostID
}

// PeerChanged tells whether a connection to another host stands.
type PeerChanged struct {
	Host      identifier.HostID
	Connected bool
}

// EvacuationsKnown tells in which failure domains nothing is started from now on.
type EvacuationsKnown struct{ Evacuated messenger.Evacuated }

// BoundsKnown tells how many connections a server of each service takes.
type BoundsKnown struct {
	Connections map[identifier.ServiceName]int
}

func (*RunWanted) isStarterInput()        {}
func (*OrderArrived) isStarterInput()     {}
func (*CallReturned) isStarterInput()     {}
func (*ResultArrived) isStarterInput()    {}
func (*HostsChanged) isStarterInput()     {}
func (*PeerChanged) isStarterInput()      {}
func (*EvacuationsKnown) isStarterInput() {}
func (*BoundsKnown) isStarterInput()      {}

// Output is what the owner of the starter carries out.
type Output interface{ isStarterOutput() }

// CallServer calls a backend server for a host, which may be this one.
type CallServer struct {
	Start *supervisor.StartRun
	For   identifier.HostID
	// Connections is how many connections to the server this host may have at once.
	Connections int
}

// SendOrder orders a start from another host.
type SendOrder struct {
	To    identifier.HostID
	Order messenger.StartOrder
}

// SendResult tells a host what became of its order.
type SendResult struct {
	To     identifier.HostID
	Result messenger.StartResult
}

// StartDone brings the answer to a start that was wanted here.
type StartDone struct{ Returned supervisor.StartReturned }

func (*CallServer) isStarterOutput() {}
func (*SendOrder) isStarterOutput()  {}
func (*SendResult) isStarterOutput() {}
func (*StartDone) isStarterOutput()  {}
