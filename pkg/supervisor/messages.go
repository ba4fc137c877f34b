package supervisor

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// WaiterID identifies one caller's request that waits for an answer on this host.
type WaiterID uint64

// Job is a caller's job of tasks that run in parallel.
type Job struct {
	Job     identifier.JobID
	Service identifier.ServiceName
	Queue   identifier.QueueName
	Urgency int
	// Attempts is the number of runs of one task that may fail.
	Attempts int
	// A job is answered in time if its response time is at most Stretch times the longest run
	// time of its tasks, plus Allowance.
	Stretch   float64
	Allowance time.Duration
	Label     string
	// Near is the rack of the job's data; empty for any.
	Near      string
	PerServer int
	// Payload is the input of every task.
	Payload string
	Tasks   []messenger.TaskRequest
}

// Input is a message or event that Tick applies.
type Input interface{ isSupervisorInput() }

// JobArrived reports a job of a caller who waits for the answer until Deadline.
type JobArrived struct {
	Waiter   WaiterID
	Job      Job
	Deadline identifier.Moment
	// RetryAfter is positive if this host is overloaded and wants to reject the job. The lead of its
	// home is still asked, as only leads know whether an earlier submission has started.
	RetryAfter time.Duration
}

// CallerLeft reports that a caller no longer waits for its job.
type CallerLeft struct {
	Waiter WaiterID
	Job    identifier.JobID
}

// LeadChanged reports the lead of a cell; Host is empty if the cell has none.
type LeadChanged struct {
	Cell messenger.CellRef
	Host identifier.HostID
	// Epoch is the lead's epoch. A host that becomes lead again has a higher one and doesn't know
	// its earlier grants.
	Epoch identifier.Epoch
}

// PeersChanged reports how many other living hosts of the failure domain serve callers.
type PeersChanged struct{ Count int }

// GrantArrived delivers a lead's grant of capacity for runs.
type GrantArrived struct {
	From  identifier.HostID
	Grant messenger.Grant
}

// AnswerArrived delivers a lead's answer, other than a grant, to a request for capacity.
type AnswerArrived struct {
	From   identifier.HostID
	Answer messenger.CapacityAnswer
}

// TaskDoneArrived reports that a task has completed.
type TaskDoneArrived struct {
	From identifier.HostID
	Done messenger.TaskDone
}

// StartReturned delivers the result of a StartRun.
type StartReturned struct {
	Run     messenger.RunKey
	Server  identifier.ServerIncarnation
	Epoch   identifier.Epoch
	Outcome messenger.StartOutcome
}

// EvacuationsChanged reports the failure domains in which no run may be started from now on.
type EvacuationsChanged struct{ Evacuated messenger.EvacuatedDomains }

// HostResumed reports that this host was suspended, and that messages sent to it meanwhile may still
// arrive.
type HostResumed struct{}

// ShutdownStarted reports that this host is about to shut down, whether or not jobs are still
// running.
type ShutdownStarted struct{}

func (*EvacuationsChanged) isSupervisorInput() {}
func (*HostResumed) isSupervisorInput()        {}
func (*ShutdownStarted) isSupervisorInput()    {}
func (*JobArrived) isSupervisorInput()         {}
func (*CallerLeft) isSupervisorInput()         {}
func (*PeersChanged) isSupervisorInput()       {}
func (*LeadChanged) isSupervisorInput()        {}
func (*GrantArrived) isSupervisorInput()       {}
func (*AnswerArrived) isSupervisorInput()      {}
func (*TaskDoneArrived) isSupervisorInput()    {}
func (*StartReturned) isSupervisorInput()      {}

// Output is a call, message or log line for the owner of the supervisor to carry out.
type Output interface{ isSupervisorOutput() }

// RequestCapacity sends a lead a request for capacity.
type RequestCapacity struct {
	To      identifier.HostID
	Request messenger.CapacityRequest
}

// ReleaseCapacity notifies a lead that a job needs no more capacity.
type ReleaseCapacity struct {
	To      identifier.HostID
	Release messenger.CapacityRelease
}

// ReportRepeat reports to a lead that a start is repeated.
type ReportRepeat struct {
	To     identifier.HostID
	Repeat messenger.StartRepeat
}

// ReportStart reports to a lead a start that was not accepted.
type ReportStart struct {
	To     identifier.HostID
	Report messenger.StartReport
}

// StartRun calls a backend server to start a run.
type StartRun struct {
	Server identifier.ServerIncarnation
	// FailureDomain is the failure domain of the server.
	FailureDomain identifier.FailureDomain
	Service       identifier.ServiceName
	Address       string
	Run           messenger.RunKey
	Epoch         identifier.Epoch
	LeaseEnd      identifier.ServerTime
	Payload       string
	// Repeats is the number of earlier calls for the same run.
	Repeats int
}

//go:generate enumer -type=Outcome -trimprefix=Outcome -transform=kebab -text

// Outcome is the result of a job as reported to its caller.
type Outcome int

// The outcomes of a job.
const (
	// OutcomeComplete means that every task has completed.
	OutcomeComplete Outcome = iota
	// OutcomeFailed means that a lead reported the job as failed: it can't be completed.
	OutcomeFailed
	// OutcomeRefused means that no run of the job has started or ever will.
	OutcomeRefused
	// OutcomeGivenUp means that the job was ended incomplete and that some runs may have started.
	OutcomeGivenUp
)

// JobEnded delivers the answer to one waiter of a job.
type JobEnded struct {
	Waiter  WaiterID
	Job     identifier.JobID
	Outcome Outcome
	Reason  messenger.Reason
	Detail  string
	// RetryAfter is the time after which the caller should resubmit a refused job; zero for none.
	RetryAfter time.Duration
}

// Decided carries a decision for the log.
type Decided struct{ Decision messenger.Decision }

func (*RequestCapacity) isSupervisorOutput() {}
func (*ReleaseCapacity) isSupervisorOutput() {}
func (*ReportRepeat) isSupervisorOutput()    {}
func (*ReportStart) isSupervisorOutput()     {}
func (*StartRun) isSupervisorOutput()        {}
func (*JobEnded) isSupervisorOutput()        {}
func (*Decided) isSupervisorOutput()         {}
