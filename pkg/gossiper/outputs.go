package gossiper

import "github.com/stoathitch/stoathitch/pkg/identifier"

// Output is a message to send or a change to report to the caller of Tick.
type Output interface{ output() }

// Send requests that the transport sends a message. The message may be lost.
type Send struct {
	To      identifier.HostID
	Address string
	Message Message
}

// MemberChanged reports a new status or incarnation of another host. Old is nil for a host that was
// unknown.
type MemberChanged struct {
	Old *State
	New State
}

// MemberForgotten reports that a host was removed after it had been dead or had left for
// Settings.ForgetAfter.
type MemberForgotten struct{ Host identifier.HostID }

// RecordChanged reports a newer record. Host is empty for a cluster-wide record.
type RecordChanged struct {
	Host   identifier.HostID
	Record Record
}

// Joined reports, once, that another host has answered a sync request with all that it knows.
type Joined struct{}

func (Send) output()            {}
func (Joined) output()          {}
func (MemberChanged) output()   {}
func (MemberForgotten) output() {}
func (RecordChanged) output()   {}
