package forwarder

import (
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// WaiterID identifies one request of a caller that waits for an answer.
type WaiterID uint64

// Input is a message or event that Tick handles.
type Input interface{ isForwarderInput() }

// CallerSubmitted is a validated job from a caller, with its home first in MayRun.
type CallerSubmitted struct {
	Waiter   WaiterID
	Job      *messenger.Job
	Deadline identifier.Moment
}

// CallerQueried requests the answer of an earlier submission.
type CallerQueried struct {
	Waiter     WaiterID
	Caller     identifier.CallerID
	Submission identifier.SubmissionID
}

// CallerCancelled requests that a submission be cancelled. Its waiter gets the submission's
// answer.
type CallerCancelled struct {
	Waiter     WaiterID
	Caller     identifier.CallerID
	Submission identifier.SubmissionID
}

// ShutdownStarted reports that this host stops in a moment, whatever its callers still wait for.
type ShutdownStarted struct{}

// AnswerArrived is the answer of a submission from its lead, or from the host that kept it.
type AnswerArrived struct {
	From   identifier.HostID
	Answer *messenger.JobAnswer
}

// AnswerRequested requests an answer that this host keeps.
type AnswerRequested struct {
	Request messenger.AnswerRequest
}

// LeadChanged reports which host leads a cell, or, without a host, that no living host does.
type LeadChanged struct {
	Notice messenger.LeadNotice
}

// HostsChanged lists the living hosts of the own failure domain, this one included, in the
// order in which copies are requested from them.
type HostsChanged struct {
	Living []identifier.HostID
}

// LeadReconnected reports that a new connection to a host is established.
type LeadReconnected struct {
	Host identifier.HostID
}

// DomainChanged reports whether any host of a failure domain lives.
type DomainChanged struct {
	FailureDomain identifier.FailureDomain
	Living        bool
}

// ClaimHolderQueried requests the answer of the submission, with a known home, that holds the claim
// of another one.
type ClaimHolderQueried struct {
	Claimant identifier.SubmissionID
	Caller   identifier.CallerID
	Holder   identifier.SubmissionID
	Home     identifier.FailureDomain
}

// LookupReplied is another host's reply to a lookup of a submission.
type LookupReplied struct {
	From  identifier.HostID
	Reply messenger.LookupReply
}

func (*DomainChanged) isForwarderInput()      {}
func (*ShutdownStarted) isForwarderInput()    {}
func (*ClaimHolderQueried) isForwarderInput() {}
func (*LookupReplied) isForwarderInput()      {}

// HostRestarted reports that another host of the failure domain runs a new process, which has
// none of the state of the old one.
type HostRestarted struct {
	Host identifier.HostID
}

// LeaveRequested reports that this host leaves and must hand over its records.
type LeaveRequested struct{}

// ReplicasArrived requests that this host hold records that another host cannot keep alone.
type ReplicasArrived struct {
	From     identifier.HostID
	Replicas []messenger.Replica
}

// ReplicasHeld reports that another host holds replicas.
type ReplicasHeld struct {
	From    identifier.HostID
	Receipt messenger.ReplicaReceipt
}

// AnswerReplicationRequested requests that another host of the failure domain hold the answer of a
// submission that this host leads. ConfirmAnswer follows.
type AnswerReplicationRequested struct {
	Submission identifier.SubmissionID
}

func (*HostRestarted) isForwarderInput()              {}
func (*LeaveRequested) isForwarderInput()             {}
func (*ReplicasArrived) isForwarderInput()            {}
func (*ReplicasHeld) isForwarderInput()               {}
func (*AnswerReplicationRequested) isForwarderInput() {}

func (*LeadReconnected) isForwarderInput() {}

// CopiesRequested requests that this host hold the second copy of submissions.
type CopiesRequested struct {
	From    identifier.HostID
	Records []messenger.CopyRecord
}

// CopiesHeld reports that a host holds the second copy of submissions.
type CopiesHeld struct {
	From        identifier.HostID
	Submissions []identifier.SubmissionID
}

// AnswerCopyArrived requests that this host hold the second copy of an answer.
type AnswerCopyArrived struct {
	From identifier.HostID
	Copy messenger.AnswerCopy
}

// AnswerCopyHeld reports that a host holds the second copy of an answer.
type AnswerCopyHeld struct {
	From       identifier.HostID
	Submission identifier.SubmissionID
}

// TakeoverQueried requests the submissions of a cell that this host knows.
type TakeoverQueried struct {
	From  identifier.HostID
	Query messenger.TakeoverQuery
}

// JobRelayed is a job that a host of another failure domain has forwarded to this host, the
// lead of its cell.
type JobRelayed struct {
	From     identifier.HostID
	Forward  *messenger.Forward
	Deadline identifier.Moment
}

func (*JobRelayed) isForwarderInput() {}

// AnswerSent is an answer that this host sent as a lead.
type AnswerSent struct {
	Answer *messenger.JobAnswer
}

func (*AnswerSent) isForwarderInput() {}

// TakeoverRecordsArrived holds another host's records of a cell that this host has acquired.
type TakeoverRecordsArrived struct {
	From identifier.HostID
	// Partner is the other host that holds the records.
	Partner identifier.HostID
	Records []messenger.CopyRecord
}

// JobSpilled reports that this host, as the lead, spills a job to another failure domain.
type JobSpilled struct {
	Submission identifier.SubmissionID
	To         identifier.FailureDomain
}

func (*JobSpilled) isForwarderInput()             {}
func (*TakeoverRecordsArrived) isForwarderInput() {}
func (*CallerSubmitted) isForwarderInput()        {}
func (*CallerQueried) isForwarderInput()          {}
func (*CallerCancelled) isForwarderInput()        {}
func (*AnswerArrived) isForwarderInput()          {}
func (*AnswerRequested) isForwarderInput()        {}
func (*LeadChanged) isForwarderInput()            {}
func (*HostsChanged) isForwarderInput()           {}
func (*CopiesRequested) isForwarderInput()        {}
func (*CopiesHeld) isForwarderInput()             {}
func (*AnswerCopyArrived) isForwarderInput()      {}
func (*AnswerCopyHeld) isForwarderInput()         {}
func (*TakeoverQueried) isForwarderInput()        {}
