// Package explainer keeps a bounded record of the decisions about submissions, so that
// an operator can query why each task was placed where it was. It does no I/O and reads
// no clock, and recording a step allocates nothing once the record is full.
package explainer

import (
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

//go:generate enumer -type=Kind -trimprefix=Kind -transform=kebab -text

// Kind is the kind of event that a step records.
type Kind int

// The kinds of steps.
const (
	// KindArrived means that the lead accepted the job; Detail names the host of its
	// caller.
	KindArrived Kind = iota
	// KindResent means that the submission was resent and waits for the same answer.
	KindResent
	// KindClaimWanted means that the claim of a not-repeatable job was requested.
	KindClaimWanted
	// KindSpilled means that the job was handed off to the lead of another failure
	// domain, which Detail names.
	KindSpilled
	// KindStarted means that a start of the task was sent to a backend server.
	KindStarted
	// KindRefused means that the backend server refused the start; Detail gives the reason.
	KindRefused
	// KindUnknown means that the backend server was lost after the start.
	KindUnknown
	// KindAnswered means that the backend server answered the task; Detail is its
	// failure, if it failed.
	KindAnswered
	// KindEnded means that the submission got its only answer, which Detail names.
	KindEnded
)

// Step is one event in the processing of a submission.
type Step struct {
	// At is the time on the deciding host's clock.
	At         identifier.Moment
	Kind       Kind
	Submission identifier.SubmissionID
	Task       identifier.TaskID
	Server     identifier.BackendServerID
	Detail     string
}

// Explainer keeps the newest steps of all submissions in a ring buffer. Set Bound before
// the first Record.
type Explainer struct {
	// Bound is the maximum number of steps kept; zero keeps none.
	Bound int

	ring []Step
	next int
}

// Record records a step. Once Bound steps are kept, it overwrites the oldest one.
func (explainer *Explainer) Record(step Step) {
	if explainer.Bound == 0 {
		return
	}
	if len(explainer.ring) < explainer.Bound {
		explainer.ring = append(explainer.ring, step)
		return
	}
	explainer.ring[explainer.next] = step
	explainer.next = (explainer.next + 1) % explainer.Bound
}

// Steps returns the kept steps of a submission, the oldest first.
func (explainer *Explainer) Steps(submission identifier.SubmissionID) []Step {
	var found []Step
	for offset := range explainer.ring {
		step := explainer.ring[(explainer.next+offset)%len(explainer.ring)]
		if step.Submission == submission {
			found = append(found, step)
		}
	}
	return found
}
