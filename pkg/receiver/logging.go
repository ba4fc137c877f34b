package receiver

import (
	"strings"
	"time"

	"github.com/charmbracelet/log"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// Each job has two lines at the debug level; at the level of normal work they
// would flood the log. What operators need of all jobs together is measured.
// pkg/recorder makes traces of the lines with an event, so their fields are fixed.

func (receiver *Receiver) logReceived(job *messenger.Job, deadline identifier.Moment) {
	if receiver.Log.GetLevel() > log.DebugLevel {
		return
	}
	fields := []any{
		"event", "job-received", "submission", job.Submission, "job", job.Job, "caller", job.Caller,
		"team", job.Team, "class", job.Class, "failure-domain", job.Home(), "entry-host", receiver.Settings.Host,
		"repeatable", job.Repeatable,
		"may-run", joined(job.MayRun, func(domain identifier.FailureDomain) string { return string(domain) }),
		"declared", joined(job.Tasks, func(task messenger.Task) string { return task.DeclaredRunTime.String() }),
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
		"run-times", joined(answer.Answers, func(task messenger.TaskAnswer) string { return task.RunTime.String() }))
}

func (receiver *Receiver) logCancelled(submission identifier.SubmissionID) {
	receiver.Log.Debug("job cancelled", "event", "job-cancelled", "submission", submission)
}

func joined[T any](values []T, text func(T) string) string {
	texts := make([]string, 0, len(values))
	for _, value := range values {
		texts = append(texts, text(value))
	}
	return strings.Join(texts, ",")
}
