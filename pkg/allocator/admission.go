package allocator

import (
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// admit decides what becomes of a job that has just come: it gets room, waits, goes
// to another lead, or is turned away. It answers bursts beyond the room and the loss
// of a third of it: what can't be in time is told so before anything has started.
func (allocator *Allocator) admit(job *job) {
	if allocator.adoptHeld(job) {
		return
	}
	allocator.giveAgain(job)
	if allocator.evacuated() {
		allocator.admitEvacuated(job)
		return
	}
	if reason, never := allocator.neverFits(job); never {
		allocator.turnAway(job, messenger.ReasonNeverRunnable, reason, 0)
		return
	}
	if job.request.Part {
		job.granted = true
		allocator.takeIn(job, 0)
		return
	}
	tasks := make([]*task, 0, len(job.tasks))
	for index := range job.tasks {
		tasks = append(tasks, &job.tasks[index])
	}
	plan := allocator.plan(job, tasks, false)
	if !plan.inTime {
		allocator.turnAway(job, messenger.ReasonDeadlineUnreachable, "the room is taken for longer than the job can wait", plan.wait)
		return
	}
	allocator.takeIn(job, plan.wait)
}

// takeIn gives the tasks of a job room, or lets them wait.
func (allocator *Allocator) takeIn(job *job, wait time.Duration) {
	for index := range job.tasks {
		allocator.queueTask(job, &job.tasks[index])
	}
	allocator.placeJob(job)
	allocator.shareOut(job)
	switch {
	case job.queued > 0:
		allocator.wait(job, wait)
	case job.held():
		// Without a word its host would take this lead for silent and ask another cell, which knows
		// nothing of the task.
		allocator.answerJob(job, messenger.RoomAnswer{Job: job.request.Job, Kind: messenger.RoomAnswerWaiting})
	case len(job.tasks) == 0:
		job.closed = true
		allocator.dropIfOver(job)
	}
}

// wait tells the host that the job waits, and turns the job away when it can't be in
// time any more and nothing of it has started.
func (allocator *Allocator) wait(job *job, predicted time.Duration) {
	allocator.answerJob(job, messenger.RoomAnswer{Job: job.request.Job, Kind: messenger.RoomAnswerWaiting})
	allocator.decided(messenger.Decision{
		Kind: messenger.DecisionWaits, Job: job.request.Job, Tasks: job.queued, Predicted: predicted, Spots: allocator.spots(),
	})
	if !job.granted {
		allocator.timers.Set(timerKey{kind: timerJobStart, job: job.request.Job}, job.startBy)
	}
}

func (allocator *Allocator) startOverdue(id identifier.JobID) {
	if job := allocator.jobs.Get(id); job != nil && !job.granted && !job.closed {
		allocator.turnAway(job, messenger.ReasonDeadlineUnreachable, "no room came free in time", allocator.usualWait())
	}
}

// turnAway tells a host that its job gets no room; none of its runs was granted here.
func (allocator *Allocator) turnAway(job *job, reason messenger.Reason, detail string, wait time.Duration) {
	allocator.answerJob(job, messenger.RoomAnswer{
		Job: job.request.Job, Kind: messenger.RoomAnswerTurnedAway, Reason: reason, Detail: detail, RetryAfter: wait,
	})
	allocator.decided(messenger.Decision{
		Kind: messenger.DecisionTurnedAway, Job: job.request.Job, Reason: detail, Tasks: len(job.tasks),
		Elapsed: allocator.now.Sub(job.arrivedAt), Predicted: wait, Spots: allocator.spots(),
	})
	allocator.unqueue(job)
	job.closed = true
	allocator.dropIfOver(job)
}

// announceTime is how long after the start of this process every living backend server
// has announced itself here or to another host: two heartbeats of 1.5 s.
const announceTime = 3 * time.Second

// neverFits tells whether some task of a job is larger than every server here. While
// no server is known nothing is concluded, nor shortly after the start: with the first
// few servers that were heard of, a caller would be told that its job can never run
// which runs a second later.
func (allocator *Allocator) neverFits(job *job) (string, bool) {
	if !allocator.startedAt.Add(announceTime).Due(allocator.now) {
		return "", false
	}
	known := false
	for index := range job.tasks {
		fits := false
		allocator.servers.Each(func(_ identifier.ServerIncarnation, server *server) bool {
			if server.retired || !server.announced() || server.card.Service != job.request.Service {
				return true
			}
			known = true
			fits = job.tasks[index].room.Needs.Fits(server.card.Capacity) && server.hasLabel(job.request.Label)
			return !fits
		})
		if !fits && known {
			return "a task is larger than every backend server", true
		}
	}
	return "", false
}

// adoptHeld takes over the runs that an earlier lead granted, and tells whether the
// request named any. What is not there any more is placed again.
func (allocator *Allocator) adoptHeld(job *job) bool {
	if len(job.request.Held) == 0 {
		return false
	}
	job.granted = true
	for _, held := range job.request.Held {
		allocator.adopt(job, held)
	}
	for index := range job.tasks {
		if task := &job.tasks[index]; task.run == nil && !task.done {
			allocator.queueTask(job, task)
		}
	}
	allocator.closeIfDone(job)
	return true
}

// adopt takes over a run that another lead granted. Whether it is over the server has to
// tell, in answer to a call that is sent from now on under this lead's epoch, or the end of
// every lease that another lead may have given up to now.
//
// What this host knew of the server before is no proof: another lead with a higher epoch may
// have started the run there since. The task would run twice, and the log would show a run
// adopted as "not listed" that ends well.
func (allocator *Allocator) adopt(job *job, held messenger.HeldRun) {
	key := messenger.RunKey{Job: job.request.Job, Task: held.RoomTask.Task, Run: held.Run}
	task := job.task(held.RoomTask.Task)
	if end := allocator.strayEnds.Get(strayEnd{server: held.Server, run: key}); end != nil {
		allocator.noteAdopted(key, held.Server, "ended: "+end.String())
		if *end == EndDone {
			task.done = true
			allocator.emit(&TellDone{To: job.from, Done: messenger.TaskDone{RunKey: key}})
		}
		return
	}
	server := allocator.servers.Get(held.Server)
	if server == nil {
		server = allocator.joinUnannounced(job, held)
	}
	known := server.runs[key]
	if known != nil {
		allocator.noteAdopted(key, held.Server, "listed")
		server.used = server.used.Sub(known.needs)
	} else {
		allocator.noteAdopted(key, held.Server, server.standing())
		known = &run{key: key, server: held.Server, job: job, grantedAt: allocator.now, absentAfter: allocator.now}
		server.runs[key] = known
		allocator.coverOtherLeases(server)
	}
	known.needs = held.RoomTask.Needs
	allocator.claim(known, job)
	known.expectIn(allocator.now, allocator.estimates.runTime(job.request.Queue, held.RoomTask.Declared))
	allocator.timers.Set(overdueTimer(known), allocator.now.Add(known.overdueAfter(slowAfter)))
	server.used = server.used.Add(known.needs)
	if task.account.Suspect() {
		server.markSuspect(known)
	}
	task.run = known
	allocator.hold(server)
}

// noteAdopted reports what was known of a run that another lead granted.
func (allocator *Allocator) noteAdopted(key messenger.RunKey, server identifier.ServerIncarnation, knowledge string) {
	allocator.decided(messenger.Decision{
		Kind: messenger.DecisionAdopted, Job: key.Job, Task: key.Task, Run: key.Run, Server: server, Reason: knowledge, Epoch: allocator.epoch,
	})
}

// spots is how many tasks of the usual size could start now. Before the first task nobody knows
// their size, and each server counts as room for one.
func (allocator *Allocator) spots() int {
	spots := 0
	allocator.servers.Each(func(_ identifier.ServerIncarnation, server *server) bool {
		if allocator.usable(server) {
			spots += allocator.estimates.spotsIn(server.free())
		}
		return true
	})
	return spots
}

// expectedEnds lists when room is expected to come free, the earliest first. A run
// that should have ended is expected to end after another tenth of its time: how much
// longer it takes nobody knows.
func (allocator *Allocator) expectedEnds() []identifier.Moment {
	var ends []identifier.Moment
	allocator.servers.Each(func(_ identifier.ServerIncarnation, server *server) bool {
		if server.retired || server.silent || server.card.Draining {
			return true
		}
		for _, run := range server.runs {
			end := run.expectedEnd
			if end.Due(allocator.now) {
				end = allocator.now.Add(run.expectedTime / overdueShare)
			}
			ends = append(ends, end)
		}
		return true
	})
	slices.Sort(ends)
	return ends
}

// overdueShare is the part of its time that an overdue run is thought to go on.
const overdueShare = 10

// usualWait is when a job that was turned away is worth another try: half of what
// runs should have ended by then.
func (allocator *Allocator) usualWait() time.Duration {
	ends := allocator.expectedEnds()
	if len(ends) == 0 {
		return minRetryAfter
	}
	return max(ends[len(ends)/2].Sub(allocator.now), minRetryAfter)
}

// minRetryAfter keeps callers from coming back within the burst that turned them
// away.
const minRetryAfter = 250 * time.Millisecond
