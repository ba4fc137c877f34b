package supervisor

import (
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
	created := &job{
		spec: input.Job, waiters: []WaiterID{input.Waiter}, arrivedAt: supervisor.now, deadline: input.Deadline,
		tasks: make([]task, len(input.Job.Tasks)), left: len(input.Job.Tasks), tried: make(map[messenger.CellRef]bool),
	}
	supervisor.jobs.Put(id, created)
	supervisor.timers.Set(timerKey{timerDeadline, id}, input.Deadline)
	supervisor.decided(messenger.Decision{
		Kind: messenger.DecisionArrived, Job: id, Tasks: len(created.tasks), Reason: string(input.Job.Queue),
	})
	supervisor.askHome(created)
}

// homeOf is the cell that a job is asked for first. Cells of a failure domain share its
// jobs evenly.
func (supervisor *Supervisor) homeOf(job *job) messenger.CellRef {
	cell := messenger.CellOf(identifier.SubmissionID(job.spec.Job), max(supervisor.Cells, 1))
	return messenger.CellRef{FailureDomain: supervisor.FailureDomain, Cell: cell}
}

// askHome asks the lead of the job's home, or another lead where the home has none.
func (supervisor *Supervisor) askHome(job *job) {
	home := supervisor.homeOf(job)
	if lead := supervisor.leadOf(home); lead != "" {
		supervisor.ask(job, lead, home)
		return
	}
	if supervisor.askElsewhere(job) {
		return
	}
	job.lead = ""
	supervisor.timers.Set(timerKey{timerSilence, job.spec.Job}, supervisor.now.Add(supervisor.leadWait(job)))
}

// leadWait is how long a job waits for somebody to lead: as long as it can still be in
// time. A lost lead is replaced in about a second, all leads after a start of all hosts in
// some 0.1 s; a caller that is told to come back in a second has lost more than that.
func (supervisor *Supervisor) leadWait(job *job) time.Duration {
	longest := time.Duration(0)
	for index := range job.spec.Tasks {
		longest = max(longest, job.spec.Tasks[index].Declared)
	}
	spare := time.Duration(float64(longest)*(job.spec.Stretch-1)) + job.spec.Allowance
	return max(spare, supervisor.Settings.LeadWait)
}

// askElsewhere asks a lead that was not asked yet, one of the own failure domain first.
// A job with runs stays with its cell: another lead doesn't know the order of epochs at
// the servers that have them, and would fence their own lead off.
func (supervisor *Supervisor) askElsewhere(job *job) bool {
	if job.granted {
		return false
	}
	var found messenger.CellRef
	supervisor.leads.Each(func(cell messenger.CellRef, lead *lead) bool {
		if lead.host != "" && !job.tried[cell] {
			if found.FailureDomain == "" || cell.FailureDomain == supervisor.FailureDomain {
				found = cell
			}
		}
		return true
	})
	if found.FailureDomain == "" {
		return false
	}
	supervisor.ask(job, supervisor.leadOf(found), found)
	return true
}

// ask sends a lead a request for all that the job still needs.
func (supervisor *Supervisor) ask(job *job, lead identifier.HostID, cell messenger.CellRef) {
	job.lead = lead
	job.cell = cell
	job.heard = false
	job.tried[cell] = true
	job.silentFrom = supervisor.now
	request := messenger.RoomRequest{
		Job: job.spec.Job, Cell: cell.Cell, Service: job.spec.Service, Queue: job.spec.Queue, Urgency: job.spec.Urgency,
		Attempts: job.spec.Attempts, Label: job.spec.Label, Near: job.spec.Near, PerServer: job.spec.PerServer,
		Elapsed: supervisor.now.Sub(job.arrivedAt), Stretch: job.spec.Stretch, Allowance: job.spec.Allowance,
		Remaining: job.deadline.Sub(supervisor.now), HandedOver: cell != supervisor.homeOf(job), RunsBelow: job.lastRun,
	}
	for index := range job.tasks {
		task := &job.tasks[index]
		switch {
		case task.done:
		case task.start != nil:
			request.Held = append(request.Held, messenger.HeldRun{
				RoomTask: job.spec.Tasks[index], Run: task.start.Run.Run, Server: task.start.Server, Address: task.start.Address,
			})
		default:
			request.Tasks = append(request.Tasks, job.spec.Tasks[index])
		}
	}
	supervisor.timers.Set(timerKey{timerSilence, job.spec.Job}, supervisor.now.Add(supervisor.Settings.LeadSilence))
	supervisor.emit(&AskRoom{To: lead, Request: request})
	supervisor.decided(messenger.Decision{
		Kind: messenger.DecisionAsked, Job: job.spec.Job, Host: lead, Tasks: len(request.Tasks), Elapsed: request.Elapsed,
	})
}

