package allocator

import (
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// admit decides what happens to a new job: it gets capacity, waits, goes to another lead or is
// rejected. This handles bursts beyond the capacity and the loss of a third of it: a job that
// cannot be in time is rejected before anything of it has started.
func (allocator *Allocator) admit(job *job) {
	if allocator.adoptHeld(job) {
		return
	}
	allocator.repeatHandoffs(job)
	if allocator.evacuated() {
		allocator.admitEvacuated(job)
		return
	}
	if reason, never := allocator.neverFits(job); never {
		allocator.reject(job, messenger.ReasonNeverRunnable, reason, 0)
		return
	}
	if job.request.Partial {
		job.granted = true
		allocator.placeOrQueue(job, 0)
		return
	}
	tasks := make([]*task, 0, len(job.tasks))
	for index := range job.tasks {
		tasks = append(tasks, &job.tasks[index])
	}
	plan := allocator.plan(job, tasks, false)
	if !plan.inTime {
		allocator.reject(job, messenger.ReasonDeadlineUnreachable, "the room is taken for longer than the job can wait", plan.wait)
		return
	}
	allocator.placeOrQueue(job, plan.wait)
}

// placeOrQueue grants the tasks of a job capacity or queues them.
func (allocator *Allocator) placeOrQueue(job *job, wait time.Duration) {
	for index := range job.tasks {
		allocator.queueTask(job, &job.tasks[index])
	}
	allocator.placeJob(job)
	allocator.handOffTasks(job)
	switch {
	case job.queued > 0:
		allocator.notifyWaiting(job, wait)
	case job.hasBlockedTask():
		// Without an answer its host would assume that this lead is down and request from another
		// cell, which knows nothing of the task.
		allocator.answerJob(job, messenger.CapacityAnswer{Job: job.request.Job, Kind: messenger.CapacityAnswerWaiting})
	case len(job.tasks) == 0:
		job.closed = true
		allocator.dropIfOver(job)
	}
}

// notifyWaiting notifies the host that the job waits, and has the job rejected when it cannot be in
// time any more and nothing of it has started.
func (allocator *Allocator) notifyWaiting(job *job, predicted time.Duration) {
	allocator.answerJob(job, messenger.CapacityAnswer{Job: job.request.Job, Kind: messenger.CapacityAnswerWaiting})
	allocator.logDecision(messenger.Decision{
		Kind: messenger.DecisionWaits, Job: job.request.Job, Tasks: job.queued, Predicted: predicted, FreeSlots: allocator.freeSlots(),
	})
	if !job.granted {
		allocator.timers.Set(timerKey{kind: timerJobStart, job: job.request.Job}, job.startBy)
	}
}

func (allocator *Allocator) startOverdue(id identifier.JobID) {
	if job := allocator.jobs.Get(id); job != nil && !job.granted && !job.closed {
		allocator.reject(job, messenger.ReasonDeadlineUnreachable, "no room came free in time", allocator.usualWait())
	}
}

// reject notifies a host that its job gets no capacity; none of its runs was granted here.
func (allocator *Allocator) reject(job *job, reason messenger.Reason, detail string, wait time.Duration) {
	allocator.answerJob(job, messenger.CapacityAnswer{
		Job: job.request.Job, Kind: messenger.CapacityAnswerTurnedAway, Reason: reason, Detail: detail, RetryAfter: wait,
	})
	allocator.logDecision(messenger.Decision{
		Kind: messenger.DecisionTurnedAway, Job: job.request.Job, Reason: detail, Tasks: len(job.tasks),
		Elapsed: allocator.now.Sub(job.arrivedAt), Predicted: wait, FreeSlots: allocator.freeSlots(),
	})
	allocator.unqueue(job)
	job.closed = true
	allocator.dropIfOver(job)
}

// announceTime is how long after the start of this process every living backend server has reported
// here or to another host: two heartbeats of 1.5 s.
const announceTime = 3 * time.Second

// neverFits reports whether some task of a job is larger than every server here, and why. It
// concludes nothing while no server is known, nor shortly after the start: with only the first few
// servers known, a caller would be told that its job can never run although it runs a second later.
func (allocator *Allocator) neverFits(job *job) (string, bool) {
	if !allocator.startedAt.Add(announceTime).Due(allocator.now) {
		return "", false
	}
	known := false
	for index := range job.tasks {
		fits := false
		allocator.servers.Each(func(_ identifier.ServerIncarnation, server *server) bool {
			if server.retired || !server.hasReported() || server.report.Service != job.request.Service {
				return true
			}
			known = true
			fits = job.tasks[index].requested.Needs.Fits(server.report.Capacity) && server.hasLabel(job.request.RequiredLabel)
			return !fits
		})
		if !fits && known {
			return "a task is larger than every backend server", true
		}
	}
	return "", false
}

// adoptHeld takes over the runs that an earlier lead granted, and reports whether the request named
// any. Tasks whose run is not there any more are placed again.
func (allocator *Allocator) adoptHeld(job *job) bool {
	if len(job.request.ActiveRuns) == 0 {
		return false
	}
	job.granted = true
	for _, activeRun := range job.request.ActiveRuns {
		allocator.adopt(job, activeRun)
	}
	for index := range job.tasks {
		if task := &job.tasks[index]; task.run == nil && !task.done {
			allocator.queueTask(job, task)
		}
	}
	allocator.closeIfDone(job)
	return true
}

// adopt takes over a run that another lead granted. Only two things prove that it is over: the
// server's answer to a call that is sent from now on under this lead's epoch, or the end of every
// lease that another lead may have granted up to now.
//
// What this host knew of the server before is no proof: another lead with a higher epoch may have
// started the run there since. The task would run twice, and the log would show a run that was
// adopted as "not listed" and ends well.
func (allocator *Allocator) adopt(job *job, activeRun messenger.ActiveRun) {
	key := messenger.RunKey{Job: job.request.Job, Task: activeRun.TaskRequest.Task, Run: activeRun.Run}
	task := job.task(activeRun.TaskRequest.Task)
	if end := allocator.unmatchedEnds.Get(unmatchedEnd{server: activeRun.Server, run: key}); end != nil {
		allocator.logAdopted(key, activeRun.Server, "ended: "+end.String())
		if *end == EndDone {
			task.done = true
			allocator.emit(&NotifyDone{To: job.from, Done: messenger.TaskDone{RunKey: key}})
		}
		return
	}
	server := allocator.servers.Get(activeRun.Server)
	if server == nil {
		server = allocator.joinUnannounced(job, activeRun)
	}
	known := server.runs[key]
	if known != nil {
		allocator.logAdopted(key, activeRun.Server, "listed")
		server.used = server.used.Sub(known.needs)
	} else {
		allocator.logAdopted(key, activeRun.Server, server.knownState())
		known = &run{key: key, server: activeRun.Server, job: job, grantedAt: allocator.now, absentAfter: allocator.now}
		server.runs[key] = known
		allocator.assumeOtherLeases(server)
	}
	known.needs = activeRun.TaskRequest.Needs
	allocator.assignRun(known, job)
	known.setExpectedTime(allocator.now, server.runTime(allocator.estimates.expectedRunTime(job.request.Queue, activeRun.TaskRequest.Declared)))
	allocator.timers.Set(overdueTimer(known), allocator.now.Add(known.overdueAfter(slowAfter)))
	server.used = server.used.Add(known.needs)
	if task.account.IsSuspect() {
		server.markSuspect(known)
	}
	task.run = known
	allocator.poll(server)
}

// logAdopted logs what was known of a run that another lead granted.
func (allocator *Allocator) logAdopted(key messenger.RunKey, server identifier.ServerIncarnation, knowledge string) {
	allocator.logDecision(messenger.Decision{
		Kind: messenger.DecisionAdopted, Job: key.Job, Task: key.Task, Run: key.Run, Server: server, Reason: knowledge, Epoch: allocator.epoch,
	})
}

// freeSlots is how many tasks of the usual size could start now. Before the first task their size
// is unknown, and each server counts as one slot.
func (allocator *Allocator) freeSlots() int {
	freeSlots := 0
	allocator.servers.Each(func(_ identifier.ServerIncarnation, server *server) bool {
		if allocator.usable(server) {
			freeSlots += allocator.estimates.slotsIn(server.free())
		}
		return true
	})
	return freeSlots
}

// expectedEnds lists when runs are expected to end and free their capacity, the earliest first. A
// run that should have ended is expected to go on for another tenth of its expected time, as
// nothing is known about how much longer it takes.
func (allocator *Allocator) expectedEnds() []identifier.Moment {
	var ends []identifier.Moment
	allocator.servers.Each(func(_ identifier.ServerIncarnation, server *server) bool {
		if server.retired || server.silent || server.report.Draining {
			return true
		}
		for _, run := range server.runs {
			end := run.expectedEnd
			if end.Due(allocator.now) {
				end = allocator.now.Add(run.expectedTime / overdueFraction)
			}
			ends = append(ends, end)
		}
		return true
	})
	slices.Sort(ends)
	return ends
}

// overdueFraction divides the expected time of an overdue run into the part, a tenth, that it is
// estimated to go on.
const overdueFraction = 10

// usualWait is after how long a rejected job is worth a retry: half of the current runs should have
// ended by then.
func (allocator *Allocator) usualWait() time.Duration {
	ends := allocator.expectedEnds()
	if len(ends) == 0 {
		return minRetryAfter
	}
	return max(ends[len(ends)/2].Sub(allocator.now), minRetryAfter)
}

// minRetryAfter keeps callers from retrying within the burst in which they were rejected.
const minRetryAfter = 250 * time.Millisecond
