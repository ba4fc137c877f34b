package planner

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/stoathitch/stoathitch/pkg/guarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/placer"
)

// driven is an intent that the driver has a part in.
type driven struct {
	name       identifier.IntentName
	spec       Spec
	batches    []*drivenBatch
	cancelling bool
	started    bool
	// over tells that the log has ended the intent.
	over bool
	// announced tells whether the first start was reported.
	announced bool
	ranges    []Range
	notes     []pendingNote
	flushAt   identifier.Moment
}

// drivenBatch is the driver's part of a batch.
type drivenBatch struct {
	intent *driven
	number int
	batch  Batch
	group  placer.GroupID
	from   int
	to     int
	// next is the next index that was never started nor queued by this driver.
	next int
	// claimed is the index up to which the log lets this driver start tasks.
	claimed int
	// former is the index up to which a former lead may have started tasks.
	former       int
	claimPending bool
	claimRefused bool
	states       []indexState
	// saved holds the tasks with a checkpoint.
	saved map[int]checkpoint
	// raised is the highest use of tasks that were checkpointed for it: they run
	// again with the room that they need.
	raised identifier.Resources
	// ran holds what is known of earlier runs of tasks that wait again.
	ran       map[int]Outcome
	settled   int
	succeeded int
	blocked   placer.Blocked
	// taught tells that a task has ended of which the log doesn't know yet.
	taught bool
}

// indexState is where one task of a batch stands.
type indexState uint8

const (
	// indexOpen has not been handled yet.
	indexOpen indexState = iota
	// indexWaiting waits in the placer.
	indexWaiting
	// indexRunning has a lease.
	indexRunning
	// indexSettled has an outcome.
	indexSettled
)

// taskSeparator stands between the parts of a TaskID.
const taskSeparator = "/"

// NameTask returns the id of a task of an intent.
func NameTask(name identifier.IntentName, batch, index int) identifier.TaskID {
	return identifier.TaskID(string(name) + taskSeparator + strconv.Itoa(batch) + taskSeparator + strconv.Itoa(index))
}

// IntentOf returns the intent of a task, or nothing for an id of another form.
func IntentOf(task identifier.TaskID) identifier.IntentName {
	name, _, _, _ := splitTask(task)
	return name
}

// splitTask returns the parts of a TaskID.
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