// leadSilent turns to another lead when nothing at all was heard from the one that was
// asked, as long as nothing of the job has started. A host that is frozen or cut off
// says nothing for seconds, while the caller waits for tenths of one.
//
// A lead that is only slow is waited for. If its jobs went to the other leads as well,
// one busy lead would become four: in a burst of 1.2 times the usual load 5,269 of 6,506
// jobs were turned away with most of the room free.
func (supervisor *Supervisor) leadSilent(job *job) {
	if job.heard || job.granted {
		return
	}
	if heardAt := supervisor.heardAt[job.lead]; job.lead != "" && job.silentFrom.Before(heardAt) {
		job.silentFrom = supervisor.now
		supervisor.timers.Set(timerKey{timerSilence, job.spec.Job}, supervisor.now.Add(supervisor.Settings.LeadSilence))
		return
	}
	if job.lead != "" {
		supervisor.release(job.lead, job.cell.Cell, job.spec.Job)
		if len(job.tried) < leadsTried && supervisor.askElsewhere(job) {
			return
		}
	}
	supervisor.refuse(job, messenger.ReasonNoBackendServer, "no lead answers", supervisor.Settings.RetryAfter)
}

// leadsTried is how many silent leads are asked for one job: the failure domain's own
// and one more. Where both are silent, this host is more likely cut off itself.
const leadsTried = 2

// changeLead follows who leads a failure domain. Jobs that were with the former lead
// are asked for again; what they have running is named, so that the new lead knows
// whose runs those are.
func (supervisor *Supervisor) changeLead(input *LeadKnown) {
	changed := lead{host: input.Host, epoch: input.Epoch}
	if known := supervisor.leads.Get(input.Cell); known != nil && *known == changed {
		return
	}
	supervisor.leads.Put(input.Cell, &changed)
	if input.Host == "" {
		supervisor.loseCell(input.Cell)
		return
	}
	for _, id := range supervisor.jobs.Keys() {
		job := supervisor.jobs.Get(id)
		if job.cell == input.Cell || job.lead == "" && !job.granted {
			supervisor.ask(job, input.Host, input.Cell)
		}
	}
}

// loseCell gives up the jobs that have runs in another failure domain where nobody leads
// any more, as far as is seen here: it is most likely cut off. Whether they still run
// nobody here can find out in time, and their callers would wait in vain.
func (supervisor *Supervisor) loseCell(cell messenger.CellRef) {
	if cell.FailureDomain == supervisor.FailureDomain {
		return
	}
	for _, id := range supervisor.jobs.Keys() {
		if job := supervisor.jobs.Get(id); job.cell == cell && job.granted {
			supervisor.refuse(job, messenger.ReasonTaskUnknown, "the failure domain that runs the job is out of reach", 0)
		}
	}
}

