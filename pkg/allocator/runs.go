package allocator

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/assessor"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// run is the room of one run on one server, from its grant until it is surely over.
type run struct {
	key    messenger.RunKey
	server identifier.ServerIncarnation
	needs  identifier.Resources
	// job is nil for a run that no job here asked for.
	job *job
	// confirmed tells that the server has listed the run.
	confirmed bool
	// stopping tells that the run is no longer wanted.
	stopping bool
	// stopAnswered tells that the server has carried the stop out: the run ends within
	// the stop time or will be refused.
	stopAnswered bool
	grantedAt    identifier.Moment
	// epoch is the fence under which the run was granted here; zero where another lead did.
	epoch identifier.Epoch
	// absentAfter is from when a call's answer that doesn't list the run proves that it
	// is over; before, its start may be under way.
	absentAfter  identifier.Moment
	expectedEnd  identifier.Moment
	expectedTime time.Duration
	// moved tells that the run was granted on an earlier life of the server.
	moved bool
	// suspect tells that servers may crash under the task: its server gets no other such one meanwhile.
	suspect bool
	// judgedSlow tells that the server was judged by how long the run takes already.
	judgedSlow bool
}

// expectIn notes that the run is expected to end after a time. Once that has passed,
// the time also tells how much longer the run may take.
func (run *run) expectIn(now identifier.Moment, expected time.Duration) {
	run.expectedEnd = now.Add(expected)
	run.expectedTime = expected
}

// absenceProves tells whether the answer to a call sent at sentAt, which does not
// list the run, proves that it is over and will never start.
func (run *run) absenceProves(sentAt identifier.Moment) bool {
	return run.confirmed && run.grantedAt.Before(sentAt) || run.absentAfter.Before(sentAt)
}

// isStartedBy tells whether a report is on the start of the run. Runs of an earlier sending,
// or of an earlier epoch, may have had its number, and an answer to their start may come late:
// taken for that of this run it would settle a run that is at work.
func (run *run) isStartedBy(report *messenger.StartReport) bool {
	return run.server == report.Server && (run.epoch == 0 || run.epoch == report.Epoch)
}

// grant gives a task room on a server.
func (allocator *Allocator) grant(job *job, task *task, server *server) messenger.GrantedRun {
	job.lastRun++
	key := messenger.RunKey{Job: job.request.Job, Task: task.room.Task, Run: job.lastRun}
	lease := allocator.extendLease(server)
	created := &run{
		key: key, server: server.card.Server, needs: task.room.Needs, job: job, grantedAt: allocator.now,
		absentAfter: server.lapsesAt(allocator.now), epoch: server.fence,
	}
	created.expectIn(allocator.now, allocator.estimates.runTime(job.request.Queue, task.room.Declared))
	server.runs[key] = created
	if task.account.Suspect() {
		server.markSuspect(created)
	}
	server.used = server.used.Add(task.room.Needs)
	task.run = created
	allocator.timers.Set(overdueTimer(created), created.grantedAt.Add(created.overdueAfter(slowAfter)))
	allocator.estimates.noteNeeds(task.room.Needs)
	allocator.hold(server)
	return messenger.GrantedRun{
		Task: key.Task, Run: key.Run, Server: server.card.Server, Address: server.card.Address, LeaseEnd: lease,
		Account: task.account, Fence: server.fence,
	}
}

// confirmRun notes that a server lists a run.
func (allocator *Allocator) confirmRun(server *server, key messenger.RunKey) {
	if known := server.runs[key]; known != nil {
		known.confirmed = true
		server.settleMoved(known)
		return
	}
	allocator.addOrphan(server, key)
}

func stopTimer(run *run) timerKey {
	return timerKey{kind: timerRunStop, server: run.server, run: run.key}
}

// stop has a run ended that is not wanted any more.
func (allocator *Allocator) stop(run *run, reason string) {
	if run.stopping {
		return
	}
	run.stopping = true
	allocator.decided(messenger.Decision{
		Kind: messenger.DecisionStopped, Job: run.key.Job, Task: run.key.Task, Run: run.key.Run, Server: run.server, Reason: reason,
	})
	allocator.callStop(run)
}

func (allocator *Allocator) callStop(run *run) {
	server := allocator.servers.Get(run.server)
	if server == nil {
		return
	}
	allocator.timers.Clear(stopTimer(run))
	allocator.emit(&StopRun{Server: run.server, Address: server.card.Address, Run: run.key, Epoch: server.fence})
}

