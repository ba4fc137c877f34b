package assessor

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Input is an event that Tick applies.
type Input interface{ isAssessorInput() }

// ServerJoined reports that a server can be used, or that its slots have changed. A
// known server keeps its health record unless its incarnation has changed.
type ServerJoined struct {
	Server      identifier.BackendServerID
	Incarnation uint64
	Slots       identifier.Slots
	// Uptime is how long ago the server's process started.
	Uptime time.Duration
}

// ServerGone reports that the owner has removed a server. It is not sent for a server
// that is only unreachable, so that the health record survives a lost connection.
type ServerGone struct {
	Server identifier.BackendServerID
}

// Origin identifies who submitted a task. Tasks of one origin are assumed to be alike.
type Origin struct {
	Team   identifier.TeamID
	Caller identifier.CallerID
}

// TaskEnded reports the outcome of a task that ran to its end. It is not sent for
// cancelled tasks, which say nothing about the server's health.
type TaskEnded struct {
	Server  identifier.BackendServerID
	Origin  Origin
	Failed  bool
	RunTime time.Duration
}

func (*ServerJoined) isAssessorInput() {}
func (*ServerGone) isAssessorInput()   {}
func (*TaskEnded) isAssessorInput()    {}

// Output is a decision that Tick returns.
type Output interface{ isAssessorOutput() }

// AllowanceChanged sets how many tasks a server may run concurrently from now on.
type AllowanceChanged struct {
	Server   identifier.BackendServerID
	Slots    identifier.Slots
	Cause    Cause
	Blame    float64
	Slowness float64
}

func (*AllowanceChanged) isAssessorOutput() {}

//go:generate enumer -type=Cause,state -trimprefix=Cause,state -transform=kebab -text -output=enums_enumer.go

// Cause is the reason for the current allowance of a server.
type Cause int

// The causes of allowances.
const (
	// CauseHealthy means that all slots may be used.
	CauseHealthy Cause = iota
	// CauseRampUp means that the server is new or has returned from an ejection.
	CauseRampUp
	// CauseFailing means that the server fails more tasks than other servers do.
	CauseFailing
	// CauseSlow means that the server takes longer than other servers do.
	CauseSlow
	// CauseEjected means that the server gets no tasks until its ejection ends.
	CauseEjected
	// CauseProbing means that the server gets few tasks, at first one, after an ejection.
	CauseProbing
)

// state is the stage of a server in the cycle of use, ejection and probing.
type state int

const (
	stateUsed state = iota
	stateEjected
	stateProbing
)
