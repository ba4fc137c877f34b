package messenger

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/budgeter"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// TaskIndex numbers the tasks of one job, starting at 0.
type TaskIndex int

// RunKey identifies one run of one task.
type RunKey struct {
	Job  identifier.JobID     `cbor:"1,keyasint"`
	Task TaskIndex            `cbor:"2,keyasint,omitempty"`
	Run  identifier.RunNumber `cbor:"3,keyasint"`
}

// CapacityRequest asks a lead for capacity on called backend servers for the tasks of one job. It
// has no payload, since the requesting host starts the runs itself.
type CapacityRequest struct {
	Job identifier.JobID `cbor:"1,keyasint"`
	// Cell is the cell of the lead's failure domain in which capacity is requested.
	Cell    CellNumber             `cbor:"16,keyasint,omitempty"`
	Service identifier.ServiceName `cbor:"2,keyasint"`
	// Queue groups similar jobs for estimates.
	Queue identifier.QueueName `cbor:"3,keyasint"`
	// Urgency is the queue's priority; 0 is the highest.
	Urgency int           `cbor:"4,keyasint,omitempty"`
	Tasks   []TaskRequest `cbor:"5,keyasint"`
	// Attempts is how many runs of one task may fail.
	Attempts int `cbor:"6,keyasint"`
	// RequiredLabel is a label that the backend server must have; empty for none.
	RequiredLabel string `cbor:"7,keyasint,omitempty"`
	// PreferredLabel is a preferred label of the backend server: the rack of the job's data. Tasks
	// take longer on servers without it.
	PreferredLabel string `cbor:"17,keyasint,omitempty"`
	// MaxTasksPerServer is the maximum number of the job's tasks on one backend server; 0 is no
	// limit.
	MaxTasksPerServer int `cbor:"8,keyasint,omitempty"`
	// Elapsed is the time since the caller sent the job.
	Elapsed time.Duration `cbor:"9,keyasint,omitempty"`
	// Stretch times the longest run time, plus Allowance, is the response time up to which the
	// caller regards the answer as in time.
	Stretch   float64       `cbor:"10,keyasint"`
	Allowance time.Duration `cbor:"11,keyasint,omitempty"`
	// Remaining is the time until the caller stops waiting.
	Remaining time.Duration `cbor:"12,keyasint"`
	// HandedOff means that another lead handed the job off to this one, which doesn't hand it
	// off again.
	HandedOff bool `cbor:"13,keyasint,omitempty"`
	// Number numbers the requests of a host for one job. Grants and answers repeat it, so that a
	// late one for an earlier request to the same lead isn't applied to this request.
	Number RequestNumber `cbor:"19,keyasint,omitempty"`
	// Unreferred means that no lead that knows the job has referred it to this cell, so an
	// earlier submission of it may have runs elsewhere.
	Unreferred bool `cbor:"20,keyasint,omitempty"`
	// Partial means that other tasks of the job are requested from other leads: the tasks of this
	// request are accepted however long they must wait, since the job's answer waits for them.
	Partial bool `cbor:"18,keyasint,omitempty"`
	// HighestRun is a run number; every new run must have a higher one.
	HighestRun identifier.RunNumber `cbor:"14,keyasint,omitempty"`
	// ActiveRuns are the runs that an earlier lead granted and that have not ended.
	ActiveRuns []ActiveRun `cbor:"15,keyasint,omitempty"`
	// RetryAfter is positive if the requesting host is overloaded: the lead turns the job away with
	// this time, unless an earlier submission of the job may have started.
	RetryAfter time.Duration `cbor:"21,keyasint,omitempty"`
}

// TaskRequest is one task that needs capacity.
type TaskRequest struct {
	Task     TaskIndex            `cbor:"1,keyasint,omitempty"`
	Needs    identifier.Resources `cbor:"2,keyasint"`
	Declared time.Duration        `cbor:"3,keyasint,omitempty"`
	// Account is what leads have reported about earlier runs of the task.
	Account budgeter.Account `cbor:"4,keyasint,omitzero"`
}

// ActiveRun is a run that an earlier lead granted.
type ActiveRun struct {
	TaskRequest TaskRequest                  `cbor:"1,keyasint"`
	Run         identifier.RunNumber         `cbor:"2,keyasint"`
	Server      identifier.ServerIncarnation `cbor:"3,keyasint"`
	Address     string                       `cbor:"4,keyasint"`
}

