package dispatcher

import (
	"fmt"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// retryStart retries a task whose start provably did not happen, within the retry budgets of its
// team and of the cell. Beyond them the task waits.
func (dispatcher *Dispatcher) retryStart(cell *cell, task *task) {
	task.refusals++
	if task.refusals > dispatcher.Settings.Limits.RefusalsPerTask {
		dispatcher.failJob(task.job, messenger.ReasonNoBackendServer, fmt.Sprintf(
			"the start of task %s was refused %d times", task.spec.Task, task.refusals))
		return
	}
	dispatcher.retryWithinBudget(cell, task)
}

func (dispatcher *Dispatcher) retryWithinBudget(cell *cell, task *task) {
	wait, allowed := cell.limiter.Retry(dispatcher.now, task.job.spec.Team)
	if allowed {
		task.state = taskQueued
		task.job.nextQueued = 0
		dispatcher.pushTasks(cell, task.job, 1)
		return
	}
	task.state = taskHeld
	key := timerKey{kind: timerRetry, submission: task.job.spec.Submission}
	dispatcher.timers.Set(key, dispatcher.now.Add(wait))
}

// retryHeld retries the tasks that waited for budget.
func (dispatcher *Dispatcher) retryHeld(submission identifier.SubmissionID) {
	job := dispatcher.jobs.Get(submission)
	if job == nil || job.state != jobRunning {
		return
	}
	cell := dispatcher.cells.Get(job.cell)
	for index := range job.tasks {
		task := &job.tasks[index]
		if task.state != taskHeld {
			continue
		}
		dispatcher.retryWithinBudget(cell, task)
		if task.state == taskHeld {
			return
		}
	}
}
