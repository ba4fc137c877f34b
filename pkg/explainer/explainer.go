// Package explainer keeps a bounded record of what was decided about submissions,
// so that an operator can ask why each task went where it went. It is pure, and
// noting a step allocates nothing.
package explainer

import (
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

//go:generate enumer -type=Kind -trimprefix=Kind -transform=kebab -text

// Kind tells what happened in a step.
type Kind int

// The kinds of steps.
const (
	// KindArrived means that the lead took the job; Detail names the host of its
	// caller.
	KindArrived Kind = iota
	// KindResent means that the submission came again and waits for the one answer.
	KindResent
	// KindClaimWanted means that the claim of a not-repeatable job was asked for.
	KindClaimWanted
	// KindSpilled means that the job was handed to another failure domain's lead,
	// which Detail names.
	KindSpilled
	// KindStarted means that a backend server was told to start the task.
	KindStarted
	// KindRefused means that the backend server refused the start; Detail tells why.
	KindRefused
	// KindUnknown means that the backend server was lost after the start.
	KindUnknown
	// KindAnswered means that the backend server answered the task; Detail is its
	// failure, if it failed.
	KindAnswered
	// KindEnded means that the submission got its one answer; Detail tells which.
	KindEnded
)

// Step is one thing that happened to a submission.
type Step struct {
	// At is the moment on the deciding host's clock.
	At         identifier.Moment
	Kind       Kind
	Submission identifier.SubmissionID
	Task       identifier.TaskID
	Server     identifier.BackendServerID
	Detail     string
}

// Explainer keeps the newest steps of all submissions. Set the exported field
// before the first Note.
type Explainer struct {
	// Bound is how many steps are kept; zero keeps none.
	Bound int

	ring []Step
	next int
}

// Note keeps a step in place of the oldest one.
func (explainer *Explainer) Note(step Step) {
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
