package supervisor

import (
	"cmp"
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// arrive takes a job. One that is under way already gets another waiter: it remains
// one job.
func (supervisor *Supervisor) arrive(input *JobArrived) {
	id := input.Job.Job
	if known := supervisor.jobs.Get(id); known != nil {
		known.waiters = append(known.waiters, input.Waiter)
		return
	}
	if supervisor.revive(input) {
		return
	}
	created := &job{
		spec: input.Job, waiters: []WaiterID{input.Waiter}, arrivedAt: supervisor.now, deadline: input.Deadline,
		tasks: make([]task, len(input.Job.Tasks)), left: len(input.Job.Tasks),
	}
	whole := created.addPart()
	for index := range created.tasks {
		created.tasks[index].part = whole
	}
	supervisor.jobs.Put(id, created)
	supervisor.timers.Set(deadlineTimer(id), input.Deadline)
	supervisor.decided(messenger.Decision{
		Kind: messenger.DecisionArrived, Job: id, Tasks: len(created.tasks), Reason: string(input.Job.Queue),
	})
	supervisor.askHome(created, whole)
}

// takeGrant starts the granted runs. A lead that is not asked any more gets its room
// back.
func (supervisor *Supervisor) takeGrant(input *GrantArrived) {
	job, part := supervisor.answered(input.Grant.Job, input.From, input.Grant.Cell, input.Grant.Ask)
	if part == nil {
		// The lead of a part that was asked again has had its release already.
		if _, asked := supervisor.partAt(input.Grant.Job, input.From, input.Grant.Cell); asked == nil {
			supervisor.release(input.From, input.Grant.Cell, input.Grant.Job)
		}
		return
	}
	part.heard = true
	if supervisor.evacuations.Has(part.cell.FailureDomain) {
		supervisor.withhold(job, part, &input.Grant)
		return
	}
	part.granted = true
	for _, run := range input.Grant.Runs {
		if int(run.Task) >= len(job.tasks) || job.tasks[run.Task].done || job.tasks[run.Task].part != part {
			continue
		}
		job.lastRun = max(job.lastRun, run.Run)
		job.spec.Tasks[run.Task].Account.Merge(run.Account)
		task := &job.tasks[run.Task]
		task.start = &StartRun{
			Server: run.Server, Address: run.Address, Run: messenger.RunKey{Job: job.spec.Job, Task: run.Task, Run: run.Run},
			Epoch: cmp.Or(run.Fence, input.Grant.Epoch), LeaseEnd: run.LeaseEnd, Payload: job.spec.Payload,
			FailureDomain: part.cell.FailureDomain, Service: job.spec.Service,
		}
		supervisor.emit(task.start)
	}
}

// withhold starts nothing of a grant, and tells the lead so: it granted before it heard that its
// failure domain is evacuated.
func (supervisor *Supervisor) withhold(job *job, part *part, grant *messenger.Grant) {
	for _, run := range grant.Runs {
		job.lastRun = max(job.lastRun, run.Run)
		supervisor.emit(&ReportStart{To: part.lead, Report: messenger.StartReport{
			RunKey: messenger.RunKey{Job: grant.Job, Task: run.Task, Run: run.Run}, Outcome: messenger.StartWithheld,
			Epoch: cmp.Or(run.Fence, grant.Epoch), Cell: part.cell.Cell, Server: run.Server,
		}})
	}
}

// startRepeats is how often a start without an answer is made again. Three calls of
// 150 ms take less than half of the lease under which a run may start.
const startRepeats = 2

// takeStart takes the answer to a start. The lead finds out what became of one that
// was not accepted, and gives the task room elsewhere.
//
// Most often only the answer to a start is lost, and the run is at work. It would be
// stopped in vain; so the start is made again first. It is idempotent by the number of
// the run, and its lease bounds it like the first call, which may also arrive late.
func (supervisor *Supervisor) takeStart(input *StartReturned) {
	job := supervisor.jobs.Get(input.Run.Job)
	if job == nil || input.Outcome == messenger.StartAccepted || int(input.Run.Task) >= len(job.tasks) {
		return
	}
	outcome := input.Outcome
	task := &job.tasks[input.Run.Task]
	if !task.isStart(input) {
		return // Another run is at work, or will be; the lead knows what became of this one.
	}
	if !task.done {
		switch {
		case outcome == messenger.StartUnanswered && task.start.Repeats < startRepeats && !supervisor.evacuations.Has(task.start.FailureDomain):
			repeated := *task.start
			repeated.Repeats++
			task.start = &repeated
			supervisor.emit(task.start)
			supervisor.decided(messenger.Decision{
				Kind: messenger.DecisionStartRepeated, Job: job.spec.Job, Task: input.Run.Task, Run: input.Run.Run, Server: task.start.Server,
				Tasks: task.start.Repeats, Elapsed: supervisor.now.Sub(job.arrivedAt), Epoch: input.Epoch,
			})
			return
		case outcome == messenger.StartStaleRun && task.start.Repeats > 0:
			return // An earlier call was carried out; the lead learns of its end.
		case task.start.Repeats > 0 && outcome != messenger.StartServerGone:
			// An earlier call may be at work, or still under way. If the lead took the run
			// for settled, its task would run twice at once.
			outcome = messenger.StartUnanswered
		}
	}
	if part := task.part; part.lead != "" {
		supervisor.emit(&ReportStart{To: part.lead, Report: messenger.StartReport{
			RunKey: input.Run, Outcome: outcome, Epoch: input.Epoch, Cell: part.cell.Cell, Server: input.Server,
		}})
	}
}

// isStart tells whether an answer is to the start of the run that was granted last. The
// number alone doesn't tell: an earlier sending of the job, or an earlier epoch of its lead, may
// have used it.
func (task *task) isStart(returned *StartReturned) bool {
	start := task.start
	return start != nil && start.Run == returned.Run && start.Server == returned.Server && start.Epoch == returned.Epoch
}

func (supervisor *Supervisor) takeDone(input *DoneArrived) {
	key := input.Done.RunKey
	job := supervisor.jobs.Get(key.Job)
	if job == nil || int(key.Task) >= len(job.tasks) || job.tasks[key.Task].done {
		return
	}
	job.tasks[key.Task].done = true
	job.left--
	if job.left == 0 {
		supervisor.end(job, JobEnded{Outcome: OutcomeComplete})
	}
}

func (supervisor *Supervisor) takeAnswer(input *AnswerArrived) {
	answer := &input.Answer
	job, part := supervisor.answered(answer.Job, input.From, answer.Cell, answer.Ask)
	if part == nil {
		return
	}
	part.heard = true
	job.sentBefore = job.sentBefore || answer.Begun
	switch answer.Kind {
	case messenger.RoomAnswerWaiting:
	case messenger.RoomAnswerTurnedAway:
		supervisor.refuse(job, answer.Reason, answer.Detail, answer.RetryAfter)
	case messenger.RoomAnswerAskOther:
		supervisor.askOther(job, part, answer)
	case messenger.RoomAnswerFailed:
		supervisor.end(job, JobEnded{Outcome: OutcomeFailed, Reason: answer.Reason, Detail: answer.Detail})
	case messenger.RoomAnswerEvacuated:
		supervisor.leaveEvacuated(job, part, answer)
	case messenger.RoomAnswerNotLed:
		part.heard = false
		if !supervisor.askElsewhere(job, part) {
			part.lead = ""
		}
	case messenger.RoomAnswerKnownElsewhere:
		supervisor.awaitHome(job, part)
	}
}

// release tells a lead that a job needs no more room.
func (supervisor *Supervisor) release(to identifier.HostID, cell messenger.CellNumber, job identifier.JobID) {
	supervisor.emit(&ReleaseRoom{To: to, Release: messenger.RoomRelease{Job: job, Cell: cell}})
}

func (supervisor *Supervisor) releaseAll(job *job) {
	for _, part := range job.parts {
		if part.lead != "" {
			supervisor.release(part.lead, part.cell.Cell, job.spec.Job)
		}
	}
}

// refuse tells a job's callers that it has not run, or, where that isn't known, that its time was
// given up.
func (supervisor *Supervisor) refuse(job *job, reason messenger.Reason, detail string, retryAfter time.Duration) {
	outcome := OutcomeRefused
	if !job.knownNotToRun() {
		outcome = OutcomeGivenUp
	}
	supervisor.end(job, JobEnded{Outcome: outcome, Reason: reason, Detail: detail, RetryAfter: retryAfter})
}

// giveUp ends a job whose caller's time is over.
func (supervisor *Supervisor) giveUp(job *job) {
	supervisor.decided(messenger.Decision{
		Kind: messenger.DecisionGivenUp, Job: job.spec.Job, Host: job.parts[0].lead, Tasks: job.left, Elapsed: supervisor.now.Sub(job.arrivedAt),
	})
	supervisor.refuse(job, messenger.ReasonDeadlinePassed, "the deadline passed before every task was done", 0)
}

// endAll answers every job that is left when this host ends. Its callers would else see
// their connections close, and not know whether to wait or to ask elsewhere.
func (supervisor *Supervisor) endAll() {
	for _, id := range supervisor.jobs.Keys() {
		supervisor.refuse(supervisor.jobs.Get(id), messenger.ReasonShuttingDown, "this host shuts down", supervisor.Settings.RetryAfter)
	}
}

// end answers every waiter and forgets the job. Whatever still runs is stopped by the
// lead.
func (supervisor *Supervisor) end(job *job, ended JobEnded) {
	id := job.spec.Job
	ended.Job = id
	for _, waiter := range job.waiters {
		answer := ended
		answer.Waiter = waiter
		supervisor.emit(&answer)
	}
	supervisor.decided(messenger.Decision{
		Kind: messenger.DecisionAnswered, Job: id, Reason: endReason(&ended), Failed: ended.Outcome != OutcomeComplete, Tasks: len(job.tasks), Elapsed: supervisor.now.Sub(job.arrivedAt),
	})
	if ended.Outcome != OutcomeComplete {
		supervisor.releaseAll(job)
	}
	supervisor.forget(job)
}

// endReason names an outcome together with why it came to it.
func endReason(ended *JobEnded) string {
	if ended.Reason == messenger.ReasonNone {
		return ended.Outcome.String()
	}
	return ended.Outcome.String() + "/" + ended.Reason.String()
}

func (supervisor *Supervisor) forget(job *job) {
	supervisor.timers.Clear(deadlineTimer(job.spec.Job))
	for _, part := range job.parts {
		supervisor.timers.Clear(silenceTimer(job, part))
	}
	supervisor.jobs.Remove(job.spec.Job)
	supervisor.remember(job)
}

func deadlineTimer(id identifier.JobID) timerKey { return timerKey{kind: timerDeadline, job: id} }

// callerLeft drops a job that nobody waits for any more.
func (supervisor *Supervisor) callerLeft(input *CallerLeft) {
	job := supervisor.jobs.Get(input.Job)
	if job == nil {
		return
	}
	job.waiters = slices.DeleteFunc(job.waiters, func(waiter WaiterID) bool { return waiter == input.Waiter })
	if len(job.waiters) > 0 {
		return
	}
	supervisor.decided(messenger.Decision{
		Kind: messenger.DecisionCallerLeft, Job: input.Job, Tasks: job.left, Elapsed: supervisor.now.Sub(job.arrivedAt),
	})
	supervisor.releaseAll(job)
	supervisor.forget(job)
}
