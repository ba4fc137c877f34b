package planner

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/stoathitch/stoathitch/pkg/guarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/placer"
)

// driverIntent is an intent of which the driver runs at least one batch.
type driverIntent struct {
	name       identifier.IntentName
	spec       Spec
	batches    []*driverBatch
	cancelling bool
	started    bool
	// ended reports whether the log has ended the intent.
	ended bool
	// startReported reports whether the start of the first task was proposed to the log.
	startReported bool
	ranges        []Range
	notes         []pendingNote
	flushAt       identifier.Moment
}

// driverBatch is the part of a batch that is allotted to this driver: the tasks from
// index from up to, not including, to.
type driverBatch struct {
	intent *driverIntent
	number int
	batch  Batch
	group  placer.GroupID
	from   int
	to     int
	// next is the lowest index that this driver has neither queued nor started.
	next int
	// claimed is the index below which the log lets this driver start tasks.
	claimed int
	// formerClaimed is the index below which a former lead may have started tasks.
	formerClaimed int
	claimPending  bool
	claimRefused  bool
	states        []taskState
	// checkpoints holds the tasks that have a checkpoint, by index.
	checkpoints map[int]checkpoint
	// raisedNeed is the highest usage of tasks that were checkpointed for using too much.
	// They run again with that much reserved.
	raisedNeed identifier.Resources
	// earlierOutcomes holds how earlier runs of tasks that wait again may have ended, by index.
	earlierOutcomes map[int]Outcome
	settled         int
	succeeded       int
	blocked         placer.Blocked
	// correctionPending reports whether a task has ended since the learned correction was
	// last proposed to the log.
	correctionPending bool
}

// taskState is the state of one task of a batch.
type taskState uint8

const (
	// taskOpen is neither queued, running nor settled.
	taskOpen taskState = iota
	// taskWaiting is queued in the placer.
	taskWaiting
	// taskRunning has a lease.
	taskRunning
	// taskSettled has an outcome.
	taskSettled
)

// taskSeparator separates the parts of a TaskID.
const taskSeparator = "/"

// NewTaskID returns the id of a task: INTENT/BATCH/INDEX.
func NewTaskID(name identifier.IntentName, batch, index int) identifier.TaskID {
	return identifier.TaskID(string(name) + taskSeparator + strconv.Itoa(batch) + taskSeparator + strconv.Itoa(index))
}

// TaskIntent returns the intent of a task, or an empty name if the id has fewer than three parts.
func TaskIntent(task identifier.TaskID) identifier.IntentName {
	name, _, _, _ := splitTask(task)
	return name
}

// splitTask parses a TaskID. The name of the intent may itself contain separators.
func splitTask(task identifier.TaskID) (name identifier.IntentName, batch, index int, valid bool) {
	parts := strings.Split(string(task), taskSeparator)
	if len(parts) < 3 {
		return "", 0, 0, false
	}
	last := len(parts) - 1
	batch, batchErr := strconv.Atoi(parts[last-1])
	index, indexErr := strconv.Atoi(parts[last])
	name = identifier.IntentName(strings.Join(parts[:last-1], taskSeparator))
	return name, batch, index, batchErr == nil && indexErr == nil
}

// handleIntentAssigned adds a new intent, or begins to cancel a known one.
func (driver *Driver[P]) handleIntentAssigned(now identifier.Moment, assigned IntentAssigned) {
	intent := driver.intents.Get(assigned.Name)
	if intent == nil {
		intent = driver.adoptIntent(now, assigned)
	}
	if assigned.Cancelling && !intent.cancelling {
		intent.cancelling = true
		if !driver.quiet {
			driver.cancel(now, intent)
		}
	}
}

