package messenger

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

//go:generate enumer -type=Outcome,Reason -trimprefix=Outcome,Reason -transform=kebab -text -output=answer_enumer.go

// Outcome is the state or final result of a submission.
type Outcome int

// The outcomes of a submission.
const (
	// OutcomePending means that the submission has no answer yet.
	OutcomePending Outcome = iota
	// OutcomeComplete means that every task was answered.
	OutcomeComplete
	// OutcomeFailed means that the job ran, at least in part, and produced no complete answer.
	OutcomeFailed
	// OutcomeRefused means that the job was not accepted.
	OutcomeRefused
)

// Reason is why a submission failed or was refused.
type Reason int

// The reasons for failures and refusals.
const (
	ReasonNone Reason = iota
	// ReasonTaskFailed means that a backend server ran a task and it failed.
	ReasonTaskFailed
	// ReasonTaskUnknown means that the outcome of a task is unknown: its backend server
	// was lost after the start was sent to it.
	ReasonTaskUnknown
	// ReasonDeadlinePassed means that the deadline passed before there was an answer.
	ReasonDeadlinePassed
	// ReasonCancelled means that the caller cancelled the submission.
	ReasonCancelled
	// ReasonQueueFull means that the bounded queue was full.
	ReasonQueueFull
	// ReasonOverQuota means that the team is over its quota.
	ReasonOverQuota
	// ReasonDeadlineUnreachable means that the deadline can't be met, by the observed
	// run times and queues.
	ReasonDeadlineUnreachable
	// ReasonNeverRunnable means that no backend server could ever run the job.
	ReasonNeverRunnable
	// ReasonNoBackendServer means that no live backend server may run the job at present.
	ReasonNoBackendServer
	// ReasonShuttingDown means that the entry host accepts no new jobs.
	ReasonShuttingDown
	// ReasonHomeUnreachable means that the failure domain that keeps the submission's
	// record can't be reached, so it is unknown here whether an earlier submission of
	// the job ran.
	ReasonHomeUnreachable
	// ReasonClaimUnavailable means that the claim of a not-repeatable job could not be
	// acquired from a quorum of the keepers.
	ReasonClaimUnavailable
	// ReasonAlreadyClaimed means that another submission of the same
	// not-repeatable job holds its claim.
	ReasonAlreadyClaimed
	// ReasonConflict means that the submission id is already used by a different request.
	ReasonConflict
	// ReasonUnknownSubmission means that nothing is known of the submission.
	ReasonUnknownSubmission
	// ReasonAnswerLost means that the job ended, but no live host holds its answer any
	// more.
	ReasonAnswerLost
	// ReasonOverloaded means that the caller's host, or the lead that it asked, is overloaded.
	ReasonOverloaded
)

// TaskAnswer is the result of one task.
type TaskAnswer struct {
	Task   identifier.TaskID `cbor:"1,keyasint"`
	Result []byte            `cbor:"2,keyasint,omitempty"`
	// RunTime is how long the task ran, as reported by the backend server.
	RunTime time.Duration `cbor:"4,keyasint,omitempty"`
}

// JobAnswer is the single answer of a submission.
type JobAnswer struct {
	Submission identifier.SubmissionID `cbor:"1,keyasint"`
	Outcome    Outcome                 `cbor:"2,keyasint"`
	// NotRun means that no task of the submission has started or ever will.
	NotRun bool   `cbor:"3,keyasint,omitempty"`
	Reason Reason `cbor:"4,keyasint,omitempty"`
	// Detail is a sentence that explains the reason.
	Detail string `cbor:"5,keyasint,omitempty"`
	// RetryAfter is the time after which a new submission may succeed; zero means unknown.
	RetryAfter time.Duration `cbor:"6,keyasint,omitempty"`
	Answers    []TaskAnswer  `cbor:"7,keyasint,omitempty"`
}

// ClaimsNothing reports whether the answer is a refusal that leaves open whether the
// submission ran. Another host may know.
func (answer *JobAnswer) ClaimsNothing() bool {
	return answer.Outcome == OutcomeRefused && !answer.NotRun
}

// Refuse returns the refusal of a submission none of whose tasks has started or ever will.
func Refuse(submission identifier.SubmissionID, reason Reason, detail string) *JobAnswer {
	return &JobAnswer{Submission: submission, Outcome: OutcomeRefused, NotRun: true, Reason: reason, Detail: detail}
}

// RefuseUnknown returns the refusal of a submission of which it is unknown here whether it ran.
func RefuseUnknown(submission identifier.SubmissionID, reason Reason, detail string) *JobAnswer {
	return &JobAnswer{Submission: submission, Outcome: OutcomeRefused, Reason: reason, Detail: detail}
}
