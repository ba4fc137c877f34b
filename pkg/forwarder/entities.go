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
	// firstEpoch is the epoch of the first lead that the job was forwarded to.
	firstEpoch identifier.Epoch
	// copyAt is the second host that was asked to hold a copy; only used where
	// this host leads the job's cell.
	copyAt   identifier.HostID
	copyHeld bool
	// partner is the other host that knows the submission.
	partner identifier.HostID
	// resends counts the forwardings to one lead, to make them rarer.
	resends int
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
	// spilledTo is the failure domain that this host, as the lead, has handed the job
	// over to.
	spilledTo identifier.FailureDomain
}

// heldCopy is the second copy of a submission that another host leads.
type heldCopy struct {
	record messenger.CopyRecord
	heldAt identifier.Moment
	answer *messenger.JobAnswer
	// partner is the other host that knows the submission.
	partner identifier.HostID
	// askedUnder is the epoch of the lead that asked for the copy first.
	askedUnder identifier.Epoch
	// deadline is the job's; a copy without an answer stays at least until then.
	deadline identifier.Moment
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
	// timerReplicas stands for all records that are to be copied.
	timerReplicas
	timerQuestion
)

type timerKey struct {
	kind       timerKind
	submission identifier.SubmissionID
	question   messenger.QuestionNumber
}
