package supervisor

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// WaiterID names one waiting request of a caller on this host.
type WaiterID uint64

// Job is a caller's job, of tasks that run in parallel.
type Job struct {
	Job     identifier.JobID
	Service identifier.ServiceName
	Queue   identifier.QueueName
	Urgency int
	// Attempts is how many runs of one task may fail.
	Attempts int
	// Stretch times the longest run time plus Allowance is the response time that
	// counts as in time.
	Stretch   float64
	Allowance time.Duration
	Label     string
	// Near is the rack of the job's data; empty for any.
	Near      string
	PerServer int
	// Payload is what each task is given.
	Payload string
	Tasks   []messenger.RoomTask
}

// Input is a message or event that Tick applies.
type Input interface{ isSupervisorInput() }

// JobArrived brings a job of a caller, who waits until Deadline.
type JobArrived struct {
	Waiter   WaiterID
	Job      Job
	Deadline identifier.Moment
}

// CallerLeft tells that a caller no longer waits.
type CallerLeft struct {
	Waiter WaiterID
	Job    identifier.JobID
}

// LeadKnown tells who leads a cell; an empty host that nobody does.
type LeadKnown struct {
	Cell messenger.CellRef
	Host identifier.HostID
	// Epoch is the lead's; a host that takes the lead again has a higher one and knows
	// nothing of what it granted before.
	Epoch identifier.Epoch
}

// GrantArrived brings room for runs.
type GrantArrived struct {
	From  identifier.HostID
	Grant messenger.Grant
}

// AnswerArrived brings what became of a request for room.
type AnswerArrived struct {
	From   identifier.HostID
	Answer messenger.RoomAnswer
}

// DoneArrived tells that a task has done its work.
type DoneArrived struct {
	From identifier.HostID
	Done messenger.TaskDone
}

// StartReturned brings the answer to a StartRun.
type StartReturned struct {
	Run     messenger.RunKey
	Server  identifier.ServerIncarnation
	Epoch   identifier.Epoch
	Outcome messenger.StartOutcome
}

// EvacuationsKnown tells in which failure domains nothing is started from now on.
type EvacuationsKnown struct{ Evacuated messenger.Evacuated }

// HostEnds tells that this host ends in a moment, whatever still runs.
type HostEnds struct{}

func (*EvacuationsKnown) isSupervisorInput() {}
func (*HostEnds) isSupervisorInput()         {}
func (*JobArrived) isSupervisorInput()       {}
func (*CallerLeft) isSupervisorInput()       {}
func (*LeadKnown) isSupervisorInput()        {}
func (*GrantArrived) isSupervisorInput()     {}
func (*AnswerArrived) isSupervisorInput()    {}
func (*DoneArrived) isSupervisorInput()      {}
func (*StartReturned) isSupervisorInput()    {}

// Output is what the owner of the supervisor carries out.
type Output interface{ isSupervisorOutput() }

// AskRoom asks a lead for room.
type AskRoom struct {
	To      identifier.HostID
	Request messenger.RoomRequest
}

// ReleaseRoom tells a lead that a job needs no more room.
type ReleaseRoom struct {
	To      identifier.HostID
	Release messenger.RoomRelease
}

// ReportStart tells a lead of a start that was not accepted.
type ReportStart struct {
	To     identifier.HostID
	Report messenger.StartReport
}

// StartRun calls a backend server to start a run.
type StartRun struct {
	Server identifier.ServerIncarnation
	// FailureDomain is that of the server.
	FailureDomain identifier.FailureDomain
	Service       identifier.ServiceName
	Address       string
	Run           messenger.RunKey
	Epoch         identifier.Epoch
	LeaseEnd      identifier.ServerTime
	Payload       string
	// Repeats counts how often the call was made before.
	Repeats int
}

//go:generate enumer -type=Outcome -trimprefix=Outcome -transform=kebab -text

// Outcome is what a caller is told.
type Outcome int

// The outcomes.
const (
	// OutcomeComplete means that every task has done its work.
	OutcomeComplete Outcome = iota
	// OutcomeFailed means that the job can't be completed.
	OutcomeFailed
	// OutcomeRefused means that no run of the job has started or ever will.
	OutcomeRefused
	// OutcomeGivenUp means that the job's time is over; some of it may have run.
	OutcomeGivenUp
)

// JobEnded answers a caller.
type JobEnded struct {
	Waiter  WaiterID
	Job     identifier.JobID
	Outcome Outcome
	Reason  messenger.Reason
	Detail  string
	// RetryAfter is when a refused job is worth another try.
	RetryAfter time.Duration
}

// Decided reports a decision for the log.
type Decided struct{ Decision messenger.Decision }

func (*AskRoom) isSupervisorOutput()     {}
func (*ReleaseRoom) isSupervisorOutput() {}
func (*ReportStart) isSupervisorOutput() {}
func (*StartRun) isSupervisorOutput()    {}
func (*JobEnded) isSupervisorOutput()    {}
func (*Decided) isSupervisorOutput()     {}
