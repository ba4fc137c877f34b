package forwarder

import (
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// front is a submission of a caller that is connected to this host.
type front struct {
	job      *messenger.Job
	deadline identifier.Moment
	waiters  []WaiterID
	// arrivedAt is when the first sending arrived at this host.
	arrivedAt identifier.Moment
	// forwardedTo is the lead that has the job; empty before it is forwarded.
	forwardedTo identifier.HostID
	// forwardedBefore tells that some lead has had the job.
	forwardedBefore bool
	// copyAt is the second host that was asked to hold a copy; only used where
	// this host leads the job's cell.
	copyAt   identifier.HostID
	copyHeld bool
	// cancelled tells that the caller has cancelled; every lead must learn of it.
	cancelled bool
	answer    *messenger.JobAnswer
	// answerHeldBack tells that the callers hear the answer once another host holds
	// it, or after a short wait.
	answerHeldBack bool
	// spreadTo is the neighbour that was last asked to hold the answer, heldBackAt
	// when the answer began to wait for one.
	spreadTo   identifier.HostID
	heldBackAt identifier.Moment
	// answerAlone tells that the answer waits for a second host to hold it.
	answerAlone bool
}

// heldCopy is the second copy of a submission that another host leads.
type heldCopy struct {
	// partner is the other host that knows the submission, where this host is the
	// one to replace it.
	partner identifier.HostID
	record  messenger.CopyRecord
	heldAt  identifier.Moment
	answer  *messenger.JobAnswer
}

// cellKey names a cell among all failure domains.
type cellKey struct {
	failureDomain identifier.FailureDomain
	cell          messenger.CellNumber
}

// lead is who leads a cell, as far as this host knows.
type lead struct {
	host  identifier.HostID
	epoch identifier.Epoch
	// promised is the highest epoch whose takeover this host has answered.
	promised identifier.Epoch
	// unreachable tells that no message reaches the lead now.
	unreachable bool
}

type timerKind int

const (
	timerHomeWait timerKind = iota
	timerCopyWait
	timerForgetFront
	timerForgetCopy
	timerLoneAnswer
	timerAskAgain
	timerRelay
	timerForgetRelay
)

type timerKey struct {
	kind       timerKind
	submission identifier.SubmissionID
}