// Grant assigns capacity to tasks of a job; the requesting host starts them.
type Grant struct {
	Job           identifier.JobID `cbor:"1,keyasint"`
	Epoch         identifier.Epoch `cbor:"2,keyasint"`
	Runs          []GrantedRun     `cbor:"3,keyasint"`
	Cell          CellNumber       `cbor:"4,keyasint,omitempty"`
	RequestNumber RequestNumber    `cbor:"5,keyasint,omitempty"`
}

// RequestNumber numbers the requests of a host for capacity for one job, starting at 1.
type RequestNumber uint32

// GrantedRun is the capacity that is granted to one run.
type GrantedRun struct {
	Task    TaskIndex                    `cbor:"1,keyasint,omitempty"`
	Run     identifier.RunNumber         `cbor:"2,keyasint"`
	Server  identifier.ServerIncarnation `cbor:"3,keyasint"`
	Address string                       `cbor:"4,keyasint"`
	// LeaseEnd is on the backend server's clock. The server refuses a start that arrives later.
	LeaseEnd identifier.ServerTime `cbor:"5,keyasint"`
	// Account is what is known of earlier runs of the task; the host sends it in its next request.
	Account budgeter.Account `cbor:"6,keyasint,omitzero"`
	// Fence is the epoch to use in the start, at or above the lead's; zero means the lead's.
	Fence identifier.Epoch `cbor:"7,keyasint,omitempty"`
	// EarlierSettled reports that no call for an unsettled start of an earlier run of the task can begin
	// that run any more.
	EarlierSettled bool `cbor:"8,keyasint,omitempty"`
}

// CapacityAnswer is the answer to a request for capacity that isn't granted at once.
type CapacityAnswer struct {
	Job  identifier.JobID   `cbor:"1,keyasint"`
	Kind CapacityAnswerKind `cbor:"2,keyasint"`
	// Reason is why a job is rejected or has failed.
	Reason Reason `cbor:"3,keyasint,omitempty"`
	Detail string `cbor:"4,keyasint,omitempty"`
	// RetryAfter is the time after which a rejected job may succeed.
	RetryAfter time.Duration `cbor:"5,keyasint,omitempty"`
	// Cell is the cell of the answering lead.
	Cell CellNumber `cbor:"7,keyasint,omitempty"`
	// OtherCell is the cell to send the request to instead of this one.
	OtherCell     CellRef       `cbor:"6,keyasint,omitzero"`
	RequestNumber RequestNumber `cbor:"9,keyasint,omitempty"`
	// Tasks are the tasks to request from OtherCell; the rest stays here. None means all.
	Tasks []TaskIndex `cbor:"8,keyasint,omitempty"`
	// Accounts are the accounts of those Tasks that were started before.
	Accounts []TaskAccount `cbor:"10,keyasint,omitempty"`
	// GrantedBefore means that runs of an earlier submission of the job were granted.
	GrantedBefore bool `cbor:"12,keyasint,omitempty"`
	// Unreferred means that the answering lead may not know all runs of the job yet.
	Unreferred bool `cbor:"11,keyasint,omitempty"`
}

// TaskAccount is what is known of earlier runs of one task.
type TaskAccount struct {
	Task    TaskIndex        `cbor:"1,keyasint,omitempty"`
	Account budgeter.Account `cbor:"2,keyasint"`
}

// CellRef identifies a cell across all failure domains.
type CellRef struct {
	FailureDomain identifier.FailureDomain `cbor:"1,keyasint,omitempty"`
	Cell          CellNumber               `cbor:"2,keyasint,omitempty"`
}

// JobInquiry asks a host of a job's home whether it knows the job, on behalf of a cell whose
// lead may grant it capacity.
type JobInquiry struct {
	Job identifier.JobID `cbor:"1,keyasint"`
	// Cell is the cell of the inquiring lead.
	Cell CellNumber `cbor:"2,keyasint,omitempty"`
	// Host is the host that requests the capacity.
	Host identifier.HostID `cbor:"3,keyasint"`
}