func (driver *Driver[P]) adoptIntent(now identifier.Moment, assigned IntentAssigned) *driverIntent {
	intent := &driverIntent{name: assigned.Name, spec: assigned.Spec, flushAt: identifier.Never}
	driver.intents.Put(assigned.Name, intent)
	for _, learned := range assigned.Learned {
		driver.Learner.Merge(guarder.KindKey{Team: assigned.Spec.Team, Kind: learned.Kind}, learned.Correction)
	}
	for _, allotment := range assigned.Allotments {
		batch := &driverBatch{
			intent: intent,
			number: allotment.Batch,
			batch:  assigned.Spec.Batches[allotment.Batch],
			group:  placer.GroupID{Intent: assigned.Name, Batch: allotment.Batch},
			from:   allotment.From,
			to:     allotment.To,
			states: make([]taskState, allotment.To-allotment.From),
		}
		batch.formerClaimed = batch.from
		for _, mark := range assigned.Claims {
			if mark.Batch == batch.number {
				batch.formerClaimed = mark.To
			}
		}
		batch.claimed = batch.formerClaimed
		batch.next = batch.from
		for _, ended := range assigned.Ranges {
			batch.markSettled(ended)
		}
		intent.batches = append(intent.batches, batch)
		driver.Placer.AddGroup(now, driver.placerGroup(batch))
	}
	if !driver.quiet {
		driver.settleFormerTasks(now, intent)
	}
	return intent
}

// placerGroup describes a batch to the placer, with the learned corrections applied.
// If no worker or quota could hold the corrected need, the declared need is used.
func (driver *Driver[P]) placerGroup(batch *driverBatch) placer.Group {
	spec := batch.intent.spec
	declared := driver.correctedDeclaration(batch)
	if !driver.Placer.CouldRun(spec.Team, declared.Need) {
		declared.Need = batch.batch.Need
	}
	return placer.Group{
		ID:             batch.group,
		Team:           spec.Team,
		Urgency:        spec.Urgency,
		Need:           declared.Need,
		RunTime:        declared.RunTime,
		Repeatable:     batch.batch.Repeatable,
		Checkpointable: declared.Checkpointable,
	}
}

func (driver *Driver[P]) kindKey(batch *driverBatch) guarder.KindKey {
	return guarder.KindKey{Team: batch.intent.spec.Team, Kind: batch.batch.Kind}
}

func (driver *Driver[P]) correctedDeclaration(batch *driverBatch) guarder.Declaration {
	declared := driver.Learner.Correction(driver.kindKey(batch)).Apply(batch.batch.Declaration())
	declared.Need = declared.Need.Max(batch.raisedNeed)
	return declared
}

// endQuietPeriod starts the driver's work once no task of a former lead can still run,
// except those that were adopted.
func (driver *Driver[P]) endQuietPeriod(now identifier.Moment) {
	if !driver.quiet || now.Before(driver.Granter.QuietUntil) {
		return
	}
	driver.quiet = false
	driver.placementPending = true
	driver.intents.Each(func(_ identifier.IntentName, intent *driverIntent) bool {
		driver.settleFormerTasks(now, intent)
		if intent.cancelling {
			driver.cancel(now, intent)
		}
		return true
	})
}

// settleFormerTasks settles tasks that a former lead may have started without reporting
// an outcome. Repeatable ones run again. The others get an unknown outcome and must not
// run again.
func (driver *Driver[P]) settleFormerTasks(now identifier.Moment, intent *driverIntent) {
	for _, batch := range intent.batches {
		if batch.batch.Repeatable {
			continue
		}
		lost := 0
		for index := batch.from; index < batch.formerClaimed; index++ {
			if batch.state(index) == taskOpen {
				driver.settle(now, batch, index, OutcomeUnknown)
				lost++
			}
		}
		if lost > 0 {
			driver.recordNote(now, intent, fmt.Sprintf("the lead changed: %d tasks may have run and are not run again", lost))
		}
	}
}

// refill claims tasks and queues them in the placer, up to Window tasks of each batch.
func (driver *Driver[P]) refill(now identifier.Moment) {
	driver.intents.Each(func(_ identifier.IntentName, intent *driverIntent) bool {
		if intent.cancelling {
			return true
		}
		for _, batch := range intent.batches {
			driver.refillBatch(now, batch)
		}
		return true
	})
}

func (driver *Driver[P]) refillBatch(now identifier.Moment, batch *driverBatch) {
	waiting, _ := driver.Placer.Waiting(batch.group)
	for waiting < driver.Settings.Window && batch.next < batch.claimed {
		index := batch.next
		batch.next++
		if batch.state(index) != taskOpen {
			continue
		}
		batch.setState(index, taskWaiting)
		driver.Placer.Enqueue(now, batch.group, NewTaskID(batch.intent.name, batch.number, index))
		waiting++
	}
	if batch.claimed-batch.next < driver.Settings.Window/2 && batch.claimed < batch.to && !batch.claimPending && !batch.claimRefused {
		batch.claimPending = true
		claim := &Claim{
			FailureDomain: driver.FailureDomain, Epoch: driver.Epoch, Batch: batch.number,
			From: batch.claimed, To: driver.claimEnd(batch),
		}
		driver.emit(Propose{Command{Kind: CommandClaim, Name: batch.intent.name, Claim: claim}})
	}
}

