package allocator

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/assessor"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// run is the capacity of one run on one server, from its grant until it is provably over.
type run struct {
	key    messenger.RunKey
	server identifier.ServerIncarnation
	needs  identifier.Resources
	// job is nil for an unclaimed run.
	job *job
	// confirmed is set once the server has listed the run.
	confirmed bool
	// stopping is set once the run is no longer wanted.
	stopping bool
	// stopAnswered is set once the server has accepted the stop: the run ends within the stop time
	// or its start will be refused.
	stopAnswered bool
	grantedAt    identifier.Moment
	// epoch is the fence under which the run was granted here; zero where another lead granted it.
	epoch identifier.Epoch
	// absentAfter is the time after which a call must be sent so that an answer without the run
	// proves that it is over; before, its start may be under way.
	absentAfter  identifier.Moment
	expectedEnd  identifier.Moment
	expectedTime time.Duration
	// moved is set if the run was granted on an earlier incarnation of the server.
	moved bool
	// suspect is set if servers may crash under the task: its server gets no other such task
	// meanwhile.
	suspect bool
	// unsettled is set once a call for the run's start got no answer.
	unsettled *unsettledStart
	// assessedSlow is set once the run was counted against the server for taking too long.
	assessedSlow bool
}

// setExpectedTime records that the run is expected to end after a time. Once that time has passed,
// it also serves to estimate how much longer the run may take.
func (run *run) setExpectedTime(now identifier.Moment, expected time.Duration) {
	run.expectedEnd = now.Add(expected)
	run.expectedTime = expected
}

// absenceProvesEnd reports whether the answer to a call sent at sentAt, which does not list the
// run, proves that the run is over and will never start.
func (run *run) absenceProvesEnd(sentAt identifier.Moment) bool {
	return run.confirmed && run.grantedAt.Before(sentAt) || run.absentAfter.Before(sentAt)
}

// matchesReport reports whether a start report is about this run. Runs of an earlier submission, or
// of an earlier epoch, may have had its number, and an answer to their start may come late: taken
// for that of this run it would end a run that is at work.
func (run *run) matchesReport(report *messenger.StartReport) bool {
	return run.server == report.Server && (run.epoch == 0 || run.epoch == report.Epoch)
}

// grant grants a task capacity on a server.
func (allocator *Allocator) grant(job *job, task *task, server *server) messenger.GrantedRun {
	job.lastRun++
	key := messenger.RunKey{Job: job.request.Job, Task: task.requested.Task, Run: job.lastRun}
	lease := allocator.extendLease(server)
	created := &run{
		key: key, server: server.report.Server, needs: task.requested.Needs, job: job, grantedAt: allocator.now,
		absentAfter: server.lapsesAt(allocator.now), epoch: server.fence,
	}
	created.setExpectedTime(allocator.now, server.runTime(allocator.estimates.expectedRunTime(job.request.Queue, task.requested.Declared)))
	server.runs[key] = created
	if task.account.IsSuspect() {
		server.markSuspect(created)
	}
	server.used = server.used.Add(task.requested.Needs)
	task.run = created
	earlierSettled := task.earlierSettled
	task.earlierSettled = false
	allocator.timers.Set(overdueTimer(created), created.grantedAt.Add(created.overdueAfter(slowAfter)))
	allocator.estimates.recordNeeds(task.requested.Needs)
	allocator.poll(server)
	return messenger.GrantedRun{
		Task: key.Task, Run: key.Run, Server: server.report.Server, Address: server.report.Address, LeaseEnd: lease,
		Account: task.account, Fence: server.fence, EarlierSettled: earlierSettled,
	}
}

// confirmRun records that a server lists a run.
func (allocator *Allocator) confirmRun(server *server, key messenger.RunKey) {
	if known := server.runs[key]; known != nil {
		known.confirmed = true
		server.confirmMoved(known)
		return
	}
	allocator.addUnclaimedRun(server, key)
}

func stopTimer(run *run) timerKey {
	return timerKey{kind: timerRunStop, server: run.server, run: run.key}
}

// stop stops a run that is not wanted any more.
func (allocator *Allocator) stop(run *run, reason string) {
	if run.stopping {
		return
	}
	run.stopping = true
	allocator.logDecision(messenger.Decision{
		Kind: messenger.DecisionStopped, Job: run.key.Job, Task: run.key.Task, Run: run.key.Run, Server: run.server, Reason: reason,
	})
	allocator.sendStop(run)
}

func (allocator *Allocator) sendStop(run *run) {
	server := allocator.servers.Get(run.server)
	if server == nil {
		return
	}
	allocator.timers.Clear(stopTimer(run))
	allocator.emit(&StopRun{Server: run.server, Address: server.report.Address, Run: run.key, Epoch: server.fence})
}

// handleStopAnswer handles the answer to a stop.
func (allocator *Allocator) handleStopAnswer(input *StopReturned) {
	server := allocator.servers.Get(input.Server)
	if server == nil {
		return
	}
	run := server.runs[input.Run]
	if run == nil {
		return
	}
	switch input.Outcome {
	case CallAnswered:
		run.stopAnswered = true
		allocator.retryPlacement = true
		allocator.timers.Set(stopTimer(run), allocator.now.Add(allocator.Settings.StopTime+stopMargin))
	case CallGone:
		allocator.endIncarnation(server, "another incarnation answers")
	case CallFenced:
		// The refusal of a stop under an earlier epoch says nothing about this one.
		if input.Epoch == server.fence && !allocator.fencedBySameID(server) {
			allocator.handleFenced(server)
			allocator.poll(server)
		}
		allocator.timers.Set(stopTimer(run), allocator.now.Add(allocator.Settings.StopRetry))
	case CallUnanswered:
		allocator.timers.Set(stopTimer(run), allocator.now.Add(allocator.Settings.StopRetry))
	}
}

