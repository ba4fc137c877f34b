package dispatcher

import (
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// expire handles every deadline that is due.
func (dispatcher *Dispatcher) expire() {
	dispatcher.timers.EachDue(dispatcher.now, dispatcher.expireOne)
}

func (dispatcher *Dispatcher) expireOne(key timerKey) {
	switch key.kind {
	case timerJobDeadline:
		dispatcher.giveUp(key.submission, messenger.ReasonDeadlinePassed, "the deadline passed before every task was answered")
	case timerUnknownWait:
		dispatcher.giveUpUnknown(key.submission)
	case timerForget:
		if job := dispatcher.jobs.Get(key.submission); job != nil {
			dispatcher.forget(job)
		}
	case timerServerSilence:
		dispatcher.markServerSilent(serverKey{cell: key.cell, server: key.server})
		dispatcher.markCapacityStale()
	case timerServerForget:
		dispatcher.forgetServer(serverKey{cell: key.cell, server: key.server})
	case timerRelease:
		dispatcher.releaseClaim(key.submission)
	case timerSweep:
		dispatcher.sweepRecovered(key.cell)
	case timerLostState:
		dispatcher.expireLostState(key.cell)
	case timerConfirm:
		dispatcher.resendUnconfirmedAnswer(key.submission)
	case timerSpill:
		dispatcher.expireSpill(key.submission)
	case timerLoad:
		// The tick that this timer causes announces the load.
	case timerRetry:
		dispatcher.retryHeld(key.submission)
	case timerNoServer:
		// The tick that this timer causes refuses the waiting jobs.
	case timerTakeover:
		if cell := dispatcher.cells.Get(key.cell); cell != nil && !cell.ready {
			dispatcher.retryTakeover(cell)
		}
	}
}

func (dispatcher *Dispatcher) giveUp(submission identifier.SubmissionID, reason messenger.Reason, detail string) {
	if job := dispatcher.jobs.Get(submission); job != nil {
		dispatcher.failJob(job, reason, detail)
	}
}

// giveUpUnknown fails a job whose lost backend server or failure domain did not return in time.
func (dispatcher *Dispatcher) giveUpUnknown(submission identifier.SubmissionID) {
	job := dispatcher.jobs.Get(submission)
	if job == nil || job.state == jobFinished {
		return
	}
	if job.state == jobSpilled {
		dispatcher.giveUpSpilled(job, "the job was handed to failure domain "+string(job.spilledTo)+
			", or may have been, which is out of reach")
		return
	}
	for index := range job.tasks {
		task := &job.tasks[index]
		if task.state == taskUnknown && task.unknownUntil.Due(dispatcher.now) {
			dispatcher.endUnknown(task)
			return
		}
	}
	dispatcher.awaitUnknown(job)
}

// endUnknown ends the job of a task whose state can't be determined. If no backend server is known
// to have received the task, an earlier lead may have answered the job unknown to this one. The end
// then claims nothing, as a caller that has received "complete" must not receive "failed".
func (dispatcher *Dispatcher) endUnknown(task *task) {
	name := string(task.spec.Task)
	if task.unlocated() {
		dispatcher.finish(task.job, messenger.RefuseUnknown(task.job.spec.Submission, messenger.ReasonTaskUnknown,
			"no backend server that has reported has task "+name+", and one that was lost may have had it"))
		return
	}
	dispatcher.failJob(task.job, messenger.ReasonTaskUnknown, "nobody can tell what became of task "+name+" at "+string(task.server))
}

// forget removes a submission with all its deadlines. It is marked as finished for lists and
// servers that still refer to it; otherwise one of its tasks that is missing from a late report
// would be started again.
func (dispatcher *Dispatcher) forget(job *job) {
	job.state = jobFinished
	submission := job.spec.Submission
	for _, kind := range [...]timerKind{timerJobDeadline, timerUnknownWait, timerForget, timerRetry, timerConfirm, timerRelease} {
		dispatcher.timers.Clear(timerKey{kind: kind, submission: submission})
	}
	dispatcher.jobs.Remove(submission)
}
