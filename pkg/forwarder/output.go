package forwarder

import (
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// Output is a message that the owner of the forwarder sends.
type Output interface{ isForwarderOutput() }

// AnswerCaller is the one answer to a caller's request.
type AnswerCaller struct {
	Waiter WaiterID
	Answer *messenger.JobAnswer
}

// ForwardJob sends a job to the lead of its cell, which may be this host.
type ForwardJob struct {
	To       identifier.HostID
	Forward  messenger.Forward
	Deadline identifier.Moment
}

// StoreCopies requests that another host hold the second copy of submissions.
type StoreCopies struct {
	To      identifier.HostID
	Records []messenger.CopyRecord
}

// ConfirmCopies confirms to a lead that this host holds the copies.
type ConfirmCopies struct {
	To          identifier.HostID
	Submissions []identifier.SubmissionID
}

// ConfirmAnswer confirms to a lead that a second host holds the answer.
type ConfirmAnswer struct {
	To         identifier.HostID
	Submission identifier.SubmissionID
}

// StoreAnswerCopy requests that another host hold the second copy of an answer.
type StoreAnswerCopy struct {
	To   identifier.HostID
	Copy messenger.AnswerCopy
}

// ConfirmAnswerCopy confirms to the sender of a StoreAnswerCopy that the copy is held.
type ConfirmAnswerCopy struct {
	To         identifier.HostID
	Submission identifier.SubmissionID
}

// SendAnswer sends a kept answer to a host that requested it, or that has a different one.
type SendAnswer struct {
	To     identifier.HostID
	Answer *messenger.JobAnswer
}

// ForwardCancel sends a cancellation to a lead, which may be this host.
type ForwardCancel struct {
	To     identifier.HostID
	Cancel messenger.Cancel
}

// ForwardLookup queries a lead, which may be this host, for a submission.
type ForwardLookup struct {
	To     identifier.HostID
	Lookup messenger.Lookup
}

// PassJob passes a relayed job to the dispatcher of this host.
type PassJob struct {
	From identifier.HostID
	// Partner is the neighbour that holds a copy of the job.
	Partner  identifier.HostID
	Forward  messenger.Forward
	Deadline identifier.Moment
}

func (*PassJob) isForwarderOutput() {}

// ReplyLookup replies to another host's lookup with a kept answer, or without one.
type ReplyLookup struct {
	To    identifier.HostID
	Reply messenger.LookupReply
}

// HolderAnswered answers a ClaimHolderQueried.
type HolderAnswered struct {
	Claimant identifier.SubmissionID
	Answer   *messenger.JobAnswer
}

func (*ReplyLookup) isForwarderOutput()    {}
func (*HolderAnswered) isForwarderOutput() {}

// SendReplicas sends records for another host to hold.
type SendReplicas struct {
	To       identifier.HostID
	Replicas []messenger.Replica
}

// ConfirmReplicas confirms that this host holds replicas.
type ConfirmReplicas struct {
	To      identifier.HostID
	Receipt messenger.ReplicaReceipt
}

func (*SendReplicas) isForwarderOutput()    {}
func (*ConfirmReplicas) isForwarderOutput() {}

// SendLeadNotice notifies a host that another one leads its cell.
type SendLeadNotice struct {
	To     identifier.HostID
	Notice messenger.LeadNotice
}

func (*SendLeadNotice) isForwarderOutput() {}

// ReplyTakeover lists the submissions of its cell that this host knows for a new lead.
type ReplyTakeover struct {
	To    identifier.HostID
	Reply messenger.TakeoverReply
}

func (*AnswerCaller) isForwarderOutput()      {}
func (*ForwardJob) isForwarderOutput()        {}
func (*StoreCopies) isForwarderOutput()       {}
func (*ConfirmCopies) isForwarderOutput()     {}
func (*ConfirmAnswer) isForwarderOutput()     {}
func (*StoreAnswerCopy) isForwarderOutput()   {}
func (*ConfirmAnswerCopy) isForwarderOutput() {}
func (*SendAnswer) isForwarderOutput()        {}
func (*ForwardCancel) isForwarderOutput()     {}
func (*ForwardLookup) isForwarderOutput()     {}
func (*ReplyTakeover) isForwarderOutput()     {}
