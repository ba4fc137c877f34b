package dispatcher

import (
	"github.com/stoathitch/stoathitch/pkg/explainer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

func (dispatcher *Dispatcher) recordRefusals(input *TasksRefused) {
	for _, refusal := range input.Refusals {
		server := dispatcher.viewOf(input.Server, refusal.Submission)
		if server == nil {
			continue
		}
		if cell := dispatcher.cells.Get(server.cell); cell != nil {
			dispatcher.recordRefusal(cell, server, refusal)
		}
	}
}

func (dispatcher *Dispatcher) recordRefusal(cell *cell, server *server, refusal ServerRefusal) {
	task := server.running[refusal.TaskKey]
	if task == nil {
		return
	}
	dispatcher.recordTaskStep(explainer.KindRefused, task, refusal.Kind.String())
	switch refusal.Kind {
	case RefusalNoFreeSlot:
		server.refusedFull = true
	case RefusalStaleEpoch:
		// Another host leads, and its takeover relies on there being no more starts from here. The
		// server's report will carry the epoch.
		cell.deposed = true
		dispatcher.fence(cell, server)
	case RefusalLeaving:
		dispatcher.setLeaving(server, true)
	case RefusalDeadlinePassed:
		dispatcher.undoStart(cell, server, task)
		dispatcher.failJob(task.job, messenger.ReasonDeadlinePassed, "the deadline passed before every task was answered")
		return
	}
	dispatcher.requeue(cell, server, task)
}

func (dispatcher *Dispatcher) recordAnswers(input *TasksAnswered) {
	for _, answer := range input.Answers {
		server := dispatcher.viewOf(input.Server, answer.Submission)
		if server == nil {
			continue
		}
		server.refusedFull = false
		if cell := dispatcher.cells.Get(server.cell); cell != nil {
			dispatcher.recordAnswer(cell, server, answer)
		}
	}
}

// recordAnswer records the outcome of one task. An answer that is repeated, late or for a job that
// has ended is acknowledged and otherwise ignored.
func (dispatcher *Dispatcher) recordAnswer(cell *cell, server *server, answer ServerAnswer) {
	dispatcher.recordTaskEnd(cell, server.running[answer.TaskKey], answer)
	delete(server.running, answer.TaskKey)
	cell.free.update(server)
	job := dispatcher.jobs.Get(answer.Submission)
	if job == nil {
		answers := cell.unmatchedOf(answer.Submission).answers
		answers[answer.Task] = unmatchedAnswer{server: server.id, answer: answer}
		return
	}
	task := job.byID[answer.Task]
	if job.state == jobFinished {
		dispatcher.recordOutcome(job, server, answer)
		dispatcher.keepLateAnswer(job, task, server, answer.TaskKey)
		return
	}
	if task == nil || task.state == taskAnswered {
		return
	}
	dispatcher.removeFromQueue(cell, job, task)
	dispatcher.recordOutcome(job, server, answer)
	dispatcher.resolve(task, server.id, answer)
}

// keepLateAnswer handles an answer for a job that has ended. The answer is acknowledged only once
// a second host holds the answer of the job. If the backend server forgot the task earlier and
// this lead died, the next lead would find no trace of the task and start it again.
func (dispatcher *Dispatcher) keepLateAnswer(job *job, task *task, server *server, key TaskKey) {
	if !job.answerReplicated {
		if task != nil {
			task.state = taskAnswered
			task.server = server.id
		}
		return
	}
	batch := dispatcher.outputs.toServer(server.cell, server.id)
	batch.Acknowledged = append(batch.Acknowledged, key)
}

// resolve sets the outcome of a task and completes the job after its last task.
func (dispatcher *Dispatcher) resolve(task *task, server identifier.BackendServerID, answer ServerAnswer) {
	job := task.job
	task.state = taskAnswered
	task.server = server
	task.result = answer.Result
	task.runTime = answer.RunTime
	dispatcher.recordTaskStep(explainer.KindAnswered, task, answer.Reason)
	job.unresolved--
	if answer.Failed || answer.Cancelled {
		dispatcher.failTask(task, answer)
		return
	}
	if job.unresolved == 0 && job.failure == nil {
		dispatcher.complete(job)
	}
}

func (dispatcher *Dispatcher) failTask(task *task, answer ServerAnswer) {
	detail := "task " + string(task.spec.Task) + " failed at " + string(task.server) + ": " + answer.Reason
	dispatcher.failJob(task.job, messenger.ReasonTaskFailed, detail)
}

func (dispatcher *Dispatcher) complete(job *job) {
	answer := &messenger.JobAnswer{
		Submission: job.spec.Submission,
		Outcome:    messenger.OutcomeComplete,
		Answers:    make([]messenger.TaskAnswer, 0, len(job.tasks)),
	}
	for index := range job.tasks {
		task := &job.tasks[index]
		answer.Answers = append(answer.Answers, messenger.TaskAnswer{
			Task: task.spec.Task, Result: task.result, RunTime: task.runTime,
		})
	}
	dispatcher.finish(job, answer)
}

// failJob ends a job that can't complete. The answer says "not run" if no task has started or can
// have started.
func (dispatcher *Dispatcher) failJob(job *job, reason messenger.Reason, detail string) {
	if job.state == jobFinished {
		return
	}
	if job.state == jobRecovering {
		dispatcher.failAfterTakeover(job, &failure{reason: reason, detail: detail})
		return
	}
	if job.state == jobAwaitingClaim {
		dispatcher.failWithoutClaim(job, reason, detail)
		return
	}
	if !job.mayHaveStarted() {
		dispatcher.finish(job, messenger.Refuse(job.spec.Submission, reason, detail))
		return
	}
	if dispatcher.mayHaveBeenAnswered(job, reason) {
		dispatcher.finish(job, messenger.RefuseUnknown(job.spec.Submission, reason, detail))
		return
	}
	if dispatcher.isLastHost() && reason != messenger.ReasonTaskFailed {
		// If this host is lost, the next lead may complete the job from what backend servers have.
		dispatcher.finish(job, messenger.RefuseUnknown(job.spec.Submission, reason, detail))
		return
	}
	dispatcher.finish(job, &messenger.JobAnswer{
		Submission: job.spec.Submission,
		Outcome:    messenger.OutcomeFailed,
		Reason:     reason,
		Detail:     detail,
	})
}

// mayHaveBeenAnswered reports whether an earlier lead may have answered a job otherwise, unknown to
// this one: a caller that has received "complete" or "not run" must not receive "failed". A task that
// no backend server has reported may have ended long ago, or may never have started. A job of which
// a task failed has failed under any lead.
func (dispatcher *Dispatcher) mayHaveBeenAnswered(job *job, reason messenger.Reason) bool {
	if job.hasUnlocated() {
		return reason != messenger.ReasonTaskFailed
	}
	cell := dispatcher.cells.Get(job.cell)
	return cell != nil && cell.mayMissRecords() && !job.hasStarted()
}

// mayHaveStarted reports whether any task was started by this lead or may have been started by an
// earlier one. A start that was refused did not happen.
func (job *job) mayHaveStarted() bool {
	return job.mayHaveEarlierStarts || job.state == jobRecovering || job.hasStarted()
}

// hasStarted reports whether a task of the job was started here or is reported by a backend
// server.
func (job *job) hasStarted() bool {
	for index := range job.tasks {
		if state := job.tasks[index].state; state != taskQueued && state != taskHeld {
			return true
		}
	}
	return false
}

// failAfterTakeover stops the running tasks of a job and fails it once the takeover of its cell is
// over, which is soon. Another host may already keep an answer of the submission, and a submission
// has only one answer; the takeover finds out.
func (dispatcher *Dispatcher) failAfterTakeover(job *job, cause *failure) {
	if job.failure != nil {
		return
	}
	job.failure = cause
	dispatcher.stopRunning(job)
	dispatcher.stopUnmatched(dispatcher.cells.Get(job.cell), job)
}

// finish sets the only answer of a job, sends it to all who wait, and stops its running tasks.
func (dispatcher *Dispatcher) finish(job *job, answer *messenger.JobAnswer) {
	cell := dispatcher.cells.Get(job.cell)
	dispatcher.scheduleClaimRelease(cell, job)
	dispatcher.leaveQueue(cell, job)
	if job.state == jobSpilled && answer.Outcome != messenger.OutcomeComplete {
		dispatcher.stopSpilled(job)
	}
	job.state = jobFinished
	job.finishedAt = dispatcher.now
	if cell != nil && cell.mayMissRecords() || dispatcher.isLastHost() {
		answer.NotRun = false
	}
	job.answer = answer
	dispatcher.recordDigest(job, digestKindOf(answer))
	submission := job.spec.Submission
	dispatcher.recordJobStep(explainer.KindEnded, submission, describeAnswer(answer))
	dispatcher.timers.Clear(timerKey{kind: timerJobDeadline, submission: submission})
	dispatcher.timers.Clear(timerKey{kind: timerUnknownWait, submission: submission})
	dispatcher.timers.Clear(timerKey{kind: timerRetry, submission: submission})
	forgetAt := dispatcher.now.Add(dispatcher.Settings.AnswerRetention)
	dispatcher.timers.Set(timerKey{kind: timerForget, submission: submission}, forgetAt)
	for _, recipient := range job.recipients {
		dispatcher.outputs.add(&JobAnswered{To: recipient, Answer: answer})
	}
	if job.homeLead != "" {
		dispatcher.outputs.add(&AnswerSpill{To: job.homeLead, Answer: answer})
	}
	dispatcher.timers.Clear(job.timer(timerSpill))
	dispatcher.awaitSecondHolder(job)
	dispatcher.answerLookups(job)
	dispatcher.stopRunning(job)
	dispatcher.stopUnmatched(cell, job)
	dispatcher.removeLostInFlight(job)
}

func (dispatcher *Dispatcher) leaveQueue(cell *cell, job *job) {
	if cell == nil || job.state != jobRunning {
		return
	}
	cell.queue.Remove(&job.entry)
	for index := range job.tasks {
		task := &job.tasks[index]
		if task.state == taskQueued || task.state == taskHeld {
			task.state = taskAnswered
		}
	}
}

func (dispatcher *Dispatcher) stopRunning(job *job) {
	for index := range job.tasks {
		task := &job.tasks[index]
		if task.state != taskStarted {
			continue
		}
		dispatcher.stop(task.server, task.key())
	}
}

// releaseAnswers acknowledges the task answers of a finished job to the backend servers, once a
// second host holds the answer of the whole job.
func (dispatcher *Dispatcher) releaseAnswers(input *AnswerReplicated) {
	job := dispatcher.jobs.Get(input.Submission)
	if job == nil || job.state != jobFinished || job.answerReplicated {
		return
	}
	job.answerReplicated = true
	dispatcher.timers.Clear(job.timer(timerConfirm))
	for index := range job.tasks {
		task := &job.tasks[index]
		if task.server == "" || task.state != taskAnswered {
			continue
		}
		batch := dispatcher.outputs.toServer(job.cell, task.server)
		batch.Acknowledged = append(batch.Acknowledged, task.key())
	}
	// The results are now kept in the answer only.
	job.tasks = nil
	job.byID = nil
}
