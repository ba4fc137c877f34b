package dispatcher

import (
	"github.com/stoathitch/stoathitch/pkg/explainer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// Explain returns the decisions on a submission that are still kept.
func (dispatcher *Dispatcher) Explain(submission identifier.SubmissionID) []explainer.Step {
	return dispatcher.explainer.Steps(submission)
}

// recordJobStep records a step of a whole submission.
func (dispatcher *Dispatcher) recordJobStep(kind explainer.Kind, submission identifier.SubmissionID, detail string) {
	dispatcher.explainer.Record(explainer.Step{At: dispatcher.now, Kind: kind, Submission: submission, Detail: detail})
}

// recordTaskStep records a step of one task.
func (dispatcher *Dispatcher) recordTaskStep(kind explainer.Kind, task *task, detail string) {
	dispatcher.explainer.Record(explainer.Step{
		At:         dispatcher.now,
		Kind:       kind,
		Submission: task.job.spec.Submission,
		Task:       task.spec.Task,
		Server:     task.server,
		Detail:     detail,
	})
}

// describeAnswer returns the outcome of an answer, with the reason and detail unless it is complete.
func describeAnswer(answer *messenger.JobAnswer) string {
	if answer.Outcome == messenger.OutcomeComplete {
		return answer.Outcome.String()
	}
	return answer.Outcome.String() + ", " + answer.Reason.String() + ": " + answer.Detail
}
