package allocator

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// share is the tasks of a job that another cell is asked for.
type share struct {
	cell  messenger.CellRef
	tasks []messenger.TaskIndex
}

// shareOut gives those waiting tasks of a job to other cells that start sooner there.
//
// A failure domain at seven tenths of its room has a handful of spots free, and a wide job
// wants them all at once; no cell has room for the whole of it while all together have
// four times as much. It shows as refusals of the widest jobs in calm seconds.
//
// A job is shared once its first task starts. While nothing of it has begun it can still
// be turned away; shared before, jobs that become late would go on.
func (allocator *Allocator) shareOut(job *job) {
	if job.request.HandedOver || job.queued == 0 || allocator.remotes.Len() == 0 {
		return
	}
	tasks := job.pending()
	plan := allocator.plan(job, tasks, true)
	if len(plan.openings) == 0 || !job.granted && !allocator.evacuated() && !plan.startsElsewhereNow(allocator) {
		return
	}
	var shares []share
	for index, opening := range plan.openings {
		if opening.remote == nil {
			continue
		}
		position := slices.IndexFunc(shares, func(share share) bool { return share.cell == opening.cell })
		if position < 0 {
			position = len(shares)
			shares = append(shares, share{cell: opening.cell})
		}
		shares[position].tasks = append(shares[position].tasks, tasks[index].room.Task)
		opening.remote.useOpening()
	}
	for _, share := range shares {
		allocator.give(job, share)
	}
}

// startsElsewhereNow tells whether the first task would start at another cell as soon as
// its lead is asked.
func (plan *plan) startsElsewhereNow(allocator *Allocator) bool {
	first := plan.openings[0]
	return first.remote != nil && first.at.Due(allocator.now.Add(allocator.Settings.WayElsewhere))
}

// pending lists the tasks that wait for room.
func (job *job) pending() []*task {
	var pending []*task
	for index := range job.tasks {
		if job.tasks[index].queued {
			pending = append(pending, &job.tasks[index])
		}
	}
	return pending
}

// give takes tasks off a job and sends its host to another cell for them.
func (allocator *Allocator) give(job *job, given share) {
	job.given = append(job.given, given)
	accounts := job.accountsOf(given.tasks)
	allocator.takeOff(job, given.tasks)
	// Its siblings start there, and the job's answer waits for those that wait here.
	allocator.markGranted(job)
	allocator.answerJob(job, messenger.RoomAnswer{
		Job: job.request.Job, Kind: messenger.RoomAnswerAskOther, Other: given.cell, Tasks: given.tasks, Accounts: accounts,
		Unvouched: !allocator.runsNamed,
	})
	allocator.decided(messenger.Decision{
		Kind: messenger.DecisionHandedOver, Job: job.request.Job, Host: allocator.leadAt(given.cell),
		Reason: string(given.cell.FailureDomain), Tasks: len(given.tasks), Spots: allocator.spots(),
	})
}

// leadAt returns who leads another cell; empty is nobody.
func (allocator *Allocator) leadAt(cell messenger.CellRef) identifier.HostID {
	if known := allocator.remotes.Get(cell); known != nil {
		return known.host
	}
	return ""
}

// giveAgain sends the host of a job that was sent again to the cells that were asked for
// its tasks before. A caller's connection may break while a task runs there; only that
// cell's lead knows, and starts it anew when the run before is over. Given room here, the
// task would run twice at the same time.
func (allocator *Allocator) giveAgain(job *job) {
	before := allocator.shares.Get(job.request.Job)
	if before == nil || job.request.HandedOver {
		return
	}
	for _, given := range *before {
		if allocator.leadAt(given.cell) == "" {
			continue // Whether anything runs there nobody can tell, here or elsewhere.
		}
		given.tasks = slices.DeleteFunc(slices.Clone(given.tasks), func(index messenger.TaskIndex) bool {
			return !slices.ContainsFunc(job.tasks, func(task task) bool { return task.room.Task == index })
		})
		if len(given.tasks) > 0 {
			allocator.give(job, given)
		}
	}
}
