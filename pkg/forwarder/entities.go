package forwarder

import (
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// localSubmission is a submission of a caller that is connected to this host.
type localSubmission struct {
	job      *messenger.Job
	deadline identifier.Moment
	waiters  []WaiterID
	// arrivedAt is when the submission first arrived at this host.
	arrivedAt identifier.Moment
	// forwardedTo is the lead that has the job; empty before it is forwarded.
	forwardedTo identifier.HostID
	// forwardedBefore reports whether any lead has had the job.
	forwardedBefore bool
	// firstEpoch is the epoch of the first lead that the job was forwarded to.
	firstEpoch identifier.Epoch
	// copyAt is the second host that was requested to hold a copy. It is only used where this
	// host leads the job's cell.
	copyAt   identifier.HostID
	copyHeld bool
	// partner is the other host that holds a record of the submission.
	partner identifier.HostID
	// resends counts how often the job was forwarded to one lead, for the backoff.
	resends int
	// cancelled reports whether the caller has cancelled the job. Every new lead must be
	// notified.
	cancelled bool
	// cancelRepeats counts the repetitions of the cancellation without an answer.
	cancelRepeats int
	answer        *messenger.JobAnswer
	// answerWithheld reports whether callers get the answer only once another host holds it,
	// or after a short wait.
	answerWithheld bool
	// answerCopyAt is the neighbour that was last requested to hold the answer; withheldAt is
	// when the answer was first withheld.
	answerCopyAt identifier.HostID
	withheldAt   identifier.Moment
	// awaitsSecondHolder reports whether the answer waits for a second host to hold it.
	awaitsSecondHolder bool
	// spilledTo is the failure domain to which this host, as the lead, has spilled the job.
	spilledTo identifier.FailureDomain
}

// heldCopy is the second copy of a submission that another host leads.
type heldCopy struct {
	record messenger.CopyRecord
	heldAt identifier.Moment
	answer *messenger.JobAnswer
	// partner is the other host that holds a record of the submission.
	partner identifier.HostID
	// requestedEpoch is the epoch of the lead that first requested the copy.
	requestedEpoch identifier.Epoch
	// deadline is the job's deadline. A copy without an answer is kept at least until then.
	deadline identifier.Moment
}

// cellKey identifies a cell among all failure domains.
type cellKey struct {
	failureDomain identifier.FailureDomain
	cell          messenger.CellNumber
}

// lead is the last known lead of a cell.
type lead struct {
	host  identifier.HostID
	epoch identifier.Epoch
	// promised is the highest epoch whose takeover query this host has answered.
	promised identifier.Epoch
	// unreachable reports whether the lead cannot be reached now.
	unreachable bool
}

type timerKind int

const (
	timerHomeWait timerKind = iota
	timerCopyWait
	timerExpireSubmission
	timerExpireCopy
	timerSecondHolder
	timerResend
	timerRelayCopy
	timerExpireRelay
	// timerReplicas is a single timer for all records that are to be copied.
	timerReplicas
	timerLookup
	timerCancel
)

type timerKey struct {
	kind       timerKind
	submission identifier.SubmissionID
	lookup     messenger.LookupNumber
}