// JobInquiryReply is the reply to a JobInquiry.
type JobInquiryReply struct {
	Job  identifier.JobID `cbor:"1,keyasint"`
	Cell CellNumber       `cbor:"2,keyasint,omitempty"`
	// Known means that a run of the job may be active in another cell than the inquiring one,
	// or may still be granted there.
	Known bool `cbor:"3,keyasint,omitempty"`
	// Host is that of the inquiry. The reply disregards the submission that this host requests
	// capacity for.
	Host identifier.HostID `cbor:"4,keyasint"`
}

// JobHandoff notifies a host of a job's home that another cell is about to grant capacity to
// tasks of the job.
type JobHandoff struct {
	Job identifier.JobID `cbor:"1,keyasint"`
	// Cell is the cell of the sending lead.
	Cell  CellNumber  `cbor:"2,keyasint,omitempty"`
	Tasks []TaskIndex `cbor:"3,keyasint,omitempty"`
}

// CapacityRelease notifies a lead that a job needs no more capacity.
type CapacityRelease struct {
	Job  identifier.JobID `cbor:"1,keyasint"`
	Cell CellNumber       `cbor:"2,keyasint,omitempty"`
}

//go:generate enumer -type=CapacityAnswerKind,StartOutcome -trimprefix=CapacityAnswer,Start -transform=kebab -text -output=capacity_enumer.go

// CapacityAnswerKind is the kind of an answer to a request for capacity.
type CapacityAnswerKind int

// The kinds of answers to a request for capacity.
const (
	// CapacityAnswerWaiting means that the job waits for capacity.
	CapacityAnswerWaiting CapacityAnswerKind = iota
	// CapacityAnswerTurnedAway means that the job is rejected and that this lead has granted no
	// run of it.
	CapacityAnswerTurnedAway
	// CapacityAnswerAskOther means that the lead of another cell has capacity.
	CapacityAnswerAskOther
	// CapacityAnswerFailed means that the job can no longer be completed.
	CapacityAnswerFailed
	// CapacityAnswerNotLed means that the host doesn't lead the cell.
	CapacityAnswerNotLed
	// CapacityAnswerEvacuated means that nothing starts in the lead's failure domain: capacity for
	// Tasks must be requested elsewhere.
	CapacityAnswerEvacuated
	// CapacityAnswerKnownElsewhere means that an earlier submission of the job may have runs
	// elsewhere: only the lead of its home may continue it.
	CapacityAnswerKnownElsewhere
)

// StartOutcome is the result of a call that starts a run.
type StartOutcome int

// The outcomes of starts.
const (
	// StartAccepted means that the backend server has the run.
	StartAccepted StartOutcome = iota
	// StartNoRoom means that the backend server has less free capacity than the lead assumed.
	StartNoRoom
	// StartStaleRun means that this run, or a later one of the task, has already ended on the
	// backend server.
	StartStaleRun
	// StartLeaseOver means that the lease ended before the start arrived.
	StartLeaseOver
	// StartFenced means that the backend server has seen a higher epoch.
	StartFenced
	// StartUnhealthy means that the backend server accepts no starts at present.
	StartUnhealthy
	// StartInvalid means that the backend server can't parse the start.
	StartInvalid
	// StartServerGone means that another incarnation answers at the server's address, or none.
	StartServerGone
	// StartUnanswered means that it is unknown whether the backend server has the run.
	StartUnanswered
	// StartWithheld means that the call wasn't made, since the failure domain is evacuated, the host
	// was suspended when the run was granted, or a start of an earlier run of the task is unsettled.
	StartWithheld
)

// StartReport notifies a lead of a start that was not accepted.
type StartReport struct {
	RunKey  RunKey       `cbor:"1,keyasint"`
	Outcome StartOutcome `cbor:"2,keyasint"`
	// Epoch is the epoch of the lead that granted the run.
	Epoch identifier.Epoch `cbor:"3,keyasint"`
	Cell  CellNumber       `cbor:"4,keyasint,omitempty"`
	// Server is the called server. Runs of two submissions of a job may have the same number.
	Server identifier.ServerIncarnation `cbor:"5,keyasint"`
	// Unsettled is the start of an earlier run because of which this one was withheld.
	Unsettled *UnsettledStart `cbor:"6,keyasint,omitempty"`
}

