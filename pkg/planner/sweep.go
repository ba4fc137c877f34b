package planner

import (
	"fmt"

	"github.com/stoathitch/stoathitch/pkg/guarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/placer"
)

// sweep checks all running tasks and workers: it updates charges, marks tasks on
// overcommitted workers, stops tasks whose checkpoint takes too long, applies the guarder's
// actions, ends quarantines, removes workers that stay lost and reports racks.
func (driver *Driver[P]) sweep(now identifier.Moment) {
	driver.sweepAt = now.Add(driver.Settings.SweepInterval)
	driver.placementPending = true
	driver.tasks.Each(func(task identifier.TaskID, _ *driverTask) bool {
		driver.Placer.SetCharge(task, driver.Guarder.Charge(now, task))
		return true
	})
	driver.tasks.Each(func(task identifier.TaskID, running *driverTask) bool {
		driver.Guarder.SetContended(task, driver.Placer.Overcommitted(running.worker))
		return true
	})
	driver.tasks.Each(func(task identifier.TaskID, running *driverTask) bool {
		late := now.Sub(running.checkpointOrderedAt) > driver.Settings.CheckpointTimeout
		if running.stopCause != stopCauseNone && !running.stopping && late {
			driver.stop(task, running.stopCause, running.reason+"; its checkpoint took too long")
		}
		return true
	})
	for _, action := range driver.Guarder.Actions(now) {
		driver.applyGuarderAction(now, action)
	}
	driver.workers.Each(func(id identifier.WorkerID, worker *driverWorker) bool {
		driver.sweepWorker(now, id, worker)
		return true
	})
	driver.reportRacks()
	driver.intents.Each(func(_ identifier.IntentName, intent *driverIntent) bool {
		driver.explainWaiting(now, intent)
		return true
	})
}

// applyGuarderAction carries out an action of the guarder, unless the task is already being
// stopped or preempted.
func (driver *Driver[P]) applyGuarderAction(now identifier.Moment, action guarder.Action) {
	running := driver.tasks.Get(action.Task)
	if running == nil || running.stopping || running.stopCause == stopCausePreempted {
		return
	}
	driver.recordNote(now, running.batch.intent, fmt.Sprintf("%s: a task %s", action.Act, action.Reason))
	switch action.Act {
	case guarder.ActThrottle:
		driver.emit(ThrottleTask{TaskOrder{Worker: running.worker, Task: action.Task, Number: running.number, Reason: action.Reason}})
	case guarder.ActCheckpoint:
		driver.checkpoint(now, action.Task, stopCauseGuarder, action.Reason)
	case guarder.ActStop:
		driver.stop(action.Task, stopCauseGuarder, action.Reason)
	}
}

func (driver *Driver[P]) sweepWorker(now identifier.Moment, id identifier.WorkerID, worker *driverWorker) {
	if worker.quarantinedUntil != 0 && worker.quarantinedUntil.Due(now) {
		worker.quarantinedUntil = 0
		worker.failures = driver.Settings.FailuresToQuarantine - 1
		driver.Placer.SetUsable(id, worker.usable())
	}
	if worker.lost && now.Sub(worker.lostAt) > driver.Settings.LostWorkerRetention && len(driver.Placer.TasksOn(id)) == 0 {
		driver.Placer.RemoveWorker(id)
		driver.workers.Remove(id)
	}
}

// recordWorkerResult counts a worker's consecutive failures. A failure counts only if the
// batch has succeeded somewhere, so that a bad batch does not quarantine the whole failure
// domain.
func (driver *Driver[P]) recordWorkerResult(now identifier.Moment, id identifier.WorkerID, batch *driverBatch, succeeded bool) {
	worker := driver.workers.Get(id)
	switch {
	case worker == nil:
		return
	case succeeded:
		worker.failures = 0
		worker.quarantineLength = 0
		return
	case batch.succeeded == 0:
		return
	}
	worker.failures++
	if worker.failures < driver.Settings.FailuresToQuarantine || worker.quarantinedUntil != 0 || !driver.mayQuarantine() {
		return
	}
	worker.quarantineLength = min(max(2*worker.quarantineLength, driver.Settings.Quarantine), 8*driver.Settings.Quarantine)
	worker.quarantinedUntil = now.Add(worker.quarantineLength)
	driver.Placer.SetUsable(id, false)
	driver.recordNote(now, batch.intent, fmt.Sprintf("worker %s failed %d tasks in a row and gets no new ones for %s", id, worker.failures, worker.quarantineLength))
}

// mayQuarantine reports whether one more worker may be quarantined. It bounds the share of
// quarantined workers, but always allows one.
func (driver *Driver[P]) mayQuarantine() bool {
	quarantined := 0
	driver.workers.Each(func(_ identifier.WorkerID, worker *driverWorker) bool {
		if worker.quarantinedUntil != 0 {
			quarantined++
		}
		return true
	})
	return (quarantined+1)*1000 <= max(driver.workers.Len()*driver.Settings.QuarantinedPermille, 1000)
}

// explainWaiting adds a note when the reason that a batch is blocked has changed.
func (driver *Driver[P]) explainWaiting(now identifier.Moment, intent *driverIntent) {
	for _, batch := range intent.batches {
		waiting, blocked := driver.Placer.Waiting(batch.group)
		if blocked == batch.blocked {
			continue
		}
		batch.blocked = blocked
		if blocked != placer.BlockedNot {
			driver.recordNote(now, intent, fmt.Sprintf("batch %d waits with %d tasks: blocked %s", batch.number, waiting, blocked))
		}
	}
}
