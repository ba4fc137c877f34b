package planner

import (
	"fmt"

	"github.com/stoathitch/stoathitch/pkg/guarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/placer"
)

// sweep looks at everything that runs: charges that fade, crowded workers, tasks
// beyond their declaration, quarantines that end, workers that stay away.
func (driver *Driver[P]) sweep(now identifier.Moment) {
	driver.sweepAt = now.Add(driver.Settings.SweepInterval)
	driver.changed = true
	driver.tasks.Each(func(task identifier.TaskID, _ *driveTask) bool {
		driver.Placer.Recharge(task, driver.Guarder.Charge(now, task))
		return true
	})
	driver.tasks.Each(func(task identifier.TaskID, running *driveTask) bool {
		driver.Guarder.Crowded(task, driver.Placer.Overcommitted(running.worker))
		return true
	})
	driver.tasks.Each(func(task identifier.TaskID, running *driveTask) bool {
		late := now.Sub(running.leavingSince) > driver.Settings.CheckpointWithin
		if running.leaving != leavingNot && !running.stopping && late {
			driver.stop(task, running.leaving, running.reason+"; its checkpoint took too long")
		}
		return true
	})
	for _, action := range driver.Guarder.Actions(now) {
		driver.act(now, action)
	}
	driver.workers.Each(func(id identifier.WorkerID, worker *driveWorker) bool {
		driver.sweepWorker(now, id, worker)
		return true
	})
	driver.noticeRacks()
	driver.intents.Each(func(_ identifier.IntentName, intent *driven) bool {
		driver.explainWaiting(now, intent)
		return true
	})
}

// act carries an act of the guarder out, unless the task is leaving anyway.
func (driver *Driver[P]) act(now identifier.Moment, action guarder.Action) {
	running := driver.tasks.Get(action.Task)
	if running == nil || running.stopping || running.leaving == leavingPreempted {
		return
	}
	driver.note(now, running.batch.intent, fmt.Sprintf("%s: a task %s", action.Act, action.Reason))
	switch action.Act {
	case guarder.ActThrottle:
		driver.emit(ThrottleTask{TaskOrder{Worker: running.worker, Task: action.Task, Number: running.number, Reason: action.Reason}})
	case guarder.ActCheckpoint:
		driver.checkpoint(now, action.Task, leavingGuarded, action.Reason)
	case guarder.ActStop:
		driver.stop(action.Task, leavingGuarded, action.Reason)
	}
}

func (driver *Driver[P]) sweepWorker(now identifier.Moment, id identifier.WorkerID, worker *driveWorker) {
	if worker.quarantinedUntil != 0 && worker.quarantinedUntil.Due(now) {
		worker.quarantinedUntil = 0
		worker.failures = driver.Settings.FailuresToQuarantine - 1
		driver.Placer.SetUsable(id, worker.usable())
	}
	if worker.lost && now.Sub(worker.lostAt) > driver.Settings.RememberLost && len(driver.Placer.TasksOn(id)) == 0 {
		driver.Placer.RemoveWorker(id)
		driver.workers.Remove(id)
	}
}

// judge counts a worker's failures in a row. A failure counts only when the batch
// has succeeded somewhere, so that a bad batch does not empty the failure domain.
func (driver *Driver[P]) judge(now identifier.Moment, id identifier.WorkerID, batch *drivenBatch, succeeded bool) {
	worker := driver.workers.Get(id)
	switch {
	case worker == nil:
		return
	case succeeded:
		worker.failures = 0
		worker.quarantine = 0
		return
	case batch.succeeded == 0:
		return
	}
	worker.failures++
	if worker.failures < driver.Settings.FailuresToQuarantine || worker.quarantinedUntil != 0 || !driver.mayQuarantine() {
		return
	}
	worker.quarantine = min(max(2*worker.quarantine, driver.Settings.Quarantine), 8*driver.Settings.Quarantine)
	worker.quarantinedUntil = now.Add(worker.quarantine)
	driver.Placer.SetUsable(id, false)
	driver.note(now, batch.intent, fmt.Sprintf("worker %s failed %d tasks in a row and gets no new ones for %s", id, worker.failures, worker.quarantine))
}

// mayQuarantine bounds the quarantined share of workers.
func (driver *Driver[P]) mayQuarantine() bool {
	quarantined := 0
	driver.workers.Each(func(_ identifier.WorkerID, worker *driveWorker) bool {
		if worker.quarantinedUntil != 0 {
			quarantined++
		}
		return true
	})
	return (quarantined+1)*1000 <= max(driver.workers.Len()*driver.Settings.QuarantinedPermille, 1000)
}

// explainWaiting notes when what holds a batch up has changed.
func (driver *Driver[P]) explainWaiting(now identifier.Moment, intent *driven) {
	for _, batch := range intent.batches {
		waiting, blocked := driver.Placer.Waiting(batch.group)
		if blocked == batch.blocked {
			continue
		}
		batch.blocked = blocked
		if blocked != placer.BlockedNot {
			driver.note(now, intent, fmt.Sprintf("batch %d waits with %d tasks: blocked %s", batch.number, waiting, blocked))
		}
	}
}
