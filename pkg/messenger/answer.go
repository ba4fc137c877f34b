package messenger

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

//go:generate enumer -type=Outcome,Reason -trimprefix=Outcome,Reason -transform=kebab -text -output=answer_enumer.go

// Outcome is what became of a submission.
type Outcome int

// The outcomes of a submission.
const (
	// OutcomePending means that the submission has no answer yet.
	OutcomePending Outcome = iota
	// OutcomeComplete means that every task was answered.
	OutcomeComplete
	// OutcomeFailed means that the job ran at least in part and has no answer.
	OutcomeFailed
	// OutcomeRefused means that the job was not accepted.
	OutcomeRefused
)

// Reason tells why a submission failed or was refused.
type Reason int

// The reasons for failures and refusals.
const (
	ReasonNone Reason = iota
	// ReasonTaskFailed means that a backend server ran a task and it failed.
	ReasonTaskFailed
	// ReasonTaskUnknown means that nobody can tell what became of a task: its
	// backend server was lost after it had been told to start.
	ReasonTaskUnknown
	// ReasonDeadlinePassed means that the deadline came before the answer.
	ReasonDeadlinePassed
	// ReasonCancelled means that the caller cancelled.
	ReasonCancelled
	// ReasonQueueFull means that the bounded queue had no room.
	ReasonQueueFull
	// ReasonOverQuota means that the team is over its quota.
	ReasonOverQuota
	// ReasonDeadlineUnreachable means that the deadline can't be met by what was
	// observed of run times and queues.
	ReasonDeadlineUnreachable
	// ReasonNeverRunnable means that no backend server could ever run it.
	ReasonNeverRunnable
	// ReasonNoBackendServer means that no living backend server may run it now.
	ReasonNoBackendServer
	// ReasonShuttingDown means that the entry host takes no new work.
	ReasonShuttingDown
	// ReasonHomeUnreachable means that the failure domain that keeps the
	// submission's record can't be reached, so nobody here can tell whether an
	// earlier sending ran.
	ReasonHomeUnreachable
	// ReasonClaimUnavailable means that the claim of a not-repeatable job could
	// not be had from a quorum of the keepers.
	ReasonClaimUnavailable
	// ReasonAlreadyClaimed means that another submission of the same
	// not-repeatable job holds its claim.
	ReasonAlreadyClaimed
	// ReasonConflict means that the submission id is in use for another request.
	ReasonConflict
	// ReasonUnknownSubmission means that nothing is known of the submission.
	ReasonUnknownSubmission
	// ReasonAnswerLost means that the job had ended, but no living host has its
	// answer any more.
	ReasonAnswerLost
)

// TaskAnswer is the answer of one task.
type TaskAnswer struct {
	Task   identifier.TaskID `cbor:"1,keyasint"`
	Result []byte            `cbor:"2,keyasint,omitempty"`
}

// JobAnswer is the one answer of a submission.
type JobAnswer struct {
	Submission identifier.SubmissionID `cbor:"1,keyasint"`
	Outcome    Outcome                 `cbor:"2,keyasint"`
	// NotRun tells that no task of the submission started or ever will.
	NotRun bool   `cbor:"3,keyasint,omitempty"`
	Reason Reason `cbor:"4,keyasint,omitempty"`
	// Detail says the reason in a sentence.
	Detail string `cbor:"5,keyasint,omitempty"`
	// RetryAfter tells when a new submission is worth trying; zero says nothing.
	RetryAfter time.Duration `cbor:"6,keyasint,omitempty"`
	Answers    []TaskAnswer  `cbor:"7,keyasint,omitempty"`
}

// ClaimsNothing tells whether the answer says nothing about the submission: nobody
// knew whether it ran. Another host may know better.
func (answer *JobAnswer) ClaimsNothing() bool {
	return answer.Outcome == OutcomeRefused && !answer.NotRun
}

// Refuse returns the refusal of a submission of which nothing started or ever
// will.
func Refuse(submission identifier.SubmissionID, reason Reason, detail string) *JobAnswer {
	return &JobAnswer{Submission: submission, Outcome: OutcomeRefused, NotRun: true, Reason: reason, Detail: detail}
}

// RefuseUnknown returns the refusal of a submission of which nobody here can say
// whether it ran.
func RefuseUnknown(submission identifier.SubmissionID, reason Reason, detail string) *JobAnswer {
	return &JobAnswer{Submission: submission, Outcome: OutcomeRefused, Reason: reason, Detail: detail}
}
