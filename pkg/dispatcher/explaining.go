package dispatcher

import (
	"github.com/stoathitch/stoathitch/pkg/explainer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// Explain returns what is still known of the decisions on a submission.
func (dispatcher *Dispatcher) Explain(submission identifier.SubmissionID) []explainer.Step {
	return dispatcher.explainer.Steps(submission)
}

// noteJob keeps a step of a whole submission.
func (dispatcher *Dispatcher) noteJob(kind explainer.Kind, submission identifier.SubmissionID, detail string) {
	dispatcher.explainer.Note(explainer.Step{At: dispatcher.now, Kind: kind, Submission: submission, Detail: detail})
}

// noteTask keeps a step of one task.
func (dispatcher *Dispatcher) noteTask(kind explainer.Kind, task *task, detail string) {
	dispatcher.explainer.Note(explainer.Step{
		At:         dispatcher.now,
		Kind:       kind,
		Submission: task.job.spec.Submission,
		Task:       task.spec.Task,
		Server:     task.server,
		Detail:     detail,
	})
}

// describeAnswer says which answer a submission got.
func describeAnswer(answer *messenger.JobAnswer) string {
	if answer.Outcome == messenger.OutcomeComplete {
		return answer.Outcome.String()
	}
	return answer.Outcome.String() + ", " + answer.Reason.String() + ": " + answer.Detail
}
