package allocator

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// An orphan is a run that a backend server lists and that no job here has asked for. A lead
// finds the runs of the one before it so. Mostly the host of the job names it at once; where
// that host has crashed it is stopped after a while.

// addOrphan keeps the room of a run that no job here asked for, until its host has named
// it or it has been stopped.
func (allocator *Allocator) addOrphan(server *server, key messenger.RunKey) {
	needs := allocator.estimates.usualNeeds()
	orphan := &run{
		key: key, server: server.card.Server, needs: needs, confirmed: true,
		grantedAt: allocator.now, absentAfter: allocator.now,
	}
	orphan.expectIn(allocator.now, allocator.Settings.OrphanWait)
	server.runs[key] = orphan
	server.used = server.used.Add(needs)
	allocator.orphans++
	if job := allocator.jobs.Get(key.Job); job != nil && !holds(&job.request, orphan) {
		// Its host has asked already, and would have named it.
		allocator.stop(orphan, "sent again")
		return
	}
	if allocator.runsNamed {
		allocator.stop(orphan, "no host asks for it")
		return
	}
	due := allocator.now.Add(allocator.Settings.OrphanWait)
	allocator.timers.Set(stopTimer(orphan), due)
}

// stopOrphans stops what no host has named, once all have: while a server has such a run, the
// leases of the others there are not renewed.
func (allocator *Allocator) stopOrphans() {
	if !allocator.Leads() || allocator.runsNamed {
		return
	}
	allocator.runsNamed = true
	if allocator.orphans == 0 {
		return
	}
	allocator.servers.Each(func(_ identifier.ServerIncarnation, server *server) bool {
		for _, run := range server.runsInOrder() {
			if run.job == nil {
				allocator.stop(run, "no host asks for it")
			}
		}
		return true
	})
}

// claim gives a run, mostly an orphan, to the job that asked for it.
func (allocator *Allocator) claim(orphan *run, job *job) {
	if !orphan.stopping {
		// One that is stopping is told so again until it answers.
		allocator.timers.Clear(stopTimer(orphan))
	}
	if orphan.job == nil {
		allocator.orphans--
	}
	orphan.job = job
	allocator.changed = true
}

// orphansOf lists the orphans of a job that a request doesn't name, one for each task.
func (allocator *Allocator) orphansOf(request *messenger.RoomRequest) []*run {
	if allocator.orphans == 0 {
		return nil
	}
	var orphans []*run
	allocator.servers.Each(func(_ identifier.ServerIncarnation, server *server) bool {
		for key, run := range server.runs {
			if run.job == nil && key.Job == request.Job && !holds(request, run) && !hasTask(orphans, key.Task) {
				orphans = append(orphans, run)
			}
		}
		return true
	})
	slices.SortFunc(orphans, func(first, second *run) int { return compareKeys(first.key, second.key) })
	return orphans
}

// isOrphaned tells whether a job has runs that no job here asked for.
func (allocator *Allocator) isOrphaned(id identifier.JobID) bool {
	return len(allocator.orphansOf(&messenger.RoomRequest{Job: id})) > 0
}

// holds tells whether a request names a run.
func holds(request *messenger.RoomRequest, run *run) bool {
	return slices.ContainsFunc(request.Held, func(held messenger.HeldRun) bool {
		return held.RoomTask.Task == run.key.Task && held.Run == run.key.Run && held.Server == run.server
	})
}

func hasTask(runs []*run, task messenger.TaskIndex) bool {
	return slices.ContainsFunc(runs, func(run *run) bool { return run.key.Task == task })
}

// endEarlierSending lets a request wait until the orphans of its job are over: its caller has
// sent the job again, and the host of the first sending is gone or asks no more. Placed at
// once, a task would run beside its orphan.
func (allocator *Allocator) endEarlierSending(input *RoomRequested, orphans []*run) {
	earlier := &job{request: input.Request, from: input.From, lastRun: allocator.lastRunOf(&input.Request)}
	earlier.deadline = allocator.now.Add(input.Request.Remaining)
	for _, orphan := range orphans {
		allocator.claim(orphan, earlier)
		earlier.lastRun = max(earlier.lastRun, orphan.key.Run)
		earlier.tasks = append(earlier.tasks, task{room: messenger.RoomTask{Task: orphan.key.Task, Needs: orphan.needs}, run: orphan})
	}
	allocator.jobs.Put(input.Request.Job, earlier)
	allocator.timers.Set(timerKey{kind: timerJobDeadline, job: input.Request.Job}, earlier.deadline)
	allocator.succeed(earlier, input)
}
