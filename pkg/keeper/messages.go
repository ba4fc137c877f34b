package keeper

import (
	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/replicator"
)

// Input is a message or event that Tick applies.
type Input interface{ isKeeperInput() }

// LogInput passes an input to the replicated log: what the journal has recovered or made
// durable, or a message of another keeper.
type LogInput struct{ Input replicator.Input }

// RequestReceived delivers a request of a host, which may be this one.
type RequestReceived struct{ Request Request }

// HistoryRequested requests the retained versions of the configuration.
type HistoryRequested struct{ Waiter uint64 }

func (*LogInput) isKeeperInput()         {}
func (*RequestReceived) isKeeperInput()  {}
func (*HistoryRequested) isKeeperInput() {}

// Output is an action that the owner of the keeper executes, in order.
type Output interface{ isKeeperOutput() }

// Send sends a message to another keeper.
type Send struct {
	To      identifier.HostID
	Message replicator.Message
}

// Forward forwards a request to the leader.
type Forward struct {
	To      identifier.HostID
	Request Request
}

// Answer sends a reply to the requesting host, which may be this one.
type Answer struct {
	To    identifier.HostID
	Reply Reply
}

// Persist asks the journal to write and sync.
type Persist struct{ Persist replicator.Persist }

// SaveSnapshot asks the journal to write a snapshot.
type SaveSnapshot struct{ Snapshot replicator.Snapshot }

// VersionAccepted reports a newer accepted configuration.
type VersionAccepted struct{ Version configurer.Version }

// LeaderChanged reports the leader of the keepers; Leader is empty if none is known.
type LeaderChanged struct {
	Leader identifier.HostID
	Term   identifier.Term
}

// History answers a HistoryRequested.
type History struct {
	Waiter   uint64
	Versions []configurer.Version
}

// Joined reports that a joining keeper takes part in elections from now on.
type Joined struct{}

// MembersChanged reports the members of the log that are now in effect here.
type MembersChanged struct{ Members []replicator.Member }

// MembershipDecided reports the outcome of a membership change that this host has proposed.
type MembershipDecided struct {
	Handle  replicator.Handle
	Outcome replicator.OutcomeKind
}

// Halted reports that this keeper has stopped and needs an operator to continue.
type Halted struct{ Reason string }

func (*Send) isKeeperOutput()              {}
func (*Forward) isKeeperOutput()           {}
func (*Answer) isKeeperOutput()            {}
func (*Persist) isKeeperOutput()           {}
func (*SaveSnapshot) isKeeperOutput()      {}
func (*VersionAccepted) isKeeperOutput()   {}
func (*LeaderChanged) isKeeperOutput()     {}
func (*History) isKeeperOutput()           {}
func (*Joined) isKeeperOutput()            {}
func (*MembersChanged) isKeeperOutput()    {}
func (*MembershipDecided) isKeeperOutput() {}
func (*Halted) isKeeperOutput()            {}
