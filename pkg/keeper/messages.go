package keeper

import (
	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/replicator"
)

// Input is a message or event that Tick applies.
type Input interface{ isKeeperInput() }

// ToLog hands an input to the replicated log: what the journal recovered or has
// made durable, and messages of other keepers.
type ToLog struct{ Input replicator.Input }

// Requested brings a request of a host, which may be this one.
type Requested struct{ Request Request }

// HistoryWanted asks for the kept versions of the configuration.
type HistoryWanted struct{ Waiter uint64 }

func (*ToLog) isKeeperInput()         {}
func (*Requested) isKeeperInput()     {}
func (*HistoryWanted) isKeeperInput() {}

// Output is what the owner of the keeper carries out, in order.
type Output interface{ isKeeperOutput() }

// Send sends a message to another keeper.
type Send struct {
	To      identifier.HostID
	Message replicator.Message
}

// Forward passes a request on to the keeper that leads.
type Forward struct {
	To      identifier.HostID
	Request Request
}

// Answer replies to the host that asked, which may be this one.
type Answer struct {
	To    identifier.HostID
	Reply Reply
}

// Persist asks the journal to write and sync.
type Persist struct{ Persist replicator.Persist }

// SaveSnapshot asks the journal to write a snapshot.
type SaveSnapshot struct{ Snapshot replicator.Snapshot }

// VersionAccepted tells of a newer accepted configuration.
type VersionAccepted struct{ Version configurer.Version }

// LeaderChanged tells who leads the keepers; empty when nobody does.
type LeaderChanged struct {
	Leader identifier.HostID
	Term   identifier.Term
}

// History answers a HistoryWanted.
type History struct {
	Waiter   uint64
	Versions []configurer.Version
}

// Joined tells that a joining keeper counts from now on.
type Joined struct{}

// Halted tells that this keeper can't go on until an operator has seen to it.
type Halted struct{ Reason string }

func (*Send) isKeeperOutput()            {}
func (*Forward) isKeeperOutput()         {}
func (*Answer) isKeeperOutput()          {}
func (*Persist) isKeeperOutput()         {}
func (*SaveSnapshot) isKeeperOutput()    {}
func (*VersionAccepted) isKeeperOutput() {}
func (*LeaderChanged) isKeeperOutput()   {}
func (*History) isKeeperOutput()         {}
func (*Joined) isKeeperOutput()          {}
func (*Halted) isKeeperOutput()          {}
