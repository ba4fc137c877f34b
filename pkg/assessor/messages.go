package assessor

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Input is an event that Tick applies.
type Input interface{ isAssessorInput() }

// ServerJoined tells that a server can be used, or that its slots have changed. A
// server that is known keeps its record unless its process is another.
type ServerJoined struct {
	Server      identifier.BackendServerID
	Incarnation uint64
	Slots       identifier.Slots
	// Uptime is how long ago the server's process started.
	Uptime time.Duration
}

// ServerGone tells that a server was forgotten. A server that is only out of reach
// is kept, so that its record outlives a lost connection.
type ServerGone struct {
	Server identifier.BackendServerID
}

// Origin is where a task came from. Tasks of one origin are taken to be alike.
type Origin struct {
	Team   identifier.TeamID
	Caller identifier.CallerID
}

// TaskEnded tells the outcome of a task that ran to its end. Cancelled tasks are
// not told: they say nothing about the server.
type TaskEnded struct {
	Server  identifier.BackendServerID
	Origin  Origin
	Failed  bool
	RunTime time.Duration
}

func (*ServerJoined) isAssessorInput() {}
func (*ServerGone) isAssessorInput()   {}
func (*TaskEnded) isAssessorInput()    {}

// Output is a decision.
type Output interface{ isAssessorOutput() }

// AllowanceChanged tells how many tasks a server may run at once from now on.
type AllowanceChanged struct {
	Server  identifier.BackendServerID
	Slots   identifier.Slots
	Cause   Cause
	Blame   float64
	Slowing float64
}

func (*AllowanceChanged) isAssessorOutput() {}

//go:generate enumer -type=Cause,state -trimprefix=Cause,state -transform=kebab -text -output=enums_enumer.go

// Cause tells why an allowance is what it is.
type Cause int

// The causes of allowances.
const (
	// CauseHealthy means that all slots may be used.
	CauseHealthy Cause = iota
	// CauseRampUp means that the server is new or comes back from an ejection.
	CauseRampUp
	// CauseFailing means that it fails more than others do.
	CauseFailing
	// CauseSlow means that it takes longer than others do.
	CauseSlow
	// CauseEjected means that it gets nothing for a while.
	CauseEjected
	// CauseProbing means that it gets one task to prove itself.
	CauseProbing
)

// state is where a server stands.
type state int

const (
	stateUsed state = iota
	stateEjected
	stateProbing
)
