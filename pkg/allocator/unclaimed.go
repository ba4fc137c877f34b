package allocator

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// An unclaimed run is a run that a backend server lists and that no job here has requested. This is
// how a lead finds the runs of the previous lead. Mostly the host of the job reports the run at
// once; if that host has crashed, the run is stopped after UnclaimedWait.

// addUnclaimedRun counts the capacity of a run that no job here has requested, until its host has
// reported it or it has been stopped.
func (allocator *Allocator) addUnclaimedRun(server *server, key messenger.RunKey) {
	needs := allocator.estimates.usualNeeds()
	unclaimed := &run{
		key: key, server: server.report.Server, needs: needs, confirmed: true,
		grantedAt: allocator.now, absentAfter: allocator.now,
	}
	unclaimed.setExpectedTime(allocator.now, allocator.Settings.UnclaimedWait)
	server.runs[key] = unclaimed
	server.used = server.used.Add(needs)
	allocator.unclaimedRuns++
	if job := allocator.jobs.Get(key.Job); job != nil && !namesRun(&job.request, unclaimed) {
		// Its host has sent its request already, and would have named the run.
		allocator.stop(unclaimed, "sent again")
		return
	}
	if allocator.runsReported {
		allocator.stop(unclaimed, "no host asks for it")
		return
	}
	due := allocator.now.Add(allocator.Settings.UnclaimedWait)
	allocator.timers.Set(stopTimer(unclaimed), due)
}

// handleRunsReported stops the runs that no host has reported, once all hosts have: while a server
// has such a run, the leases of the others there are not renewed.
func (allocator *Allocator) handleRunsReported() {
	if !allocator.Leads() || allocator.runsReported {
		return
	}
	allocator.runsReported = true
	if allocator.unclaimedRuns == 0 {
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

// assignRun assigns a run, mostly an unclaimed one, to the job that requested it.
func (allocator *Allocator) assignRun(assigned *run, job *job) {
	if !assigned.stopping {
		// The stop of a stopping run is repeated until the server answers.
		allocator.timers.Clear(stopTimer(assigned))
	}
	if assigned.job == nil {
		allocator.unclaimedRuns--
	}
	assigned.job = job
	allocator.retryPlacement = true
}

// unclaimedRunsOf lists the unclaimed runs of a job that a request doesn't name, one for each task.
func (allocator *Allocator) unclaimedRunsOf(request *messenger.CapacityRequest) []*run {
	if allocator.unclaimedRuns == 0 {
		return nil
	}
	var unclaimed []*run
	allocator.servers.Each(func(_ identifier.ServerIncarnation, server *server) bool {
		for key, run := range server.runs {
			if run.job == nil && key.Job == request.Job && !namesRun(request, run) && !hasTask(unclaimed, key.Task) {
				unclaimed = append(unclaimed, run)
			}
		}
		return true
	})
	slices.SortFunc(unclaimed, func(first, second *run) int { return compareKeys(first.key, second.key) })
	return unclaimed
}

// hasUnclaimedRuns reports whether a job has runs that no job here has requested.
func (allocator *Allocator) hasUnclaimedRuns(id identifier.JobID) bool {
	return len(allocator.unclaimedRunsOf(&messenger.CapacityRequest{Job: id})) > 0
}

// namesRun reports whether a request names a run.
func namesRun(request *messenger.CapacityRequest, run *run) bool {
	return slices.ContainsFunc(request.ActiveRuns, func(activeRun messenger.ActiveRun) bool {
		return activeRun.TaskRequest.Task == run.key.Task && activeRun.Run == run.key.Run && activeRun.Server == run.server
	})
}

func hasTask(runs []*run, task messenger.TaskIndex) bool {
	return slices.ContainsFunc(runs, func(run *run) bool { return run.key.Task == task })
}

// endEarlierSubmission makes a request wait until the unclaimed runs of its job are over: its
// caller has resubmitted the job, and the host of the first submission is gone or requests no more.
// Placed at once, a task would run beside its unclaimed run.
func (allocator *Allocator) endEarlierSubmission(input *CapacityRequested, unclaimed []*run) {
	earlier := &job{request: input.Request, from: input.From, lastRun: allocator.lastRunOf(&input.Request)}
	earlier.deadline = allocator.now.Add(input.Request.Remaining)
	for _, unclaimed := range unclaimed {
		allocator.assignRun(unclaimed, earlier)
		earlier.lastRun = max(earlier.lastRun, unclaimed.key.Run)
		earlier.tasks = append(earlier.tasks, task{requested: messenger.TaskRequest{Task: unclaimed.key.Task, Needs: unclaimed.needs}, run: unclaimed})
	}
	allocator.jobs.Put(input.Request.Job, earlier)
	allocator.timers.Set(timerKey{kind: timerJobDeadline, job: input.Request.Job}, earlier.deadline)
	allocator.supersede(earlier, input)
}
