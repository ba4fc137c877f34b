package allocator

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// handoff is the tasks of a job that are handed to another cell.
type handoff struct {
	cell  messenger.CellRef
	tasks []messenger.TaskIndex
}

// handOffTasks hands those waiting tasks of a job off to other cells that start sooner there.
//
// A failure domain at seven tenths of its capacity has a handful of slots free, and a wide job
// wants them all at once; no cell has capacity for the whole of it while all together have four
// times as much. Without handoffs the widest jobs are rejected in calm seconds.
//
// Tasks are handed off once the job's first task starts. While nothing of the job has begun it can
// still be rejected; with an earlier handoff, jobs that become late would go on.
func (allocator *Allocator) handOffTasks(job *job) {
	if job.request.HandedOff || job.queued == 0 || allocator.remotes.Len() == 0 {
		return
	}
	tasks := job.pending()
	plan := allocator.plan(job, tasks, true)
	if len(plan.releases) == 0 || !job.granted && !allocator.evacuated() && !plan.startsElsewhereNow(allocator) {
		return
	}
	var handoffs []handoff
	for index, release := range plan.releases {
		if release.remote == nil {
			continue
		}
		position := slices.IndexFunc(handoffs, func(handedOff handoff) bool { return handedOff.cell == release.cell })
		if position < 0 {
			position = len(handoffs)
			handoffs = append(handoffs, handoff{cell: release.cell})
		}
		handoffs[position].tasks = append(handoffs[position].tasks, tasks[index].requested.Task)
		release.remote.consumeRelease()
	}
	for _, handedOff := range handoffs {
		allocator.handOff(job, handedOff)
	}
}

// startsElsewhereNow reports whether the first task would start at another cell as soon as its lead
// is asked.
func (plan *plan) startsElsewhereNow(allocator *Allocator) bool {
	first := plan.releases[0]
	return first.remote != nil && first.at.Due(allocator.now.Add(allocator.Settings.RemoteDelay))
}

// pending lists the tasks that wait for capacity.
func (job *job) pending() []*task {
	var pending []*task
	for index := range job.tasks {
		if job.tasks[index].queued {
			pending = append(pending, &job.tasks[index])
		}
	}
	return pending
}

// handOff removes tasks from a job and refers its host to another cell for them.
func (allocator *Allocator) handOff(job *job, handedOff handoff) {
	job.handoffs = append(job.handoffs, handedOff)
	accounts := job.accountsOf(handedOff.tasks)
	allocator.removeTasks(job, handedOff.tasks)
	// The other tasks start there, and the job's answer waits for those that wait here.
	allocator.markGranted(job)
	allocator.answerJob(job, messenger.CapacityAnswer{
		Job: job.request.Job, Kind: messenger.CapacityAnswerAskOther, OtherCell: handedOff.cell, Tasks: handedOff.tasks, Accounts: accounts,
		Unreferred: !allocator.runsReported,
	})
	allocator.logDecision(messenger.Decision{
		Kind: messenger.DecisionHandedOver, Job: job.request.Job, Host: allocator.leadOf(handedOff.cell),
		Reason: string(handedOff.cell.FailureDomain), Tasks: len(handedOff.tasks), FreeSlots: allocator.freeSlots(),
	})
}

// leadOf returns the host that leads another cell; empty if none is known.
func (allocator *Allocator) leadOf(cell messenger.CellRef) identifier.HostID {
	if known := allocator.remotes.Get(cell); known != nil {
		return known.host
	}
	return ""
}

// repeatHandoffs refers the host of a resubmitted job to the cells that its tasks were handed to
// before. A caller's connection may break while a task runs there; only that cell's lead knows, and
// starts it anew when the previous run is over. If it were granted here, the task would run twice
// at the same time.
func (allocator *Allocator) repeatHandoffs(job *job) {
	before := allocator.handoffs.Get(job.request.Job)
	if before == nil || job.request.HandedOff {
		return
	}
	for _, handedOff := range *before {
		if allocator.leadOf(handedOff.cell) == "" {
			continue // Whether anything runs there cannot be determined, here or elsewhere.
		}
		handedOff.tasks = slices.DeleteFunc(slices.Clone(handedOff.tasks), func(index messenger.TaskIndex) bool {
			return !slices.ContainsFunc(job.tasks, func(task task) bool { return task.requested.Task == index })
		})
		if len(handedOff.tasks) > 0 {
			allocator.handOff(job, handedOff)
		}
	}
}
