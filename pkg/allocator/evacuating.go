package allocator

import (
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/budgeter"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// evacuatedRetryAfter is when a job is worth another try that no failure domain may run. An
// operator takes an evacuation back after seconds at least.
const evacuatedRetryAfter = 5 * time.Second

// takeEvacuations follows the operators' orders. What runs here goes on to its end; what
// waits moves on in the same tick, and once the order is taken back the room counts at once.
func (allocator *Allocator) takeEvacuations(input *EvacuationsKnown) {
	allocator.evacuations = input.Evacuated
	allocator.changed = true
}

// evacuated tells whether nothing may start on the servers of this cell.
func (allocator *Allocator) evacuated() bool {
	return allocator.evacuations.Has(allocator.FailureDomain)
}

// usable tells whether a server may get a start now.
func (allocator *Allocator) usable(server *server) bool {
	return !allocator.evacuated() && server.usable(allocator.now)
}

// admitEvacuated sends a job that has just come on to other failure domains, or turns it away.
func (allocator *Allocator) admitEvacuated(job *job) {
	for index := range job.tasks {
		allocator.queueTask(job, &job.tasks[index])
	}
	if job.held() {
		allocator.answerJob(job, messenger.RoomAnswer{Job: job.request.Job, Kind: messenger.RoomAnswerWaiting})
	}
	allocator.moveJob(job)
}

// moveOn sends what waits in an evacuated failure domain to others.
func (allocator *Allocator) moveOn() {
	for _, job := range slices.Clone(allocator.waiting) {
		allocator.moveJob(job)
	}
}

func (allocator *Allocator) moveJob(job *job) {
	switch {
	case job.queued == 0:
	case job.request.HandedOver:
		allocator.sendBack(job)
	case job.granted || allocator.plan(job, job.pending(), true).inTime:
		allocator.shareOut(job)
	default:
		allocator.turnAwayEvacuated(job)
	}
	allocator.closeIfDone(job)
}

// turnAwayEvacuated turns a job away that no other failure domain can run in time.
func (allocator *Allocator) turnAwayEvacuated(job *job) {
	if allocator.anyOtherDomain() {
		allocator.turnAway(job, messenger.ReasonDeadlineUnreachable, "the failure domain is evacuated, and the room of the others is taken for longer than the job can wait", allocator.usualWait())
		return
	}
	allocator.turnAway(job, messenger.ReasonNoBackendServer, "every failure domain that is in reach is evacuated", evacuatedRetryAfter)
}

// anyOtherDomain tells whether some cell has a lead that may still start something.
func (allocator *Allocator) anyOtherDomain() bool {
	found := false
	allocator.remotes.Each(func(cell messenger.CellRef, remote *remote) bool {
		found = remote.host != "" && !allocator.evacuations.Has(cell.FailureDomain)
		return !found
	})
	return found
}

// sendBack has the host of a job ask elsewhere for the tasks that wait here. The cell that has
// sent them here may be evacuated itself, and only the host knows which were asked already.
func (allocator *Allocator) sendBack(job *job) {
	answer := messenger.RoomAnswer{Job: job.request.Job, Kind: messenger.RoomAnswerEvacuated}
	for _, task := range job.pending() {
		answer.Tasks = append(answer.Tasks, task.room.Task)
	}
	answer.Accounts = job.accountsOf(answer.Tasks)
	allocator.takeOff(job, answer.Tasks)
	allocator.answerJob(job, answer)
	allocator.decided(messenger.Decision{
		Kind: messenger.DecisionHandedOver, Job: job.request.Job, Host: job.from, Reason: "evacuated", Tasks: len(answer.Tasks),
	})
}

// takeOff removes tasks that wait from a job.
func (allocator *Allocator) takeOff(job *job, tasks []messenger.TaskIndex) {
	for index := range job.tasks {
		if slices.Contains(tasks, job.tasks[index].room.Task) {
			allocator.unqueueTask(job, &job.tasks[index])
		}
	}
	job.tasks = slices.DeleteFunc(job.tasks, func(task task) bool { return slices.Contains(tasks, task.room.Task) })
}

// accountsOf lists what is known of earlier runs of some tasks, for the lead that is asked next.
func (job *job) accountsOf(tasks []messenger.TaskIndex) []messenger.TaskAccount {
	var accounts []messenger.TaskAccount
	for index := range job.tasks {
		task := &job.tasks[index]
		if slices.Contains(tasks, task.room.Task) && task.account != (budgeter.Account{}) {
			accounts = append(accounts, messenger.TaskAccount{Task: task.room.Task, Account: task.account})
		}
	}
	return accounts
}

// unheardElsewhere returns openings at the cells that have told nothing lately, for a lead that is
// new: a job goes to one of them whole, which decides itself.
func (allocator *Allocator) unheardElsewhere(job *job, count int) []opening {
	var unheard []opening
	allocator.remotes.Each(func(cell messenger.CellRef, remote *remote) bool {
		if remote.host != "" && !allocator.evacuations.Has(cell.FailureDomain) && !allocator.heardLately(remote) {
			unheard = append(unheard, opening{at: allocator.now, cell: cell, remote: remote})
		}
		return true
	})
	if len(unheard) == 0 {
		return nil
	}
	chosen := messenger.CellOf(identifier.SubmissionID(job.request.Job), len(unheard))
	return slices.Repeat(unheard[chosen:chosen+1], count)
}

// heardLately tells whether a cell has told of its room within the age of a notice.
func (allocator *Allocator) heardLately(remote *remote) bool {
	return allocator.now.Sub(remote.heard) <= allocator.Settings.NoticeAge
}