// claimEnd returns the end of the next claim. A repeatable batch is claimed as a whole, so
// that it continues while the failure domain is cut off from the log. Any other batch is
// claimed one window at a time, since the next lead starts no task that is already claimed.
func (driver *Driver[P]) claimEnd(batch *driverBatch) int {
	if batch.batch.Repeatable {
		return batch.to
	}
	return min(batch.claimed+driver.Settings.Window, batch.to)
}

func (driver *Driver[P]) handleClaimApplied(applied ClaimApplied) {
	intent := driver.intents.Get(applied.Name)
	if intent == nil || applied.Claim.Epoch != driver.Epoch {
		return
	}
	for _, batch := range intent.batches {
		if batch.number != applied.Claim.Batch || batch.claimed != applied.Claim.From {
			continue
		}
		batch.claimPending = false
		batch.claimRefused = !applied.Accepted
		if applied.Accepted {
			batch.claimed = applied.Claim.To
		}
	}
}

// cancel withdraws the tasks that have not started and stops those that run. A task that
// only a former lead may have started gets an unknown outcome.
func (driver *Driver[P]) cancel(now identifier.Moment, intent *driverIntent) {
	for _, batch := range intent.batches {
		driver.Placer.Withdraw(batch.group)
		for index := batch.from; index < batch.to; index++ {
			switch batch.state(index) {
			case taskOpen, taskWaiting:
				driver.settle(now, batch, index, batch.outcomeWithoutRun(index))
			case taskRunning:
				driver.stop(NewTaskID(intent.name, batch.number, index), stopCauseCancelled, "the intent is cancelled")
			}
		}
	}
}

// outcomeWithoutRun returns the outcome of a task that is given up while it doesn't run.
func (batch *driverBatch) outcomeWithoutRun(index int) Outcome {
	if outcome, ran := batch.earlierOutcomes[index]; ran {
		return outcome
	}
	if index < batch.formerClaimed {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

// handleIntentEnded cancels an intent that the log has ended. It is removed once every
// task is settled.
func (driver *Driver[P]) handleIntentEnded(now identifier.Moment, name identifier.IntentName) {
	intent := driver.intents.Get(name)
	if intent == nil {
		return
	}
	intent.cancelling = true
	intent.ended = true
	driver.cancel(now, intent)
	driver.scheduleFlush(now, intent)
}

func (batch *driverBatch) state(index int) taskState { return batch.states[index-batch.from] }

func (batch *driverBatch) setState(index int, state taskState) {
	batch.states[index-batch.from] = state
}

func (batch *driverBatch) markSettled(ended Range) {
	if ended.Batch != batch.number {
		return
	}
	for index := max(ended.From, batch.from); index < min(ended.To, batch.to); index++ {
		batch.setState(index, taskSettled)
		batch.settled++
		if ended.Outcome == OutcomeSucceeded {
			batch.succeeded++
		}
	}
}

// checkpoint records why a task was checkpointed.
type checkpoint struct {
	// byGuarder reports whether the guarder ordered the checkpoint because the task used too
	// much. The next time, the task is stopped instead, or it might be checkpointed and
	// resumed forever.
	byGuarder bool
}

// recordEarlierOutcome records how a run of a task that waits again may have ended. Without
// it, a task that ran and is cancelled while it waits would be reported as never run.
func (batch *driverBatch) recordEarlierOutcome(index int, outcome Outcome) {
	if batch.earlierOutcomes == nil {
		batch.earlierOutcomes = make(map[int]Outcome)
	}
	batch.earlierOutcomes[index] = max(outcome, batch.earlierOutcomes[index])
}

// hasCheckpoint reports whether a task can resume from a checkpoint.
func (batch *driverBatch) hasCheckpoint(index int) bool {
	_, saved := batch.checkpoints[index]
	return saved
}

func (batch *driverBatch) recordCheckpoint(index int, byGuarder bool) {
	if batch.checkpoints == nil {
		batch.checkpoints = make(map[int]checkpoint)
	}
	batch.checkpoints[index] = checkpoint{byGuarder: byGuarder || batch.checkpoints[index].byGuarder}
}
