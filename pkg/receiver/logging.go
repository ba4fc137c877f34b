package receiver

import (
	"time"

	"github.com/charmbracelet/log"

	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// Each job has two lines at the debug level; at the level of normal work they
// would flood the log. What operators need of all jobs together is measured.

func (receiver *Receiver) logAccepted(job *messenger.Job) {
	if receiver.Log.GetLevel() > log.DebugLevel {
		return
	}
	receiver.Log.Debug("accepted", "submission", job.Submission, "job", job.Job, "caller", job.Caller,
		"team", job.Team, "class", job.Class, "tasks", len(job.Tasks), "home", job.Home())
}

func (receiver *Receiver) logAnswered(job *messenger.Job, answer *messenger.JobAnswer, response time.Duration) {
	if receiver.Log.GetLevel() > log.DebugLevel {
		return
	}
	receiver.Log.Debug("answered", "submission", job.Submission, "outcome", answer.Outcome, "reason", answer.Reason,
		"not-run", answer.NotRun, "response", response, "detail", answer.Detail)
}
