package forwarder

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// A cancellation may be lost with its connection. It is repeated with each resend of the job, but those
// are 5 s and more apart, and the tasks of a cancelled job have to end within 4 s. So it is also
// repeated without the job at 0.3, 0.9 and 2.1 s.
const (
	// cancelRepeatTime is the time to the first repetition; each further one takes twice as long.
	cancelRepeatTime = 300 * time.Millisecond
	maxCancelRepeats = 3
)

// cancel sends a cancellation to the lead of the caller's own submission.
func (forwarder *Forwarder) cancel(input *CallerCancelled) {
	localSubmission := forwarder.localSubmissions.Get(input.Submission)
	if localSubmission == nil || localSubmission.job.Caller != input.Caller {
		forwarder.cancelByLookup(input)
		return
	}
	forwarder.addWaiter(localSubmission, input.Waiter)
	if localSubmission.answer != nil {
		return
	}
	if localSubmission.forwardedTo == "" {
		forwarder.cancelUnforwarded(localSubmission)
		return
	}
	localSubmission.cancelled = true
	forwarder.forwardCancel(localSubmission)
	localSubmission.cancelRepeats = 0
	forwarder.awaitCancelled(localSubmission)
}

func (forwarder *Forwarder) forwardCancel(localSubmission *localSubmission) {
	cancel := messenger.Cancel{Submission: localSubmission.job.Submission, Caller: localSubmission.job.Caller}
	forwarder.emit(&ForwardCancel{To: localSubmission.forwardedTo, Cancel: cancel})
}

// repeatCancel repeats a cancellation that got no answer.
func (forwarder *Forwarder) repeatCancel(submission identifier.SubmissionID) {
	localSubmission := forwarder.localSubmissions.Get(submission)
	if localSubmission == nil || localSubmission.answer != nil {
		return
	}
	forwarder.forwardCancel(localSubmission)
	localSubmission.cancelRepeats++
	forwarder.awaitCancelled(localSubmission)
}

// awaitCancelled sets the time of the next repetition, if there is one.
func (forwarder *Forwarder) awaitCancelled(localSubmission *localSubmission) {
	if localSubmission.cancelRepeats < maxCancelRepeats {
		due := forwarder.now.Add(cancelRepeatTime << localSubmission.cancelRepeats)
		forwarder.timers.Set(timerKey{kind: timerCancel, submission: localSubmission.job.Submission}, due)
	}
}
