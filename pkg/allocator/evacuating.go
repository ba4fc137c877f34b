package allocator

import (
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/budgeter"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// evacuatedRetryAfter is after how long a job that no failure domain may run is worth a retry.
// Operators revoke an evacuation after seconds at the earliest.
const evacuatedRetryAfter = 5 * time.Second

// handleEvacuations applies the operators' evacuations. Runs here go on to their end. Waiting tasks
// are handed off in the same tick, and once the evacuation is revoked the capacity counts at once.
func (allocator *Allocator) handleEvacuations(input *EvacuationsChanged) {
	allocator.evacuations = input.Evacuated
	allocator.retryPlacement = true
}

// evacuated reports whether nothing may start on the servers of this cell.
func (allocator *Allocator) evacuated() bool {
	return allocator.evacuations.Has(allocator.FailureDomain)
}

// usable reports whether a server may get a start now.
func (allocator *Allocator) usable(server *server) bool {
	return !allocator.evacuated() && server.usable(allocator.now)
}

// admitEvacuated hands a new job off to other failure domains, or rejects it.
func (allocator *Allocator) admitEvacuated(job *job) {
	for index := range job.tasks {
		allocator.queueTask(job, &job.tasks[index])
	}
	if job.hasBlockedTask() {
		allocator.answerJob(job, messenger.CapacityAnswer{Job: job.request.Job, Kind: messenger.CapacityAnswerWaiting})
	}
	allocator.evacuateJob(job)
}

// evacuateWaiting hands the waiting tasks of an evacuated failure domain off to others.
func (allocator *Allocator) evacuateWaiting() {
	for _, job := range slices.Clone(allocator.waiting) {
		allocator.evacuateJob(job)
	}
}

func (allocator *Allocator) evacuateJob(job *job) {
	switch {
	case job.queued == 0:
	case job.request.HandedOff:
		allocator.returnToHost(job)
	case job.granted || allocator.plan(job, job.pending(), true).inTime:
		allocator.handOffTasks(job)
	default:
		allocator.rejectEvacuated(job)
	}
	allocator.closeIfDone(job)
}

// rejectEvacuated rejects a job that no other failure domain can run in time.
func (allocator *Allocator) rejectEvacuated(job *job) {
	if allocator.otherDomainAvailable() {
		allocator.reject(job, messenger.ReasonDeadlineUnreachable, "the failure domain is evacuated, and the room of the others is taken for longer than the job can wait", allocator.usualWait())
		return
	}
	allocator.reject(job, messenger.ReasonNoBackendServer, "every failure domain that is in reach is evacuated", evacuatedRetryAfter)
}

// otherDomainAvailable reports whether a failure domain in reach may still start something.
func (allocator *Allocator) otherDomainAvailable() bool {
	found := false
	allocator.remotes.Each(func(cell messenger.CellRef, remote *remote) bool {
		found = remote.host != "" && !allocator.evacuations.Has(cell.FailureDomain)
		return !found
	})
	return found
}

// returnToHost has the host of a job request the tasks that wait here elsewhere. The cell that
// handed them off may be evacuated itself, and only the host knows which cells were asked already.
func (allocator *Allocator) returnToHost(job *job) {
	answer := messenger.CapacityAnswer{Job: job.request.Job, Kind: messenger.CapacityAnswerEvacuated}
	for _, task := range job.pending() {
		answer.Tasks = append(answer.Tasks, task.requested.Task)
	}
	answer.Accounts = job.accountsOf(answer.Tasks)
	allocator.removeTasks(job, answer.Tasks)
	allocator.answerJob(job, answer)
	allocator.logDecision(messenger.Decision{
		Kind: messenger.DecisionHandedOver, Job: job.request.Job, Host: job.from, Reason: "evacuated", Tasks: len(answer.Tasks),
	})
}

// removeTasks removes waiting tasks from a job.
func (allocator *Allocator) removeTasks(job *job, tasks []messenger.TaskIndex) {
	for index := range job.tasks {
		if slices.Contains(tasks, job.tasks[index].requested.Task) {
			allocator.unqueueTask(job, &job.tasks[index])
		}
	}
	job.tasks = slices.DeleteFunc(job.tasks, func(task task) bool { return slices.Contains(tasks, task.requested.Task) })
}

// accountsOf lists the accounts of some tasks, for the lead that is asked next.
func (job *job) accountsOf(tasks []messenger.TaskIndex) []messenger.TaskAccount {
	var accounts []messenger.TaskAccount
	for index := range job.tasks {
		task := &job.tasks[index]
		if slices.Contains(tasks, task.requested.Task) && task.account != (budgeter.Account{}) {
			accounts = append(accounts, messenger.TaskAccount{Task: task.requested.Task, Account: task.account})
		}
	}
	return accounts
}

// assumedRemoteReleases assumes capacity at one of the cells that have sent no recent notice, for a
// lead that is new: the whole job goes to that cell, which decides for itself.
func (allocator *Allocator) assumedRemoteReleases(job *job, count int) []expectedRelease {
	var assumed []expectedRelease
	allocator.remotes.Each(func(cell messenger.CellRef, remote *remote) bool {
		if remote.host != "" && !allocator.evacuations.Has(cell.FailureDomain) && !allocator.hasFreshNotice(remote) {
			assumed = append(assumed, expectedRelease{at: allocator.now, cell: cell, remote: remote})
		}
		return true
	})
	if len(assumed) == 0 {
		return nil
	}
	chosen := messenger.CellOf(identifier.SubmissionID(job.request.Job), len(assumed))
	return slices.Repeat(assumed[chosen:chosen+1], count)
}

// hasFreshNotice reports whether a cell has sent a notice of its capacity within NoticeAge.
func (allocator *Allocator) hasFreshNotice(remote *remote) bool {
	return allocator.now.Sub(remote.lastNoticeAt) <= allocator.Settings.NoticeAge
}
