package planner

import (
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/leaser"
)

// pendingNote is a Note that is not proposed yet.
type pendingNote struct {
	reason string
	count  int
	since  identifier.Moment
}

// maxPendingNotes bounds the notes of an intent between two proposals.
const maxPendingNotes = 8

// handleTaskEnded handles a worker's report that a task ended. It counts only with the
// number of the current lease. Any other number is that of a run that was given up and
// whose task already has an outcome or a new lease.
func (driver *Driver[P]) handleTaskEnded(now identifier.Moment, ended TaskEnded) {
	running := driver.tasks.Get(ended.Task)
	if running == nil && driver.quiet {
		driver.handleFormerTaskEnded(now, ended)
	}
	if running == nil || running.worker != ended.Worker || running.number != ended.Number {
		return
	}
	driver.observeRun(now, ended, running)
	driver.releaseTask(ended.Task, running)
	driver.Granter.Release(ended.Task, ended.Number)
	batch, index := running.batch, running.index
	switch ended.End {
	case EndSucceeded:
		driver.recordWorkerResult(now, ended.Worker, batch, true)
		driver.settle(now, batch, index, OutcomeSucceeded)
	case EndFailed:
		driver.recordWorkerResult(now, ended.Worker, batch, false)
		driver.settle(now, batch, index, OutcomeFailed)
	case EndCheckpointed:
		batch.recordCheckpoint(index, running.stopCause == stopCauseGuarder)
		driver.handleEarlyEnd(now, running, true)
	case EndRefused:
		driver.recordWorkerResult(now, ended.Worker, batch, false)
		driver.handleRefused(now, running)
	case EndStopped:
		driver.handleEarlyEnd(now, running, false)
	}
}

// handleFormerTaskEnded handles the end of a task that a former lead started. During the
// quiet period no other host can have started it again.
func (driver *Driver[P]) handleFormerTaskEnded(now identifier.Moment, ended TaskEnded) {
	name, number, index, valid := splitTask(ended.Task)
	intent := driver.intents.Get(name)
	if !valid || intent == nil || ended.Number.Epoch() >= driver.Epoch {
		return
	}
	batch := intent.batch(number)
	if batch == nil || index < batch.from || index >= batch.formerClaimed || batch.state(index) != taskOpen {
		return
	}
	switch ended.End {
	case EndSucceeded:
		driver.settle(now, batch, index, OutcomeSucceeded)
	case EndFailed:
		driver.settle(now, batch, index, OutcomeFailed)
	}
}

// observeRun passes the usage of a run to the learner if the run succeeded, or if it was
// cut short for using too much.
func (driver *Driver[P]) observeRun(now identifier.Moment, ended TaskEnded, running *driverTask) {
	highest, measured := driver.Guarder.Forget(ended.Task)
	declared := running.batch.batch.Declaration()
	switch {
	case ended.End == EndSucceeded:
		if !measured {
			highest = declared.Need
		}
		driver.Learner.Observe(driver.kindKey(running.batch), declared, highest, now.Sub(running.startedAt))
	case running.stopCause == stopCauseGuarder && measured:
		if ended.End == EndCheckpointed {
			running.batch.raisedNeed = running.batch.raisedNeed.Max(highest)
		}
		driver.Learner.Observe(driver.kindKey(running.batch), declared, highest, max(declared.RunTime, now.Sub(running.startedAt)))
	default:
		return
	}
	running.batch.correctionPending = true
	driver.Placer.AddGroup(now, driver.placerGroup(running.batch))
}

// releaseTask frees the capacity of a task that no longer runs.
func (driver *Driver[P]) releaseTask(task identifier.TaskID, running *driverTask) {
	driver.Placer.End(task)
	driver.Guarder.Forget(task)
	driver.tasks.Remove(task)
	running.batch.setState(running.index, taskOpen)
}

// handleEarlyEnd requeues or settles a task that is known to have stopped before its end.
func (driver *Driver[P]) handleEarlyEnd(now identifier.Moment, running *driverTask, saved bool) {
	batch, index := running.batch, running.index
	switch {
	case batch.intent.cancelling:
		driver.settle(now, batch, index, OutcomeStopped)
	case running.stopCause == stopCauseGuarder && !saved:
		driver.recordNote(now, batch.intent, "failed: "+running.reason)
		driver.settle(now, batch, index, OutcomeFailed)
	case batch.batch.Repeatable:
		batch.recordEarlierOutcome(index, OutcomeStopped)
		driver.requeue(now, batch, index)
	default:
		driver.recordNote(now, batch.intent, "a task was stopped and is not run again")
		driver.settle(now, batch, index, OutcomeStopped)
	}
}

// handleRefused requeues or settles a task that its worker did not start.
func (driver *Driver[P]) handleRefused(now identifier.Moment, running *driverTask) {
	if running.batch.intent.cancelling {
		driver.settle(now, running.batch, running.index, running.batch.outcomeWithoutRun(running.index))
		return
	}
	driver.requeue(now, running.batch, running.index)
}

func (driver *Driver[P]) requeue(now identifier.Moment, batch *driverBatch, index int) {
	batch.setState(index, taskWaiting)
	driver.Placer.Enqueue(now, batch.group, NewTaskID(batch.intent.name, batch.number, index))
}

