package allocator

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// Input is a message or event that Tick applies.
type Input interface{ isAllocatorInput() }

// LeadTaken reports that this host leads the cell from now on, under an epoch.
type LeadTaken struct{ Epoch identifier.Epoch }

// LeadLost reports that this host no longer leads the cell.
type LeadLost struct{}

// OthersFollow reports whether every other host that might lead the cell has confirmed that it
// follows this lead's epoch, or can't lead any more: none of them grants leases from now on.
type OthersFollow struct{ Following bool }

// EvacuationsChanged reports in which failure domains nothing is started from now on.
type EvacuationsChanged struct{ Evacuated messenger.EvacuatedDomains }

// RunsReported reports that every living host has reported the runs that its jobs still have.
type RunsReported struct{}

// ReportArrived carries the report of a backend server about itself.
type ReportArrived struct{ Report messenger.ServerReport }

// ReportRecalled carries the report that a backend server sent before this host started, as the
// keepers remember it.
type ReportRecalled struct{ Report messenger.ServerReport }

// CapacityRequested carries a request for capacity of a host that supervises a job.
type CapacityRequested struct {
	From    identifier.HostID
	Request messenger.CapacityRequest
	// RetryAfter is positive if this host is overloaded and the job is to be handed to another cell or
	// turned away with this time.
	RetryAfter time.Duration
}

// OverloadChanged reports whether this host is overloaded.
type OverloadChanged struct{ Overloaded bool }

// JobHandedOff reports that another cell is about to grant capacity to tasks of a job whose
// home is this cell, and which this cell doesn't know.
type JobHandedOff struct {
	Job   identifier.JobID
	Cell  messenger.CellRef
	Tasks []messenger.TaskIndex
}

// CapacityReleased reports that a host wants no more capacity for a job: its runs are stopped.
type CapacityReleased struct {
	From identifier.HostID
	Job  identifier.JobID
}

// StartReported reports a start that was not accepted.
type StartReported struct {
	From   identifier.HostID
	Report messenger.StartReport
}

// StartRepeated reports that a start got no answer and is repeated.
type StartRepeated struct {
	From   identifier.HostID
	Repeat messenger.StartRepeat
}

// HostGone reports that a host can't supervise its jobs any more.
type HostGone struct{ Host identifier.HostID }

// RemoteLeadChanged reports who leads another cell, here or in another failure domain; an empty host
// means that nobody does.
type RemoteLeadChanged struct {
	Cell messenger.CellRef
	Host identifier.HostID
}

// NoticeArrived carries the notice of another cell's free capacity.
type NoticeArrived struct{ Notice messenger.CapacityNotice }

//go:generate enumer -type=CallOutcome,EndKind -trimprefix=Call,End -transform=kebab -text -output=messages_enumer.go

// CallOutcome is the outcome of a call to a backend server.
type CallOutcome int

// The outcomes of calls.
const (
	// CallAnswered means that the backend server carried the call out.
	CallAnswered CallOutcome = iota
	// CallFenced means that the backend server has seen a newer lead.
	CallFenced
	// CallGone means that another incarnation answers at the address.
	CallGone
	// CallUnanswered means that it is unknown whether the call was carried out.
	CallUnanswered
)

// EndKind is how a run ended.
type EndKind int

// The kinds of ends.
const (
	// EndDone means that the task has done its work.
	EndDone EndKind = iota
	// EndFailed means that the run failed, by its own fault or the server's.
	EndFailed
	// EndStopped means that the run was stopped on request.
	EndStopped
	// EndLapsed means that the run's lease expired.
	EndLapsed
)

// RunEnd is the end of a run, as a backend server lists it.
type RunEnd struct {
	// Number increases within one incarnation of the server.
	Number int64
	Run    messenger.RunKey
	Kind   EndKind
}

// PollReturned carries the answer to a PollServer.
type PollReturned struct {
	Server identifier.ServerIncarnation
	// Answering is the incarnation that answered, if the answer names it.
	Answering identifier.ServerIncarnation
	// Sequence is the number of the call that is answered.
	Sequence uint64
	SentAt   identifier.Moment
	Outcome  CallOutcome
	Clock    identifier.ServerTime
	Running  []messenger.RunKey
	Ended    []RunEnd
	// Partial is set if some rows of the lists could not be read: what they don't name may run or
	// have ended all the same.
	Partial bool
}