// assign takes an intent over, or begins to cancel one that it has.
func (driver *Driver[P]) assign(now identifier.Moment, assigned IntentAssigned) {
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

func (driver *Driver[P]) adoptIntent(now identifier.Moment, assigned IntentAssigned) *driven {
	intent := &driven{name: assigned.Name, spec: assigned.Spec, flushAt: identifier.Never}
	driver.intents.Put(assigned.Name, intent)
	for _, learned := range assigned.Learned {
		driver.Learner.Seed(guarder.KindKey{Team: assigned.Spec.Team, Kind: learned.Kind}, learned.Correction)
	}
	for _, allotment := range assigned.Allotments {
		batch := &drivenBatch{
			intent: intent,
			number: allotment.Batch,
			batch:  assigned.Spec.Batches[allotment.Batch],
			group:  placer.GroupID{Intent: assigned.Name, Batch: allotment.Batch},
			from:   allotment.From,
			to:     allotment.To,
			states: make([]indexState, allotment.To-allotment.From),
		}
		batch.former = batch.from
		for _, mark := range assigned.Claims {
			if mark.Batch == batch.number {
				batch.former = mark.To
			}
		}
		batch.claimed = batch.former
		batch.next = batch.from
		for _, ended := range assigned.Ranges {
			batch.markSettled(ended)
		}
		intent.batches = append(intent.batches, batch)
		driver.Placer.AddGroup(now, driver.wanted(batch))
	}
	if !driver.quiet {
		driver.resolveFormer(now, intent)
	}
	return intent
}

// wanted returns what the placer needs of a batch, with what was learned since,
// unless no worker or quota could hold that: then what was declared.
func (driver *Driver[P]) wanted(batch *drivenBatch) placer.Group {
	spec := batch.intent.spec
	declared := driver.declaration(batch)
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

func (driver *Driver[P]) key(batch *drivenBatch) guarder.KindKey {
	return guarder.KindKey{Team: batch.intent.spec.Team, Kind: batch.batch.Kind}
}

func (driver *Driver[P]) declaration(batch *drivenBatch) guarder.Declaration {
	declared := driver.Learner.Correction(driver.key(batch)).Apply(batch.batch.Declaration())
	declared.Need = declared.Need.Max(batch.raised)
	return declared
}

// endQuiet begins the work once no task of a former lead can run any more, but
// for those that were adopted.
func (driver *Driver[P]) endQuiet(now identifier.Moment) {
	if !driver.quiet || now.Before(driver.Granter.QuietUntil) {
		return
	}
	driver.quiet = false
	driver.changed = true
	driver.intents.Each(func(_ identifier.IntentName, intent *driven) bool {
		driver.resolveFormer(now, intent)
		if intent.cancelling {
			driver.cancel(now, intent)
		}
		return true
	})
}

// resolveFormer decides on tasks that a former lead may have started and whose
// outcome it did not report. Repeatable ones run again; the others are not known
// to have run, and must not run again.
func (driver *Driver[P]) resolveFormer(now identifier.Moment, intent *driven) {
	for _, batch := range intent.batches {
		if batch.batch.Repeatable {
			continue
		}
		lost := 0
		for index := batch.from; index < batch.former; index++ {
			if batch.state(index) == indexOpen {
				driver.settle(now, batch, index, OutcomeUnknown)
				lost++
			}
		}
		if lost > 0 {
			driver.note(now, intent, fmt.Sprintf("the lead changed: %d tasks may have run and are not run again", lost))
		}
	}
}

// refill claims tasks and lets them wait in the placer, a window at a time.
func (driver *Driver[P]) refill(now identifier.Moment) {
	driver.intents.Each(func(_ identifier.IntentName, intent *driven) bool {
		if intent.cancelling {
			return true
		}
		for _, batch := range intent.batches {
			driver.refillBatch(now, batch)
		}
		return true
	})
}

func (driver *Driver[P]) refillBatch(now identifier.Moment, batch *drivenBatch) {
	waiting, _ := driver.Placer.Waiting(batch.group)
	for waiting < driver.Settings.Window && batch.next < batch.claimed {
		index := batch.next
		batch.next++
		if batch.state(index) != indexOpen {
			continue
		}
		batch.setState(index, indexWaiting)
		driver.Placer.Enqueue(now, batch.group, NameTask(batch.intent.name, batch.number, index))
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

// claimEnd returns how far to claim. A repeatable batch is claimed whole, so that it
// goes on while the failure domain is cut off from the log. What is not repeatable
// is claimed by the window, since the next lead starts nothing that is claimed.
func (driver *Driver[P]) claimEnd(batch *drivenBatch) int {
	if batch.batch.Repeatable {
		return batch.to
	}
	return min(batch.claimed+driver.Settings.Window, batch.to)
}

func (driver *Driver[P]) claimApplied(applied ClaimApplied) {
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

// cancel gives up what has not started and stops what runs. A task that only a
// former lead may have started is not known to have run.
func (driver *Driver[P]) cancel(now identifier.Moment, intent *driven) {
	for _, batch := range intent.batches {
		driver.Placer.Withdraw(batch.group)
		for index := batch.from; index < batch.to; index++ {
			switch batch.state(index) {
			case indexOpen, indexWaiting:
				driver.settle(now, batch, index, batch.unstarted(index))
			case indexRunning:
				driver.stop(NameTask(intent.name, batch.number, index), leavingCancelled, "the intent is cancelled")
			}
		}
	}
}

// unstarted returns the outcome of a task that is given up and not running now.
func (batch *drivenBatch) unstarted(index int) Outcome {
	if outcome, ran := batch.ran[index]; ran {
		return outcome
	}
	if index < batch.former {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

// intentEnded drops an intent that the log has ended.
func (driver *Driver[P]) intentEnded(now identifier.Moment, name identifier.IntentName) {
	intent := driver.intents.Get(name)
	if intent == nil {
		return
	}
	intent.cancelling = true
	intent.over = true
	driver.cancel(now, intent)
	driver.scheduleFlush(now, intent)
}

func (batch *drivenBatch) state(index int) indexState { return batch.states[index-batch.from] }

func (batch *drivenBatch) setState(index int, state indexState) {
	batch.states[index-batch.from] = state
}

func (batch *drivenBatch) markSettled(ended Range) {
	if ended.Batch != batch.number {
		return
	}
	for index := max(ended.From, batch.from); index < min(ended.To, batch.to); index++ {
		batch.setState(index, indexSettled)
		batch.settled++
		if ended.Outcome == OutcomeSucceeded {
			batch.succeeded++
		}
	}
}

// checkpoint says why a task was checkpointed.
type checkpoint struct {
	// guarded tells that the task had used too much. It is not checkpointed for
	// that again but stopped, since otherwise it could go around for ever.
	guarded bool
}

// remember keeps what is known of a run of a task that waits again. Without it a
// task that ran and is then cancelled while it waits would be said not to have run.
func (batch *drivenBatch) remember(index int, outcome Outcome) {
	if batch.ran == nil {
		batch.ran = make(map[int]Outcome)
	}
	batch.ran[index] = max(outcome, batch.ran[index])
}

// resumes tells whether a task has a checkpoint to go on from.
func (batch *drivenBatch) resumes(index int) bool {
	_, saved := batch.saved[index]
	return saved
}

func (batch *drivenBatch) save(index int, guarded bool) {
	if batch.saved == nil {
		batch.saved = make(map[int]checkpoint)
	}
	batch.saved[index] = checkpoint{guarded: guarded || batch.saved[index].guarded}
}