// expireLeases handles tasks whose workers sent no heartbeat for the length of a lease.
func (driver *Driver[P]) expireLeases(now identifier.Moment) {
	for _, lease := range driver.Granter.Expire(now) {
		driver.handleExpiredLease(now, lease)
	}
}

func (driver *Driver[P]) handleExpiredLease(now identifier.Moment, lease leaser.Lease) {
	running := driver.tasks.Get(lease.Task)
	if running == nil {
		return
	}
	driver.placementPending = true
	driver.releaseTask(lease.Task, running)
	batch := running.batch
	if batch.batch.Repeatable && !batch.intent.cancelling {
		driver.recordNote(now, batch.intent, "a lease ran out on "+string(lease.Worker)+": its task runs again")
		batch.recordEarlierOutcome(running.index, OutcomeUnknown)
		driver.requeue(now, batch, running.index)
		return
	}
	driver.recordNote(now, batch.intent, "a lease ran out on "+string(lease.Worker)+": its task may have run")
	driver.settle(now, batch, running.index, OutcomeUnknown)
}

// settle sets the outcome of a task.
func (driver *Driver[P]) settle(now identifier.Moment, batch *driverBatch, index int, outcome Outcome) {
	batch.setState(index, taskSettled)
	batch.settled++
	if outcome == OutcomeSucceeded {
		batch.succeeded++
	}
	intent := batch.intent
	driver.Placer.ForgetTask(NewTaskID(intent.name, batch.number, index))
	last := len(intent.ranges) - 1
	if last >= 0 && intent.ranges[last].Batch == batch.number && intent.ranges[last].To == index && intent.ranges[last].Outcome == outcome {
		intent.ranges[last].To++
	} else {
		intent.ranges = append(intent.ranges, Range{Batch: batch.number, From: index, To: index + 1, Outcome: outcome})
	}
	driver.scheduleFlush(now, intent)
}

// recordNote adds a note to an intent. Equal notes are counted until the next proposal.
func (driver *Driver[P]) recordNote(now identifier.Moment, intent *driverIntent, reason string) {
	if intent == nil {
		return
	}
	driver.scheduleFlush(now, intent)
	for position := range intent.notes {
		if intent.notes[position].reason == reason {
			intent.notes[position].count++
			return
		}
	}
	if len(intent.notes) < maxPendingNotes {
		intent.notes = append(intent.notes, pendingNote{reason: reason, count: 1, since: now})
	}
}

// scheduleFlush schedules the next report of an intent: at once if its first task has
// started or all tasks are settled, else after FlushInterval.
func (driver *Driver[P]) scheduleFlush(now identifier.Moment, intent *driverIntent) {
	due := now.Add(driver.Settings.FlushInterval)
	if intent.started && !intent.startReported || intent.settled() {
		due = now
	}
	intent.flushAt = identifier.Earlier(intent.flushAt, due)
	driver.flushAt = identifier.Earlier(driver.flushAt, intent.flushAt)
}

// flush proposes the reports that are due and removes intents that have ended.
func (driver *Driver[P]) flush(now identifier.Moment) {
	if !driver.flushAt.Due(now) {
		return
	}
	driver.flushAt = identifier.Never
	driver.intents.Each(func(_ identifier.IntentName, intent *driverIntent) bool {
		if intent.flushAt.Due(now) {
			driver.flushIntent(now, intent)
		}
		driver.flushAt = identifier.Earlier(driver.flushAt, intent.flushAt)
		driver.removeIfEnded(intent)
		return true
	})
}

func (driver *Driver[P]) flushIntent(now identifier.Moment, intent *driverIntent) {
	intent.flushAt = identifier.Never
	if intent.startReported == intent.started && len(intent.ranges)+len(intent.notes) == 0 {
		return
	}
	progress := &Progress{
		FailureDomain: driver.FailureDomain, Epoch: driver.Epoch,
		Started: intent.started, Ranges: mergeRanges(intent.ranges),
	}
	for _, pending := range intent.notes {
		progress.Notes = append(progress.Notes, Note{Reason: pending.reason, Count: pending.count, Ago: now.Sub(pending.since)})
	}
	for _, batch := range intent.batches {
		if batch.correctionPending {
			progress.Learned = append(progress.Learned, Learned{Kind: batch.batch.Kind, Correction: driver.Learner.Known(driver.kindKey(batch))})
			batch.correctionPending = false
		}
	}
	intent.startReported = intent.started
	intent.ranges = nil
	intent.notes = nil
	driver.emit(Propose{Command{Kind: CommandProgress, Name: intent.name, Progress: progress}})
}

// settled reports whether every task of the driver's part has an outcome.
func (intent *driverIntent) settled() bool {
	for _, batch := range intent.batches {
		if batch.settled < batch.to-batch.from {
			return false
		}
	}
	return true
}

// removeIfEnded removes an intent that the log has ended and of which nothing runs here any
// more. One that is only settled here is kept: its outcomes may not be in the log yet, and
// an assignment made before would start its tasks again.
func (driver *Driver[P]) removeIfEnded(intent *driverIntent) {
	if !intent.ended || !intent.settled() {
		return
	}
	for _, batch := range intent.batches {
		driver.Placer.ForgetGroup(batch.group)
	}
	driver.intents.Remove(intent.name)
}
