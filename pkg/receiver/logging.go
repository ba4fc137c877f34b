package receiver

import (
	"strings"
	"time"

	"github.com/charmbracelet/log"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// Each job logs two lines at the debug level; at the info level they would flood the log.
// Operators get totals over all jobs from the metrics. pkg/recorder builds traces from the lines
// that have an event field, so the fields of those lines must not change.

func (receiver *Receiver) logReceived(job *messenger.Job, deadline identifier.Moment) {
	if receiver.Log.GetLevel() > log.DebugLevel {
		return
	}
	fields := []any{
		"event", "job-received", "submission", job.Submission, "job", job.Job, "caller", job.Caller,
		"team", job.Team, "class", job.Class, "failure-domain", job.Home(), "entry-host", receiver.Settings.Host,
		"repeatable", job.Repeatable,
		"may-run", joinTexts(job.MayRun, func(domain identifier.FailureDomain) string { return string(domain) }),
		"declared", joinTexts(job.Tasks, func(task messenger.Task) string { return task.DeclaredRunTime.String() }),
	}
	if remaining := deadline.Remaining(receiver.Clock.Now()); remaining != nil {
		fields = append(fields, "remaining", *remaining)
	}
	receiver.Log.Debug("job received", fields...)
}

func (receiver *Receiver) logEnded(job *messenger.Job, answer *messenger.JobAnswer, response time.Duration) {
	if receiver.Log.GetLevel() > log.DebugLevel {
		return
	}
	receiver.Log.Debug("job ended", "event", "job-ended", "submission", job.Submission, "outcome", answer.Outcome,
		"reason", answer.Reason, "not-run", answer.NotRun, "response", response, "detail", answer.Detail,
		"run-times", joinTexts(answer.Answers, func(task messenger.TaskAnswer) string { return task.RunTime.String() }))
}

func (receiver *Receiver) logCancelled(submission identifier.SubmissionID) {
	receiver.Log.Debug("job cancelled", "event", "job-cancelled", "submission", submission)
}

func joinTexts[T any](values []T, text func(T) string) string {
	texts := make([]string, 0, len(values))
	for _, value := range values {
		texts = append(texts, text(value))
	}
	return strings.Join(texts, ",")
}