// takeGrant starts the granted runs. A lead that is not asked any more gets its room
// back.
func (supervisor *Supervisor) takeGrant(input *GrantArrived) {
	job := supervisor.jobs.Get(input.Grant.Job)
	if job == nil || job.lead != input.From || job.cell.Cell != input.Grant.Cell {
		supervisor.release(input.From, input.Grant.Cell, input.Grant.Job)
		return
	}
	job.heard = true
	job.granted = true
	for _, run := range input.Grant.Runs {
		if int(run.Task) >= len(job.tasks) || job.tasks[run.Task].done {
			continue
		}
		job.lastRun = max(job.lastRun, run.Run)
		task := &job.tasks[run.Task]
		task.start = &StartRun{
			Server: run.Server, Address: run.Address, Run: messenger.RunKey{Job: job.spec.Job, Task: run.Task, Run: run.Run},
			Epoch: input.Grant.Epoch, LeaseEnd: run.LeaseEnd, Payload: job.spec.Payload,
		}
		task.repeats = 0
		supervisor.emit(task.start)
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
	if task := &job.tasks[input.Run.Task]; task.start != nil && task.start.Run == input.Run && !task.done {
		switch {
		case outcome == messenger.StartUnanswered && task.repeats < startRepeats:
			task.repeats++
			supervisor.emit(task.start)
			return
		case outcome == messenger.StartStaleRun && task.repeats > 0:
			return // An earlier call was carried out; the lead learns of its end.
		case task.repeats > 0 && outcome != messenger.StartServerGone:
			// An earlier call may be at work, or still under way. If the lead took the run
			// for settled, its task would run twice at once.
			outcome = messenger.StartUnanswered
		}
	}
	if job.lead != "" {
		supervisor.emit(&ReportStart{To: job.lead, Report: messenger.StartReport{
			RunKey: input.Run, Outcome: outcome, Epoch: input.Epoch, Cell: job.cell.Cell,
		}})
	}
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
	job := supervisor.jobs.Get(answer.Job)
	if job == nil || job.lead != input.From || job.cell.Cell != answer.Cell {
		return
	}
	job.heard = true
	switch answer.Kind {
	case messenger.RoomAnswerWaiting:
	case messenger.RoomAnswerTurnedAway:
		supervisor.refuse(job, answer.Reason, answer.Detail, answer.RetryAfter)
	case messenger.RoomAnswerAskOther:
		supervisor.askOther(job, answer)
	case messenger.RoomAnswerFailed:
		supervisor.end(job, JobEnded{Outcome: OutcomeFailed, Reason: answer.Reason, Detail: answer.Detail})
	case messenger.RoomAnswerNotLed:
		job.heard = false
		if !supervisor.askElsewhere(job) {
			job.lead = ""
		}
	}
}

// askOther follows a lead that sends the job to another cell.
func (supervisor *Supervisor) askOther(job *job, answer *messenger.RoomAnswer) {
	lead := supervisor.leadOf(answer.Other)
	if lead == "" {
		supervisor.refuse(job, messenger.ReasonNoBackendServer, "the lead that has room is gone", answer.RetryAfter)
		return
	}
	supervisor.ask(job, lead, answer.Other)
}

// release tells a lead that a job needs no more room.
func (supervisor *Supervisor) release(to identifier.HostID, cell messenger.CellNumber, job identifier.JobID) {
	supervisor.emit(&ReleaseRoom{To: to, Release: messenger.RoomRelease{Job: job, Cell: cell}})
}

// refuse tells a job's callers that it has not run, or, where a run of it may have
// started, that its time was given up.
func (supervisor *Supervisor) refuse(job *job, reason messenger.Reason, detail string, retryAfter time.Duration) {
	outcome := OutcomeRefused
	if job.granted {
		outcome = OutcomeGivenUp
	}
	supervisor.end(job, JobEnded{Outcome: outcome, Reason: reason, Detail: detail, RetryAfter: retryAfter})
}

// giveUp ends a job whose caller's time is over.
func (supervisor *Supervisor) giveUp(job *job) {
	supervisor.decided(messenger.Decision{
		Kind: messenger.DecisionGivenUp, Job: job.spec.Job, Host: job.lead, Tasks: job.left, Elapsed: supervisor.now.Sub(job.arrivedAt),
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
	if job.lead != "" && ended.Outcome != OutcomeComplete {
		supervisor.release(job.lead, job.cell.Cell, id)
	}
	supervisor.forget(id)
}

// endReason names an outcome together with why it came to it.
func endReason(ended *JobEnded) string {
	if ended.Reason == messenger.ReasonNone {
		return ended.Outcome.String()
	}
	return ended.Outcome.String() + "/" + ended.Reason.String()
}

func (supervisor *Supervisor) forget(id identifier.JobID) {
	supervisor.timers.Clear(timerKey{timerDeadline, id})
	supervisor.timers.Clear(timerKey{timerSilence, id})
	supervisor.jobs.Remove(id)
}

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
	if job.lead != "" {
		supervisor.release(job.lead, job.cell.Cell, input.Job)
	}
	supervisor.forget(input.Job)
}
