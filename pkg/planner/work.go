package planner

import (
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/leaser"
	"github.com/stoathitch/stoathitch/pkg/placer"
)

// handleWorkerAnnounced adds a worker's process. Its clock starts anew; leases of the
// worker's earlier process stay until they expire.
func (driver *Driver[P]) handleWorkerAnnounced(now identifier.Moment, announced WorkerAnnounced) {
	driver.Granter.ForgetWorker(announced.Worker.ID)
	driver.Granter.Heartbeat(now, announced.Worker.ID, announced.Reading)
	driver.Placer.AddWorker(announced.Worker)
	known := driver.workers.Get(announced.Worker.ID)
	if known == nil {
		known = &driverWorker{}
		driver.workers.Put(announced.Worker.ID, known)
	}
	known.worker = announced.Worker
	known.lost = false
	known.silent = false
	driver.Placer.SetUsable(announced.Worker.ID, known.usable())
}

func (worker *driverWorker) usable() bool {
	return !worker.lost && !worker.silent && worker.quarantinedUntil == 0
}

// handleHeartbeat renews the leases of the worker's running tasks and handles its reports.
func (driver *Driver[P]) handleHeartbeat(now identifier.Moment, beat WorkerHeartbeat) {
	worker := driver.workers.Get(beat.Worker)
	if worker == nil || worker.lost {
		return
	}
	driver.Granter.Heartbeat(now, beat.Worker, beat.Reading)
	if worker.silent {
		worker.silent = false
		driver.Placer.SetUsable(beat.Worker, worker.usable())
	}
	var grants []leaser.Grant
	for _, running := range beat.Running {
		if grant, renewed := driver.renew(now, beat.Worker, running); renewed {
			grants = append(grants, grant)
		}
	}
	if len(grants) > 0 {
		driver.emit(RenewLeases{Worker: beat.Worker, Grants: grants})
	}
	for _, report := range beat.Reports {
		if driver.runsOn(report.Task, beat.Worker) && driver.Guarder.Report(now, report) {
			driver.Placer.SetCharge(report.Task, driver.Guarder.Charge(now, report.Task))
		}
	}
}

func (driver *Driver[P]) runsOn(task identifier.TaskID, worker identifier.WorkerID) bool {
	running := driver.tasks.Get(task)
	return running != nil && running.worker == worker
}

// renew extends a lease, adopts it from a former lead, or stops the task. A task that was
// ordered to stop is not renewed, so it ends even if it ignores the order.
func (driver *Driver[P]) renew(now identifier.Moment, worker identifier.WorkerID, running RunningTask) (leaser.Grant, bool) {
	known := driver.tasks.Get(running.Task)
	if known == nil && driver.quiet {
		return driver.adopt(now, worker, running)
	}
	if known == nil || known.worker != worker || known.number != running.Number {
		driver.emit(StopTask{TaskOrder{Worker: worker, Task: running.Task, Number: running.Number, Reason: "it has no lease"}})
		return leaser.Grant{}, false
	}
	if known.stopping {
		driver.emit(StopTask{TaskOrder{Worker: worker, Task: running.Task, Number: running.Number, Reason: known.reason}})
		return leaser.Grant{}, false
	}
	grant, err := driver.Granter.Renew(now, running.Task, worker, running.Number)
	if err != nil {
		driver.emit(StopTask{TaskOrder{Worker: worker, Task: running.Task, Number: running.Number, Reason: "its lease ran out"}})
		return leaser.Grant{}, false
	}
	return grant, true
}

// adopt takes over a task that a former lead started. Otherwise a change of the lead would
// lose all work in progress.
func (driver *Driver[P]) adopt(now identifier.Moment, worker identifier.WorkerID, running RunningTask) (leaser.Grant, bool) {
	name, number, index, valid := splitTask(running.Task)
	intent := driver.intents.Get(name)
	if !valid || intent == nil {
		return leaser.Grant{}, false
	}
	batch := intent.batch(number)
	if batch == nil || index < batch.from || index >= batch.formerClaimed || batch.state(index) != taskOpen {
		return leaser.Grant{}, false
	}
	grant, err := driver.Granter.Adopt(now, running.Task, worker, running.Number)
	if err != nil {
		return leaser.Grant{}, false
	}
	driver.Placer.AdoptTask(now, batch.group, running.Task, worker)
	driver.recordStart(now, batch, index, worker, running.Number)
	driver.recordNote(now, intent, "the lead changed: a running task goes on")
	return grant, true
}

