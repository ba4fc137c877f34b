package planner

import (
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/leaser"
)

// pendingNote is a Note that is not yet proposed.
type pendingNote struct {
	reason string
	count  int
	since  identifier.Moment
}

// pendingNotes bounds the notes between two proposals.
const pendingNotes = 8

// taskEnded takes a worker's word. It counts only with the number of the lease
// that stands: another one tells of a run that was given up, and whose task has
// an outcome or a new lease.
func (driver *Driver[P]) taskEnded(now identifier.Moment, ended TaskEnded) {
	running := driver.tasks.Get(ended.Task)
	if running == nil && driver.quiet {
		driver.formerEnded(now, ended)
	}
	if running == nil || running.worker != ended.Worker || running.number != ended.Number {
		return
	}
	driver.learn(now, ended, running)
	driver.release(ended.Task, running)
	driver.Granter.Release(ended.Task, ended.Number)
	batch, index := running.batch, running.index
	switch ended.End {
	case EndSucceeded:
		driver.judge(now, ended.Worker, batch, true)
		driver.settle(now, batch, index, OutcomeSucceeded)
	case EndFailed:
		driver.judge(now, ended.Worker, batch, false)
		driver.settle(now, batch, index, OutcomeFailed)
	case EndCheckpointed:
		batch.save(index, running.leaving == leavingGuarded)
		driver.endedEarly(now, running, true)
	case EndRefused:
		driver.judge(now, ended.Worker, batch, false)
		driver.refused(now, running)
	case EndStopped:
		driver.endedEarly(now, running, false)
	}
}

// formerEnded takes the end of a task that a former lead started. Before the quiet
// time is over nobody else can have started it again.
func (driver *Driver[P]) formerEnded(now identifier.Moment, ended TaskEnded) {
	name, number, index, valid := splitTask(ended.Task)
	intent := driver.intents.Get(name)
	if !valid || intent == nil || ended.Number.Epoch() >= driver.Epoch {
		return
	}
	batch := intent.batch(number)
	if batch == nil || index < batch.from || index >= batch.former || batch.state(index) != indexOpen {
		return
	}
	switch ended.End {
	case EndSucceeded:
		driver.settle(now, batch, index, OutcomeSucceeded)
	case EndFailed:
		driver.settle(now, batch, index, OutcomeFailed)
	}
}

// learn takes what a whole run showed, and what one showed that was cut short for
// using too much.
func (driver *Driver[P]) learn(now identifier.Moment, ended TaskEnded, running *driveTask) {
	highest, measured := driver.Guarder.Forget(ended.Task)
	declared := running.batch.batch.Declaration()
	switch {
	case ended.End == EndSucceeded:
		if !measured {
			highest = declared.Need
		}
		driver.Learner.Observe(driver.key(running.batch), declared, highest, now.Sub(running.startedAt))
	case running.leaving == leavingGuarded && measured:
		if ended.End == EndCheckpointed {
			running.batch.raised = running.batch.raised.Max(highest)
		}
		driver.Learner.Observe(driver.key(running.batch), declared, highest, max(declared.RunTime, now.Sub(running.startedAt)))
	default:
		return
	}
	running.batch.taught = true
	driver.Placer.AddGroup(now, driver.wanted(running.batch))
}

// release frees the room of a task that no longer runs.
func (driver *Driver[P]) release(task identifier.TaskID, running *driveTask) {
	driver.Placer.End(task)
	driver.Guarder.Forget(task)
	driver.tasks.Remove(task)
	running.batch.setState(running.index, indexOpen)
}

// endedEarly decides on a task that is known to have stopped before its end.
func (driver *Driver[P]) endedEarly(now identifier.Moment, running *driveTask, saved bool) {
	batch, index := running.batch, running.index
	switch {
	case batch.intent.cancelling:
		driver.settle(now, batch, index, OutcomeStopped)
	case running.leaving == leavingGuarded && !saved:
		driver.note(now, batch.intent, "failed: "+running.reason)
		driver.settle(now, batch, index, OutcomeFailed)
	case batch.batch.Repeatable:
		batch.remember(index, OutcomeStopped)
		driver.requeue(now, batch, index)
	default:
		driver.note(now, batch.intent, "a task was stopped and is not run again")
		driver.settle(now, batch, index, OutcomeStopped)
	}
}

// refused decides on a task that its worker did not start.
func (driver *Driver[P]) refused(now identifier.Moment, running *driveTask) {
	if running.batch.intent.cancelling {
		driver.settle(now, running.batch, running.index, running.batch.unstarted(running.index))
		return
	}
	driver.requeue(now, running.batch, running.index)
}