// stopMargin is added to the time that a stop takes, for the difference of the clocks.
const stopMargin = 10 * time.Millisecond

// stopDue handles the timer of a run that is to end. The wait for the host of an unclaimed run is
// over, a stop is to be repeated, or a run whose stop was answered is over although its end was not
// listed: it was never there, and never will be.
func (allocator *Allocator) stopDue(id identifier.ServerIncarnation, key messenger.RunKey) {
	server := allocator.servers.Get(id)
	if server == nil {
		return
	}
	run := server.runs[key]
	switch {
	case run == nil:
	case run.stopAnswered:
		allocator.endRun(server, run, "stopped")
	case run.stopping:
		allocator.sendStop(run)
	case run.job == nil:
		allocator.stop(run, "no host asks for it")
	}
}

// completeRun handles the successful end of a run.
func (allocator *Allocator) completeRun(server *server, ended *run) {
	allocator.releaseRun(server, ended)
	job := ended.job
	if job == nil {
		allocator.keepUnmatchedEnd(server, ended.key, EndDone)
		return
	}
	if job.successor != nil {
		allocator.keepUnmatchedEnd(server, ended.key, EndDone)
	}
	ran := allocator.now.Sub(ended.grantedAt)
	task := job.task(ended.key.Task)
	allocator.assessRun(ended, job, false, ran)
	allocator.recordRunTime(server, ended, task, ran)
	if task.run != ended {
		return
	}
	task.run = nil
	task.done = true
	allocator.logSlowRun(server, ended, job)
	allocator.emit(&NotifyDone{To: job.from, Done: messenger.TaskDone{RunKey: ended.key}})
	allocator.closeIfDone(job)
}

// handleUnsuccessfulEnd handles a listed end of a run that has not done its work.
func (allocator *Allocator) handleUnsuccessfulEnd(server *server, ended *run, kind EndKind) {
	if kind == EndFailed && ended.job != nil {
		allocator.assessRun(ended, ended.job, true, allocator.now.Sub(ended.grantedAt))
		task := ended.job.task(ended.key.Task)
		if task.run == ended {
			task.account.Failures++
			task.avoid = server.report.Server
		}
	}
	allocator.endRun(server, ended, kind.String())
}

// endRun records that a run is provably over without having done its work. Its task is placed
// again, unless too many of its runs have failed. A run that a late call may begin again is kept.
func (allocator *Allocator) endRun(server *server, ended *run, reason string) {
	if allocator.awaitStart(server, ended) {
		return
	}
	allocator.releaseRun(server, ended)
	job := ended.job
	if job == nil {
		return
	}
	task := job.task(ended.key.Task)
	if task.run != ended {
		allocator.dropIfOver(job)
		return
	}
	task.run = nil
	task.earlierSettled = ended.unsettled != nil
	allocator.logDecision(messenger.Decision{
		Kind: messenger.DecisionRunOver, Job: ended.key.Job, Task: ended.key.Task, Run: ended.key.Run, Server: server.report.Server,
		Reason: reason, Elapsed: allocator.now.Sub(ended.grantedAt), Epoch: allocator.epoch,
	})
	if job.closed {
		if job.successor != nil {
			// The host that sends the next request may name the run.
			allocator.keepUnmatchedEnd(server, ended.key, EndStopped)
		}
		allocator.dropIfOver(job)
		return
	}
	if task.account.IsExhausted(job.request.Attempts) {
		allocator.failJob(job, messenger.ReasonTaskFailed, "a task failed as often as it may")
		return
	}
	allocator.queueTask(job, task)
}

// endAllRuns ends every run of a server.
func (allocator *Allocator) endAllRuns(server *server, reason string) {
	for _, run := range server.runsInOrder() {
		run.settleStart()
		allocator.endRun(server, run, reason)
	}
}

// releaseRun removes a run that is over and frees its capacity.
func (allocator *Allocator) releaseRun(server *server, ended *run) {
	allocator.detach(server, ended)
	if ended.job == nil {
		allocator.unclaimedRuns--
	}
	allocator.retryPlacement = true
	if !server.needsPolling() {
		allocator.stopCalling(server.report.Server)
	}
}

// assessRun passes the outcome of a run to the assessor of the servers. After a lost answer an end
// is learned late and the server looks slow, which is how its users experience it.
func (allocator *Allocator) assessRun(ended *run, job *job, failed bool, ran time.Duration) {
	if server := allocator.servers.Get(ended.server); server != nil {
		ran = scaled(ran, 1/server.healthFactor)
	}
	allocator.healthInputs = append(allocator.healthInputs, &assessor.TaskEnded{
		Server: assessedID(ended.server), Origin: assessor.Origin{Team: identifier.TeamID(job.request.Queue)}, Failed: failed, RunTime: ran,
	})
}