func (intent *driverIntent) batch(number int) *driverBatch {
	for _, batch := range intent.batches {
		if batch.number == number {
			return batch
		}
	}
	return nil
}

// recordStart records that a task has a lease on a worker.
func (driver *Driver[P]) recordStart(now identifier.Moment, batch *driverBatch, index int, worker identifier.WorkerID, number leaser.Number) {
	task := NewTaskID(batch.intent.name, batch.number, index)
	batch.setState(index, taskRunning)
	batch.intent.started = true
	driver.scheduleFlush(now, batch.intent)
	driver.tasks.Put(task, &driverTask{batch: batch, index: index, worker: worker, number: number, startedAt: now})
	declared := driver.correctedDeclaration(batch)
	declared.Checkpointable = declared.Checkpointable && !batch.checkpoints[index].byGuarder
	driver.Guarder.Watch(now, task, declared)
}

// handleWorkerLost stops placing tasks on a worker. Its tasks may continue to run until
// their leases end.
func (driver *Driver[P]) handleWorkerLost(now identifier.Moment, id identifier.WorkerID) {
	worker := driver.workers.Get(id)
	if worker == nil || worker.lost {
		return
	}
	worker.lost = true
	worker.lostAt = now
	driver.Granter.ForgetWorker(id)
	driver.Placer.SetUsable(id, false)
}

// place carries out the placer's decisions.
func (driver *Driver[P]) place(now identifier.Moment) {
	for _, decision := range driver.Placer.Place(now) {
		switch decision.Kind {
		case placer.DecisionStart:
			driver.start(now, decision)
		case placer.DecisionCheckpoint:
			driver.checkpoint(now, decision.Task, stopCausePreempted, "preempted for "+string(decision.For.Intent))
			driver.recordNote(now, driver.intents.Get(decision.Group.Intent), "checkpointed, preempted for "+string(decision.For.Intent))
		case placer.DecisionStop:
			driver.stop(decision.Task, stopCausePreempted, "preempted for "+string(decision.For.Intent))
			driver.recordNote(now, driver.intents.Get(decision.Group.Intent), "stopped, preempted for "+string(decision.For.Intent))
		}
	}
}

// start grants a lease to the worker that the placer chose. A worker that has been silent
// for too long gets none until its next heartbeat.
func (driver *Driver[P]) start(now identifier.Moment, decision placer.Decision) {
	intent := driver.intents.Get(decision.Group.Intent)
	batch := intent.batch(decision.Group.Batch)
	_, _, index, _ := splitTask(decision.Task)
	grant, err := driver.Granter.Grant(now, decision.Task, decision.Worker)
	if err != nil {
		driver.Placer.End(decision.Task)
		driver.Placer.Enqueue(now, decision.Group, decision.Task)
		driver.markSilent(now, decision.Worker)
		return
	}
	resume := batch.hasCheckpoint(index)
	driver.recordStart(now, batch, index, decision.Worker, grant.Number)
	declared := driver.correctedDeclaration(batch)
	driver.emit(StartTask{
		Worker: decision.Worker, Grant: grant, Intent: intent.name, Batch: batch.number, Index: index,
		Need: declared.Need, RunTime: declared.RunTime, Resume: resume,
	})
}

// markSilent excludes a worker from placement until its next heartbeat.
func (driver *Driver[P]) markSilent(now identifier.Moment, id identifier.WorkerID) {
	worker := driver.workers.Get(id)
	if worker == nil || driver.Granter.HasRecentHeartbeat(now, id) {
		return
	}
	worker.silent = true
	driver.Placer.SetUsable(id, false)
}

// stop orders a worker to stop a task.
func (driver *Driver[P]) stop(task identifier.TaskID, why stopCause, reason string) {
	running := driver.tasks.Get(task)
	if running == nil || running.stopCause == stopCauseCancelled {
		return
	}
	running.stopCause = why
	running.stopping = true
	running.reason = reason
	driver.emit(StopTask{TaskOrder{Worker: running.worker, Task: task, Number: running.number, Reason: reason}})
}

// checkpoint orders a worker to save a task's progress and stop it.
func (driver *Driver[P]) checkpoint(now identifier.Moment, task identifier.TaskID, why stopCause, reason string) {
	running := driver.tasks.Get(task)
	if running == nil || running.stopping {
		return
	}
	running.stopCause = why
	running.checkpointOrderedAt = now
	running.reason = reason
	driver.emit(CheckpointTask{TaskOrder{Worker: running.worker, Task: task, Number: running.number, Reason: reason}})
}
