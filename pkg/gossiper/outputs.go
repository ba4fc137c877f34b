package gossiper

import "github.com/stoathitch/stoathitch/pkg/identifier"

// Output is something to do or to know.
type Output interface{ output() }

// Send asks the transport to send a message; it may be lost.
type Send struct {
	To      identifier.HostID
	Address string
	Message Message
}

// MemberChanged tells a new state of another host. Old is nil for a host that
// was not known.
type MemberChanged struct {
	Old *State
	New State
}

// MemberForgotten tells that a host which was dead or had left for long is no
// longer kept.
type MemberForgotten struct{ Host identifier.HostID }

// RecordChanged tells a newer record. Host is empty for a cluster-wide record.
type RecordChanged struct {
	Host   identifier.HostID
	Record Record
}

// Joined tells, once, that another host has answered with all that it knows.
type Joined struct{}

func (Send) output()            {}
func (Joined) output()          {}
func (MemberChanged) output()   {}
func (MemberForgotten) output() {}
func (RecordChanged) output()   {}
