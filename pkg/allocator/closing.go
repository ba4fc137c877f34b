package allocator

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// handleRelease ends a job that its host no longer wants.
func (allocator *Allocator) handleRelease(from identifier.HostID, id identifier.JobID) {
	job := allocator.jobs.Get(id)
	if job == nil {
		return
	}
	job.dropSuccessor(from)
	if job.from == from {
		allocator.close(job, "released")
	}
}

// dropSuccessor drops a request that waits for the end of an earlier submission, once its host
// releases the job. If it were still granted, nobody would start its runs, and they would be
// granted anew each time their leases have lapsed.
func (job *job) dropSuccessor(from identifier.HostID) {
	if job.successor != nil && job.successor.From == from {
		job.successor = nil
	}
}

// handleHostGone ends the jobs of a host that is gone: nobody waits for them.
func (allocator *Allocator) handleHostGone(host identifier.HostID) {
	for _, id := range allocator.jobs.Keys() {
		job := allocator.jobs.Get(id)
		if job == nil {
			continue
		}
		job.dropSuccessor(host)
		if job.from == host {
			allocator.close(job, "its host is gone")
		}
	}
}

// failJob notifies the host that its job cannot be completed, and closes the job.
func (allocator *Allocator) failJob(job *job, reason messenger.Reason, detail string) {
	allocator.answerJob(job, messenger.CapacityAnswer{
		Job: job.request.Job, Kind: messenger.CapacityAnswerFailed, Reason: reason, Detail: detail,
	})
	allocator.close(job, detail)
}

func (allocator *Allocator) expireJob(id identifier.JobID) {
	if job := allocator.jobs.Get(id); job != nil {
		allocator.close(job, "its time is over")
	}
}

// close requests no more capacity for a job and stops its runs.
func (allocator *Allocator) close(job *job, reason string) {
	allocator.unqueue(job)
	if !job.closed {
		job.closed = true
		for index := range job.tasks {
			if run := job.tasks[index].run; run != nil {
				allocator.stop(run, reason)
			}
		}
	}
	allocator.dropIfOver(job)
}

// closeIfDone closes a job whose tasks are all done.
func (allocator *Allocator) closeIfDone(job *job) {
	if job.allDone() {
		job.closed = true
	}
	allocator.dropIfOver(job)
}

func (job *job) allDone() bool {
	return !slices.ContainsFunc(job.tasks, func(task task) bool { return !task.done })
}

// dropIfOver forgets a closed job that has no runs left, and continues with its resubmission.
func (allocator *Allocator) dropIfOver(job *job) {
	if !job.closed || job.liveRuns() > 0 || allocator.jobs.Get(job.request.Job) != job {
		return
	}
	id := job.request.Job
	allocator.jobs.Remove(id)
	allocator.clearJobTimers(id)
	last := job.lastRun
	allocator.lastRuns.Put(id, &last)
	allocator.keepAccounts(job)
	if len(job.handoffs) > 0 {
		allocator.handoffs.Put(id, &job.handoffs)
	}
	allocator.timers.Set(timerKey{kind: timerJobForget, job: id}, allocator.now.Add(allocator.Settings.ForgetJob))
	if next := job.successor; next != nil {
		job.successor = nil
		allocator.handleRequest(next)
	}
}

func (job *job) liveRuns() int {
	live := 0
	for index := range job.tasks {
		if job.tasks[index].run != nil {
			live++
		}
	}
	return live
}

func (allocator *Allocator) clearJobTimers(id identifier.JobID) {
	allocator.timers.Clear(timerKey{kind: timerJobDeadline, job: id})
	allocator.timers.Clear(timerKey{kind: timerJobStart, job: id})
	allocator.timers.Clear(timerKey{kind: timerReopen, job: id})
}