// takeStop takes the answer to a stop.
func (allocator *Allocator) takeStop(input *StopReturned) {
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
		allocator.changed = true
		allocator.timers.Set(stopTimer(run), allocator.now.Add(allocator.Settings.StopTime+stopMargin))
	case CallGone:
		allocator.endLife(server, "another incarnation answers")
	case CallFenced:
		// The refusal of an earlier epoch's stop says nothing about this one.
		if input.Epoch == server.fence && !allocator.fencedByNamesake(server) {
			allocator.takeRefusal(server)
			allocator.hold(server)
		}
		allocator.timers.Set(stopTimer(run), allocator.now.Add(allocator.Settings.StopRetry))
	case CallUnanswered:
		allocator.timers.Set(stopTimer(run), allocator.now.Add(allocator.Settings.StopRetry))
	}
}

// stopMargin is added to the time that a stop takes, for the clocks' difference.
const stopMargin = 10 * time.Millisecond

// stopDue is when an orphan's wait is over, a stop is sent again, or a stopped run is
// over although no end of it was listed: it was never there, and never will be.
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
		allocator.callStop(run)
	case run.job == nil:
		allocator.stop(run, "no host asks for it")
	}
}

// finishRun takes the good end of a run.
func (allocator *Allocator) finishRun(server *server, ended *run) {
	allocator.forgetRun(server, ended)
	job := ended.job
	if job == nil {
		allocator.keepStrayEnd(server, ended.key, EndDone)
		return
	}
	if job.successor != nil {
		allocator.keepStrayEnd(server, ended.key, EndDone)
	}
	ran := allocator.now.Sub(ended.grantedAt)
	task := job.task(ended.key.Task)
	allocator.judgeRun(ended, job, false, ran)
	allocator.estimates.learn(job.request.Queue, task.room.Declared, ran)
	if task.run != ended {
		return
	}
	task.run = nil
	task.done = true
	allocator.emit(&TellDone{To: job.from, Done: messenger.TaskDone{RunKey: ended.key}})
	allocator.closeIfDone(job)
}

// endRunBy takes a listed end that is not a good one.
func (allocator *Allocator) endRunBy(server *server, ended *run, kind EndKind) {
	if kind == EndFailed && ended.job != nil {
		allocator.judgeRun(ended, ended.job, true, allocator.now.Sub(ended.grantedAt))
		task := ended.job.task(ended.key.Task)
		if task.run == ended {
			task.account.Failures++
			task.avoid = server.card.Server
		}
	}
	allocator.endRun(server, ended, kind.String())
}

// endRun notes that a run is surely over without having done its work. Its task is
// placed again, unless too many of its runs have failed.
func (allocator *Allocator) endRun(server *server, ended *run, reason string) {
	allocator.forgetRun(server, ended)
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
	allocator.decided(messenger.Decision{
		Kind: messenger.DecisionRunOver, Job: ended.key.Job, Task: ended.key.Task, Run: ended.key.Run, Server: server.card.Server,
		Reason: reason, Elapsed: allocator.now.Sub(ended.grantedAt), Epoch: allocator.epoch,
	})
	if job.closed {
		if job.successor != nil {
			// The host that asks again may name the run.
			allocator.keepStrayEnd(server, ended.key, EndStopped)
		}
		allocator.dropIfOver(job)
		return
	}
	if task.account.Spent(job.request.Attempts) {
		allocator.failJob(job, messenger.ReasonTaskFailed, "a task failed as often as it may")
		return
	}
	allocator.queueTask(job, task)
}

// endAllRuns ends every run of a server.
func (allocator *Allocator) endAllRuns(server *server, reason string) {
	for _, run := range server.runsInOrder() {
		allocator.endRun(server, run, reason)
	}
}

// forgetRun gives the room of a run back.
func (allocator *Allocator) forgetRun(server *server, ended *run) {
	allocator.detach(server, ended)
	if ended.job == nil {
		allocator.orphans--
	}
	allocator.changed = true
	if !server.toCall() {
		allocator.stopCalling(server.card.Server)
	}
}

// judgeRun hands the outcome of a run to the judge of the servers. After a lost answer an
// end is learned late and the server looks slow: that is as its users see it.
func (allocator *Allocator) judgeRun(ended *run, job *job, failed bool, ran time.Duration) {
	allocator.judged = append(allocator.judged, &assessor.TaskEnded{
		Server: judgedAs(ended.server), Origin: assessor.Origin{Team: identifier.TeamID(job.request.Queue)}, Failed: failed, RunTime: ran,
	})
}