func (driver *Driver[P]) requeue(now identifier.Moment, batch *drivenBatch, index int) {
	batch.setState(index, indexWaiting)
	driver.Placer.Enqueue(now, batch.group, NameTask(batch.intent.name, batch.number, index))
}

// expireLeases decides on tasks whose workers were not heard of for a lease.
func (driver *Driver[P]) expireLeases(now identifier.Moment) {
	for _, lease := range driver.Granter.Expire(now) {
		driver.expire(now, lease)
	}
}

func (driver *Driver[P]) expire(now identifier.Moment, lease leaser.Lease) {
	running := driver.tasks.Get(lease.Task)
	if running == nil {
		return
	}
	driver.changed = true
	driver.release(lease.Task, running)
	batch := running.batch
	if batch.batch.Repeatable && !batch.intent.cancelling {
		driver.note(now, batch.intent, "a lease ran out on "+string(lease.Worker)+": its task runs again")
		batch.remember(running.index, OutcomeUnknown)
		driver.requeue(now, batch, running.index)
		return
	}
	driver.note(now, batch.intent, "a lease ran out on "+string(lease.Worker)+": its task may have run")
	driver.settle(now, batch, running.index, OutcomeUnknown)
}

// settle gives a task its outcome.
func (driver *Driver[P]) settle(now identifier.Moment, batch *drivenBatch, index int, outcome Outcome) {
	batch.setState(index, indexSettled)
	batch.settled++
	if outcome == OutcomeSucceeded {
		batch.succeeded++
	}
	intent := batch.intent
	driver.Placer.Done(NameTask(intent.name, batch.number, index))
	last := len(intent.ranges) - 1
	if last >= 0 && intent.ranges[last].Batch == batch.number && intent.ranges[last].To == index && intent.ranges[last].Outcome == outcome {
		intent.ranges[last].To++
	} else {
		intent.ranges = append(intent.ranges, Range{Batch: batch.number, From: index, To: index + 1, Outcome: outcome})
	}
	driver.scheduleFlush(now, intent)
}

// note explains something; the like is counted until the next proposal.
func (driver *Driver[P]) note(now identifier.Moment, intent *driven, reason string) {
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
	if len(intent.notes) < pendingNotes {
		intent.notes = append(intent.notes, pendingNote{reason: reason, count: 1, since: now})
	}
}

// scheduleFlush has an intent's news proposed soon, and at once when nothing more
// is to come or the first task has started.
func (driver *Driver[P]) scheduleFlush(now identifier.Moment, intent *driven) {
	due := now.Add(driver.Settings.FlushInterval)
	if intent.started && !intent.announced || intent.settled() {
		due = now
	}
	intent.flushAt = identifier.Earlier(intent.flushAt, due)
	driver.flushAt = identifier.Earlier(driver.flushAt, intent.flushAt)
}

// flush proposes what came of the intents: at once when an intent has begun or is
// done here, else after a while.
func (driver *Driver[P]) flush(now identifier.Moment) {
	if !driver.flushAt.Due(now) {
		return
	}
	driver.flushAt = identifier.Never
	driver.intents.Each(func(_ identifier.IntentName, intent *driven) bool {
		if intent.flushAt.Due(now) {
			driver.flushIntent(now, intent)
		}
		driver.flushAt = identifier.Earlier(driver.flushAt, intent.flushAt)
		driver.forgetIfOver(intent)
		return true
	})
}

func (driver *Driver[P]) flushIntent(now identifier.Moment, intent *driven) {
	intent.flushAt = identifier.Never
	if intent.announced == intent.started && len(intent.ranges)+len(intent.notes) == 0 {
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
		if batch.taught {
			progress.Learned = append(progress.Learned, Learned{Kind: batch.batch.Kind, Correction: driver.Learner.Known(driver.key(batch))})
			batch.taught = false
		}
	}
	intent.announced = intent.started
	intent.ranges = nil
	intent.notes = nil
	driver.emit(Propose{Command{Kind: CommandProgress, Name: intent.name, Progress: progress}})
}

// settled tells whether every task of the driver's part has an outcome.
func (intent *driven) settled() bool {
	for _, batch := range intent.batches {
		if batch.settled < batch.to-batch.from {
			return false
		}
	}
	return true
}

// forgetIfOver drops an intent that the log has ended and of which nothing runs
// here any more. One that is only settled here is kept: its outcomes may not be
// in the log yet, and an assignment made before would start its tasks again.
func (driver *Driver[P]) forgetIfOver(intent *driven) {
	if !intent.over || !intent.settled() {
		return
	}
	for _, batch := range intent.batches {
		driver.Placer.Forget(batch.group)
	}
	driver.intents.Remove(intent.name)
}
