package supervisor

import (
	"cmp"
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// handleJobArrived accepts a job. If the job is already in progress, the caller becomes another
// waiter for the same job.
func (supervisor *Supervisor) handleJobArrived(input *JobArrived) {
	id := input.Job.Job
	if existing := supervisor.jobs.Get(id); existing != nil {
		existing.waiters = append(existing.waiters, input.Waiter)
		return
	}
	if supervisor.resume(input) {
		return
	}
	created := &job{
		spec: input.Job, waiters: []WaiterID{input.Waiter}, arrivedAt: supervisor.now, deadline: input.Deadline,
		tasks: make([]task, len(input.Job.Tasks)), tasksLeft: len(input.Job.Tasks), retryAfter: input.RetryAfter,
	}
	group := created.addGroup()
	for index := range created.tasks {
		created.tasks[index].group = group
	}
	supervisor.jobs.Put(id, created)
	supervisor.timers.Set(deadlineTimer(id), input.Deadline)
	supervisor.logDecision(messenger.Decision{
		Kind: messenger.DecisionArrived, Job: id, Tasks: len(created.tasks), Reason: string(input.Job.Queue),
	})
	supervisor.requestFromHome(created, group)
}

// handleGrant starts the granted runs. A lead whose request was withdrawn gets its capacity back.
func (supervisor *Supervisor) handleGrant(input *GrantArrived) {
	job, group := supervisor.groupForAnswer(input.Grant.Job, input.From, input.Grant.Cell, input.Grant.RequestNumber)
	if group == nil {
		// A lead that has received a newer request got its release before that request.
		if _, pending := supervisor.groupAt(input.Grant.Job, input.From, input.Grant.Cell); pending == nil {
			supervisor.release(input.From, input.Grant.Cell, input.Grant.Job)
		}
		return
	}
	group.answered = true
	if supervisor.evacuations.Has(group.cell.FailureDomain) || supervisor.now.Before(supervisor.backlogEndsAt) {
		supervisor.withhold(job, group, &input.Grant)
		return
	}
	group.granted = true
	for _, run := range input.Grant.Runs {
		if int(run.Task) >= len(job.tasks) || job.tasks[run.Task].done || job.tasks[run.Task].group != group {
			continue
		}
		job.lastRun = max(job.lastRun, run.Run)
		job.spec.Tasks[run.Task].Account.Merge(run.Account)
		task := &job.tasks[run.Task]
		if task.mustWithhold(&run) {
			task.ended = true
			unsettled := supervisor.unsettled(task)
			supervisor.withholdRun(group, &input.Grant, &run, &unsettled)
			continue
		}
		task.unanswered, task.ended = false, false
		supervisor.call(task, &StartRun{
			Server: run.Server, Address: run.Address, Run: messenger.RunKey{Job: job.spec.Job, Task: run.Task, Run: run.Run},
			Epoch: cmp.Or(run.Fence, input.Grant.Epoch), LeaseEnd: run.LeaseEnd, Payload: job.spec.Payload,
			FailureDomain: group.cell.FailureDomain, Service: job.spec.Service,
		})
	}
}

// backlogTime is how long after a suspension of this host grants may arrive that were sent before.
const backlogTime = 50 * time.Millisecond

// withhold starts none of the granted runs and reports this to the lead. The lead granted them
// before it learned that its failure domain is evacuated, or while this host was suspended: a later
// grant may have replaced them, and a server that has restarted since refuses neither.
func (supervisor *Supervisor) withhold(job *job, group *group, grant *messenger.Grant) {
	for _, run := range grant.Runs {
		job.lastRun = max(job.lastRun, run.Run)
		supervisor.withholdRun(group, grant, &run, nil)
	}
}

// withholdRun reports to the lead that a granted run isn't started, and because of which unsettled
// start, if any.
func (supervisor *Supervisor) withholdRun(group *group, grant *messenger.Grant, run *messenger.GrantedRun, unsettled *messenger.UnsettledStart) {
	supervisor.emit(&ReportStart{To: group.lead, Report: messenger.StartReport{
		RunKey: messenger.RunKey{Job: grant.Job, Task: run.Task, Run: run.Run}, Outcome: messenger.StartWithheld,
		Epoch: cmp.Or(run.Fence, grant.Epoch), Cell: group.cell.Cell, Server: run.Server, Unsettled: unsettled,
	}})
}

// maxStartRepeats bounds how often an unanswered start call is repeated. Three calls of 150 ms
// take less than half of the lease under which a run may start.
const maxStartRepeats = 2

// handleStartReturned handles the answer to a start call. If the start was not accepted, the lead
// finds out what became of the run and places the task elsewhere.
//
// If there is no answer, most often only the answer is lost and the run is active. Stopping it
// would waste its work, so the call is repeated first. The call is idempotent by the number of the
// run, and its lease bounds it like the first call, which may also arrive late.
func (supervisor *Supervisor) handleStartReturned(input *StartReturned) {
	job := supervisor.jobs.Get(input.Run.Job)
	if job == nil || input.Outcome == messenger.StartAccepted || int(input.Run.Task) >= len(job.tasks) {
		return
	}
	outcome := input.Outcome
	task := &job.tasks[input.Run.Task]
	if !task.matchesLastStart(input) {
		return // Another run has been granted since; the lead knows what became of this one.
	}
	if outcome == messenger.StartUnanswered {
		task.unanswered = true
	}
	if task.ended {
		return // The lead finds out whether a call begins the run again.
	}
	if !task.done {
		switch {
		case outcome == messenger.StartUnanswered && task.start.Repeats < maxStartRepeats && !supervisor.evacuations.Has(task.start.FailureDomain):
			supervisor.repeatCall(task)
			supervisor.logDecision(messenger.Decision{
				Kind: messenger.DecisionStartRepeated, Job: job.spec.Job, Task: input.Run.Task, Run: input.Run.Run, Server: task.start.Server,
				Tasks: task.start.Repeats, Elapsed: supervisor.now.Sub(job.arrivedAt), Epoch: input.Epoch,
			})
			return
		case outcome == messenger.StartStaleRun && task.start.Repeats > 0:
			return // An earlier call was executed; its server reports the end to the lead.
		case task.start.Repeats > 0 && outcome != messenger.StartServerGone:
			// An earlier call may have started the run, or may still arrive. If the lead
			// treated the run as ended, its task would run twice at the same time.
			outcome = messenger.StartUnanswered
		}
	}
	if group := task.group; group.lead != "" {
		supervisor.emit(&ReportStart{To: group.lead, Report: messenger.StartReport{
			RunKey: input.Run, Outcome: outcome, Epoch: input.Epoch, Cell: group.cell.Cell, Server: input.Server,
		}})
	}
}

// matchesLastStart reports whether an answer belongs to the start of the run that was granted
// last. The run number alone doesn't decide this: an earlier submission of the job, or an earlier
// epoch of its lead, may have used the same number.
func (task *task) matchesLastStart(returned *StartReturned) bool {
	start := task.start
	return start != nil && start.Run == returned.Run && start.Server == returned.Server && start.Epoch == returned.Epoch
}

func (supervisor *Supervisor) handleDone(input *TaskDoneArrived) {
	key := input.Done.RunKey
	job := supervisor.jobs.Get(key.Job)
	if job == nil || int(key.Task) >= len(job.tasks) || job.tasks[key.Task].done {
		return
	}
	job.tasks[key.Task].done = true
	job.tasksLeft--
	if job.tasksLeft == 0 {
		supervisor.end(job, JobEnded{Outcome: OutcomeComplete})
	}
}

func (supervisor *Supervisor) handleAnswer(input *AnswerArrived) {
	answer := &input.Answer
	job, group := supervisor.groupForAnswer(answer.Job, input.From, answer.Cell, answer.RequestNumber)
	if group == nil {
		return
	}
	group.answered = true
	job.earlierMayHaveStarted = job.earlierMayHaveStarted || answer.GrantedBefore
	switch answer.Kind {
	case messenger.CapacityAnswerWaiting:
	case messenger.CapacityAnswerTurnedAway:
		supervisor.refuse(job, answer.Reason, answer.Detail, answer.RetryAfter)
	case messenger.CapacityAnswerAskOther:
		supervisor.followReferral(job, group, answer)
	case messenger.CapacityAnswerFailed:
		supervisor.end(job, JobEnded{Outcome: OutcomeFailed, Reason: answer.Reason, Detail: answer.Detail})
	case messenger.CapacityAnswerEvacuated:
		supervisor.moveFromEvacuated(job, group, answer)
	case messenger.CapacityAnswerNotLed:
		group.answered = false
		if !supervisor.mayInquire() || !supervisor.requestElsewhere(job, group) {
			supervisor.waitForLead(job, group)
		}
	case messenger.CapacityAnswerKnownElsewhere:
		supervisor.awaitHome(job, group)
	}
}

// release notifies the lead of a cell that a job needs no more capacity.
func (supervisor *Supervisor) release(to identifier.HostID, cell messenger.CellNumber, job identifier.JobID) {
	supervisor.emit(&ReleaseCapacity{To: to, Release: messenger.CapacityRelease{Job: job, Cell: cell}})
}

func (supervisor *Supervisor) releaseAll(job *job) {
	for _, group := range job.groups {
		if group.lead != "" {
			supervisor.release(group.lead, group.cell.Cell, job.spec.Job)
		}
	}
}

// refuse ends a job as refused if it provably has not run, and as given up otherwise.
func (supervisor *Supervisor) refuse(job *job, reason messenger.Reason, detail string, retryAfter time.Duration) {
	outcome := OutcomeRefused
	if !job.provablyNotRun() {
		outcome = OutcomeGivenUp
	}
	supervisor.end(job, JobEnded{Outcome: outcome, Reason: reason, Detail: detail, RetryAfter: retryAfter})
}

// giveUp ends a job whose deadline has passed.
func (supervisor *Supervisor) giveUp(job *job) {
	supervisor.logDecision(messenger.Decision{
		Kind: messenger.DecisionGivenUp, Job: job.spec.Job, Host: job.groups[0].lead, Tasks: job.tasksLeft, Elapsed: supervisor.now.Sub(job.arrivedAt),
	})
	supervisor.refuse(job, messenger.ReasonDeadlinePassed, "the deadline passed before every task was done", 0)
}

// endAll answers every remaining job when this host shuts down. Otherwise the callers would see
// their connections close and not know whether to wait or to submit elsewhere.
func (supervisor *Supervisor) endAll() {
	for _, id := range supervisor.jobs.Keys() {
		supervisor.refuse(supervisor.jobs.Get(id), messenger.ReasonShuttingDown, "this host shuts down", supervisor.Settings.RetryAfter)
	}
}

// end answers every waiter and removes the job. The lead stops whatever is still running.
func (supervisor *Supervisor) end(job *job, ended JobEnded) {
	id := job.spec.Job
	ended.Job = id
	for _, waiter := range job.waiters {
		answer := ended
		answer.Waiter = waiter
		supervisor.emit(&answer)
	}
	supervisor.logDecision(messenger.Decision{
		Kind: messenger.DecisionAnswered, Job: id, Reason: endReason(&ended), Failed: ended.Outcome != OutcomeComplete, Tasks: len(job.tasks), Elapsed: supervisor.now.Sub(job.arrivedAt),
	})
	if ended.Outcome != OutcomeComplete {
		supervisor.releaseAll(job)
	}
	supervisor.remove(job)
}

// endReason returns OUTCOME or OUTCOME/REASON for the log.
func endReason(ended *JobEnded) string {
	if ended.Reason == messenger.ReasonNone {
		return ended.Outcome.String()
	}
	return ended.Outcome.String() + "/" + ended.Reason.String()
}

func (supervisor *Supervisor) remove(job *job) {
	supervisor.timers.Clear(deadlineTimer(job.spec.Job))
	for _, group := range job.groups {
		supervisor.timers.Clear(leadTimer(job, group))
	}
	supervisor.jobs.Remove(job.spec.Job)
	supervisor.retain(job)
}

func deadlineTimer(id identifier.JobID) timerKey { return timerKey{kind: timerDeadline, job: id} }

// handleCallerLeft removes a waiter, and the job if no caller waits for it any more.
func (supervisor *Supervisor) handleCallerLeft(input *CallerLeft) {
	job := supervisor.jobs.Get(input.Job)
	if job == nil {
		return
	}
	job.waiters = slices.DeleteFunc(job.waiters, func(waiter WaiterID) bool { return waiter == input.Waiter })
	if len(job.waiters) > 0 {
		return
	}
	supervisor.logDecision(messenger.Decision{
		Kind: messenger.DecisionCallerLeft, Job: input.Job, Tasks: job.tasksLeft, Elapsed: supervisor.now.Sub(job.arrivedAt),
	})
	supervisor.releaseAll(job)
	supervisor.remove(job)
}
