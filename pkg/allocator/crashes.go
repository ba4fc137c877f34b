package allocator

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/budgeter"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// recordLoss charges the tasks of a lost server: its incarnation has ended unannounced, or it gave
// no response for the time of a lease. Which of the two it was cannot be known at this point,
// because a server that has crashed comes back after some seconds, mostly after the leases have
// lapsed.
func (allocator *Allocator) recordLoss(server *server) {
	allocator.recordLossOfRuns(server, server.runsInOrder())
}

// recordLossOfRuns charges the tasks of some runs of a lost server.
func (allocator *Allocator) recordLossOfRuns(server *server, runs []*run) {
	if len(runs) == 0 {
		return
	}
	evidence := allocator.crashes.Record(allocator.now, len(runs))
	for _, run := range runs {
		if run.job == nil || run.isAwaited() {
			continue
		}
		task := run.job.task(run.key.Task)
		task.account.Charge(evidence)
		allocator.logDecision(messenger.Decision{
			Kind: messenger.DecisionCrashedUnder, Job: run.key.Job, Task: run.key.Task, Run: run.key.Run,
			Server: server.report.Server, Tasks: task.account.Crashes,
		})
	}
}

// hasBlockedTask reports whether some task of the job is not started for now because servers may
// crash under it.
func (job *job) hasBlockedTask() bool {
	return slices.ContainsFunc(job.tasks, func(task task) bool { return !task.done && task.account.IsBlocked() })
}

// markSuspect records that servers may crash under the task of a run. No other such task is placed
// beside it: they would share the blame, and an innocent one would be blocked together with the
// guilty one. Tasks under which no server has crashed are placed beside it: reserving a server for
// one suspect would take capacity from all others while many servers crash.
func (server *server) markSuspect(run *run) {
	if !run.suspect {
		run.suspect = true
		server.suspects++
	}
}

// isolatedServerFor returns a server for a task under which servers may crash: one with nothing
// else on it, or else the one with the fewest runs, because the task's caller waits.
func (allocator *Allocator) isolatedServerFor(job *job, task *task) *server {
	var best *server
	allocator.servers.Each(func(_ identifier.ServerIncarnation, server *server) bool {
		if allocator.mayRun(job, task, server) && (best == nil || len(server.runs) < len(best.runs)) {
			best = server
		}
		return best == nil || len(best.runs) > 0
	})
	return best
}

// accountOf returns the account of a requested task, merged from what its host sent and what was
// recorded here for an earlier submission of the job.
func (allocator *Allocator) accountOf(id identifier.JobID, requested messenger.TaskRequest) budgeter.Account {
	account := requested.Account
	if known := allocator.accounts.Get(id); known != nil {
		account.Merge((*known)[requested.Task])
	}
	return account
}

// keepAccounts remembers the tasks of a job under which servers have crashed, for a resubmission.
func (allocator *Allocator) keepAccounts(job *job) {
	var accounts map[messenger.TaskIndex]budgeter.Account
	for index := range job.tasks {
		task := &job.tasks[index]
		if !task.account.IsSuspect() {
			continue
		}
		if accounts == nil {
			accounts = make(map[messenger.TaskIndex]budgeter.Account)
		}
		accounts[task.requested.Task] = task.account
	}
	if accounts != nil {
		allocator.accounts.Put(job.request.Job, &accounts)
	}
}