// UnsettledStart is a start of which a call got no answer and may still arrive. A backend server whose
// run has ended refuses the call; its next process would start the run again.
type UnsettledStart struct {
	RunKey RunKey                       `cbor:"1,keyasint"`
	Server identifier.ServerIncarnation `cbor:"2,keyasint"`
	// Epoch is the epoch of the call.
	Epoch identifier.Epoch `cbor:"3,keyasint"`
	// Age is how long ago the last call was made.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
}

// StartRepeat notifies a lead that a start got no answer and is repeated.
type StartRepeat struct {
	Start UnsettledStart `cbor:"1,keyasint"`
	Cell  CellNumber     `cbor:"2,keyasint,omitempty"`
}

// StartOrder asks another host to call a backend server in order to start a run there.
type StartOrder struct {
	RunKey  RunKey                       `cbor:"1,keyasint"`
	Server  identifier.ServerIncarnation `cbor:"2,keyasint"`
	Address string                       `cbor:"3,keyasint"`
	Epoch   identifier.Epoch             `cbor:"4,keyasint"`
	// LeaseEnd is on the backend server's clock. The server refuses a start that arrives later,
	// so a delayed order does no harm.
	LeaseEnd identifier.ServerTime  `cbor:"5,keyasint"`
	Payload  string                 `cbor:"6,keyasint"`
	Service  identifier.ServiceName `cbor:"7,keyasint"`
}

// StartResult reports how the backend server has answered the call of a StartOrder.
type StartResult struct {
	RunKey  RunKey                       `cbor:"1,keyasint"`
	Server  identifier.ServerIncarnation `cbor:"2,keyasint"`
	Epoch   identifier.Epoch             `cbor:"3,keyasint"`
	Outcome StartOutcome                 `cbor:"4,keyasint,omitempty"`
}

// TaskDone notifies a host that a run of a task has ended successfully.
type TaskDone struct {
	RunKey RunKey `cbor:"1,keyasint"`
}

// CapacityNotice reports the free capacity of a cell to other leads.
type CapacityNotice struct {
	From CellRef `cbor:"1,keyasint"`
	// FreeSlots is how many tasks of the usual size could start at once in addition to the waiting
	// ones.
	FreeSlots int `cbor:"2,keyasint,omitempty"`
	// ExpectedReleases are the expected times until capacity for one more task each becomes free,
	// the earliest first: in addition to the waiting tasks, and counted from the sending of the
	// notice.
	ExpectedReleases []Delay `cbor:"4,keyasint,omitempty"`
}

// Delay is a time from now in milliseconds; the maximum value also stands for all longer times.
type Delay uint16

// ServerReport is what a called backend server reports about itself.
type ServerReport struct {
	Server        identifier.ServerIncarnation `cbor:"1,keyasint"`
	Service       identifier.ServiceName       `cbor:"2,keyasint"`
	Address       string                       `cbor:"3,keyasint"`
	FailureDomain identifier.FailureDomain     `cbor:"4,keyasint"`
	Capacity      identifier.Resources         `cbor:"5,keyasint"`
	Labels        []string                     `cbor:"6,keyasint,omitempty"`
	Draining      bool                         `cbor:"7,keyasint,omitempty"`
	// Sequence orders the reports of one incarnation of a backend server; each incarnation
	// counts anew.
	Sequence uint64 `cbor:"8,keyasint"`
	// Clock is the server's clock when it sent the report; zero means unknown.
	Clock identifier.ServerTime `cbor:"9,keyasint,omitempty"`
	// Gone means that the incarnation has ended.
	Gone bool `cbor:"10,keyasint,omitempty"`
	// Speed is what the lead of the server's cell has learned of it; zero is not known. Backend
	// servers don't state it.
	Speed identifier.Speed `cbor:"11,keyasint,omitempty"`
}

// StoredCell is what the keepers store about a cell for hosts that start without state: the
// backend servers that its lead last reported, and the lead's epoch. It may be out of date;
// each server is called before anything is placed on it.
type StoredCell struct {
	Cell    CellRef          `cbor:"1,keyasint"`
	Epoch   identifier.Epoch `cbor:"2,keyasint"`
	Reports []ServerReport   `cbor:"3,keyasint,omitempty"`
}
