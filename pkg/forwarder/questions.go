package forwarder

import (
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// ask looks for the answer of a submission: here, or else at the leads of the
// cell in every failure domain, because the submission id does not tell the home.
func (forwarder *Forwarder) ask(input *CallerAsked) {
	if front := forwarder.fronts.Get(input.Submission); front != nil && front.job.Caller == input.Caller {
		forwarder.join(front, input.Waiter)
		return
	}
	forwarder.answerUnknown(input.Waiter, input.Submission)
}

func (forwarder *Forwarder) cancelElsewhere(input *CallerCancelled) {
	forwarder.answerUnknown(input.Waiter, input.Submission)
}

func (forwarder *Forwarder) answerQuestion(_ *AnswerArrived) {}

func (forwarder *Forwarder) answerUnknown(waiter WaiterID, submission identifier.SubmissionID) {
	answer := messenger.RefuseUnknown(submission, messenger.ReasonUnknownSubmission,
		"nothing is known of the submission here")
	forwarder.add(&AnswerCaller{Waiter: waiter, Answer: answer})
}