// StopReturned carries the answer to a StopRun.
type StopReturned struct {
	Epoch   identifier.Epoch
	Server  identifier.ServerIncarnation
	Run     messenger.RunKey
	Outcome CallOutcome
}

func (*LeadTaken) isAllocatorInput()          {}
func (*LeadLost) isAllocatorInput()           {}
func (*OthersFollow) isAllocatorInput()       {}
func (*EvacuationsChanged) isAllocatorInput() {}
func (*RunsReported) isAllocatorInput()       {}
func (*ReportArrived) isAllocatorInput()      {}
func (*ReportRecalled) isAllocatorInput()     {}
func (*CapacityRequested) isAllocatorInput()  {}
func (*JobHandedOff) isAllocatorInput()       {}
func (*OverloadChanged) isAllocatorInput()    {}
func (*CapacityReleased) isAllocatorInput()   {}
func (*StartReported) isAllocatorInput()      {}
func (*StartRepeated) isAllocatorInput()      {}
func (*HostGone) isAllocatorInput()           {}
func (*RemoteLeadChanged) isAllocatorInput()  {}
func (*NoticeArrived) isAllocatorInput()      {}
func (*PollReturned) isAllocatorInput()       {}
func (*StopReturned) isAllocatorInput()       {}

// Output is a message, call or log entry that the owner of the allocator carries out.
type Output interface{ isAllocatorOutput() }

// GrantCapacity grants a host capacity for runs.
type GrantCapacity struct {
	To    identifier.HostID
	Grant messenger.Grant
}

// AnswerRequest answers a host's request for capacity where it is not granted.
type AnswerRequest struct {
	To     identifier.HostID
	Answer messenger.CapacityAnswer
}

// NotifyDone notifies a host that a task has done its work.
type NotifyDone struct {
	To   identifier.HostID
	Done messenger.TaskDone
}

// SendNotice sends another lead a notice of the free capacity here.
type SendNotice struct {
	To     identifier.HostID
	Notice messenger.CapacityNotice
}

// PollServer is a long-poll call to a backend server: it renews the lease of all that runs there,
// acknowledges ends and waits for new ones.
type PollServer struct {
	Server identifier.ServerIncarnation
	// Sequence numbers the calls to one server.
	Sequence uint64
	Address  string
	Epoch    identifier.Epoch
	// LeaseEnd is zero where the lease is not renewed.
	LeaseEnd identifier.ServerTime
	// Cursor is the number of the last acknowledged end; zero acknowledges none.
	Cursor int64
	// Wait is how long the server delays its answer until there is an end, Timeout how long the
	// caller waits for the answer.
	Wait    time.Duration
	Timeout time.Duration
}

// StopRun calls a backend server to stop a run, or to refuse its start if that arrives later.
type StopRun struct {
	Server  identifier.ServerIncarnation
	Address string
	Run     messenger.RunKey
	Epoch   identifier.Epoch
}

// LeadFenced reports that backend servers have seen a lead with a higher epoch.
type LeadFenced struct{ Epoch identifier.Epoch }

// BroadcastReport broadcasts a server's report to the other hosts of the failure domain.
type BroadcastReport struct{ Report messenger.ServerReport }

// Decided carries a decision for the log.
type Decided struct{ Decision messenger.Decision }

func (*GrantCapacity) isAllocatorOutput()   {}
func (*AnswerRequest) isAllocatorOutput()   {}
func (*NotifyDone) isAllocatorOutput()      {}
func (*SendNotice) isAllocatorOutput()      {}
func (*PollServer) isAllocatorOutput()      {}
func (*StopRun) isAllocatorOutput()         {}
func (*LeadFenced) isAllocatorOutput()      {}
func (*BroadcastReport) isAllocatorOutput() {}
func (*Decided) isAllocatorOutput()         {}
