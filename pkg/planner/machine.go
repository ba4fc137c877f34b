// Package planner turns what operators state into plans, and confirmed plans into
// running tasks.
//
// Machine is the replicated state of intents: it applies commands from the
// keepers' log, the same on every keeper. Proposer makes plans from pictures of
// the failure domains. Driver runs confirmed plans on the workers of one failure
// domain.
package planner

import (
	"fmt"

	"github.com/stoathitch/stoathitch/pkg/guarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// Limits of what a Machine keeps.
const (
	// DefaultAnswers is the number of answers remembered for resends.
	DefaultAnswers = 16_384
	// DefaultEnded is the number of ended intents that are kept.
	DefaultEnded = 2048
	// MaxTasks is the highest number of tasks of one intent.
	MaxTasks = 100_000
)

// Machine is the deterministic state of all intents. Set the exported fields
// before use, the same on every keeper.
type Machine struct {
	Answers int
	Ended   int

	records *tabulator.Table[identifier.IntentName, Record]
	answers *tabulator.Table[identifier.RequestID, answer]
	ended   *tabulator.Table[identifier.IntentName, identifier.LogIndex]
	epochs  *tabulator.Table[identifier.FailureDomain, identifier.Epoch]
	applied identifier.LogIndex
	// changed is the index of the last change of any intent's revision.
	changed identifier.LogIndex
	// learned outlives the drivers and is shared by all failure domains.
	learned *guarder.Learner
}

// answer is the first answer to a request.
type answer struct {
	Kind   CommandKind           `cbor:"1,keyasint,omitempty"`
	Name   identifier.IntentName `cbor:"2,keyasint,omitempty"`
	Result Result                `cbor:"3,keyasint,omitempty"`
}

// Apply applies the entry at index. A command whose request was answered before
// gets that answer again and changes nothing, which is how an operator who lost
// an answer learns it, from whichever host.
func (machine *Machine) Apply(index identifier.LogIndex, command Command) Result {
	machine.prepare()
	machine.applied = index
	if command.Request == "" {
		return machine.execute(index, command)
	}
	if known := machine.answers.Get(command.Request); known != nil {
		if known.Kind != command.Kind || known.Name != command.Name {
			return Result{Kind: ResultInvalid, Index: index, Reason: "the request id was used for another command"}
		}
		return known.Result
	}
	result := machine.execute(index, command)
	machine.answers.Put(command.Request, &answer{Kind: command.Kind, Name: command.Name, Result: result})
	dropFirst(machine.answers, machine.Answers)
	return result
}

// Applied returns the index of the last entry applied.
func (machine *Machine) Applied() identifier.LogIndex { return machine.applied }

// Get returns the record of an intent, or nil. It must not be changed.
func (machine *Machine) Get(name identifier.IntentName) *Record {
	machine.prepare()
	return machine.records.Get(name)
}

// Names returns the names of all known intents in the order of their creation.
func (machine *Machine) Names() []identifier.IntentName {
	machine.prepare()
	return machine.records.Keys()
}

// Correction returns what was learned of a kind of batch, for a Proposer.
func (machine *Machine) Correction(key guarder.KindKey) guarder.Correction {
	machine.prepare()
	return machine.learned.Correction(key)
}

func (machine *Machine) execute(index identifier.LogIndex, command Command) Result {
	switch command.Kind {
	case CommandCreate:
		return machine.create(index, command)
	case CommandLead:
		return machine.lead(index, command)
	}
	record := machine.records.Get(command.Name)
	if record == nil {
		return Result{Kind: ResultNotFound, Index: index, Reason: "there is no intent of that name"}
	}
	switch command.Kind {
	case CommandProgress:
		return machine.progress(index, command, record)
	case CommandClaim:
		return machine.claim(index, command, record)
	}
	if command.Revision != record.Revision {
		return conflict(index, record, command.Revision)
	}
	switch command.Kind {
	case CommandPlan:
		return machine.plan(index, command, record)
	case CommandConfirm:
		return machine.confirm(index, command, record)
	case CommandReject:
		return machine.reject(index, command, record)
	case CommandExpire:
		return machine.expire(index, command, record)
	case CommandCancel:
		return machine.cancel(index, command, record)
	case CommandEnd:
		return machine.end(index, command, record)
	}
	return refuse(index, record, ResultInvalid, "unknown command")
}

func (machine *Machine) create(index identifier.LogIndex, command Command) Result {
	if record := machine.records.Get(command.Name); record != nil {
		return conflict(index, record, 0)
	}
	if reason := invalidSpec(command); reason != "" {
		return Result{Kind: ResultInvalid, Index: index, Reason: reason}
	}
	record := &Record{Name: command.Name, Spec: *command.Spec}
	machine.records.Put(command.Name, record)
	return machine.accept(index, command, record, StateCreated, "created by "+string(command.Operator))
}

func (machine *Machine) plan(index identifier.LogIndex, command Command, record *Record) Result {
	if record.State != StateCreated && record.State != StatePlanned {
		return refuse(index, record, ResultWrongState, "only an unconfirmed intent is planned")
	}
	if command.Plan == nil {
		return refuse(index, record, ResultInvalid, "there is no plan")
	}
	if len(command.Plan.Allotments)+len(command.Plan.Refusals) == 0 {
		return machine.postpone(index, command, record)
	}
	record.Plans++
	plan := *command.Plan
	plan.Number = record.Plans
	replaced := record.Plan
	record.Plan = &plan
	if len(plan.Refusals) > 0 {
		record.settleRest(OutcomeNotRun)
	}
	result := machine.accept(index, command, record, planState(plan), planReason(plan, replaced, command.Reason))
	result.Plan = &plan
	return result
}

// postpone says why there is no plan yet. The intent stays as it is.
func (machine *Machine) postpone(index identifier.LogIndex, command Command, record *Record) Result {
	reason := "no plan yet: " + command.Plan.Queued
	if last := len(record.Steps) - 1; record.Steps[last].Reason != reason {
		record.explain(Step{Index: index, Wall: command.Wall, Kind: command.Kind, Reason: reason})
	}
	return Result{Kind: ResultAccepted, Index: index, State: record.State, Revision: record.Revision, Reason: reason}
}

func planState(plan Plan) State {
	if len(plan.Refusals) > 0 {
		return StateImpossible
	}
	return StatePlanned
}

func planReason(plan Plan, replaced *Plan, reason string) string {
	text := fmt.Sprintf("plan %d", plan.Number)
	if replaced != nil {
		text += fmt.Sprintf(" replaces plan %d", replaced.Number)
	}
	if reason != "" {
		text += ": " + reason
	}
	if plan.Queued != "" {
		text += "; queued: " + plan.Queued
	}
	for _, refusal := range plan.Refusals {
		text += "; can never run: " + refusal
	}
	return text
}

func (machine *Machine) confirm(index identifier.LogIndex, command Command, record *Record) Result {
	if record.State != StatePlanned {
		return refuse(index, record, ResultWrongState, "there is no plan to confirm")
	}
	if record.Plan.Number != command.PlanNumber {
		result := conflict(index, record, record.Revision-1)
		result.Plan = record.Plan
		return result
	}
	return machine.accept(index, command, record, StateConfirmed, fmt.Sprintf("plan %d confirmed by %s", record.Plan.Number, command.Operator))
}

func (machine *Machine) reject(index identifier.LogIndex, command Command, record *Record) Result {
	if record.State != StateCreated && record.State != StatePlanned {
		return refuse(index, record, ResultWrongState, "only an unconfirmed intent is rejected")
	}
	record.settleRest(OutcomeNotRun)
	return machine.accept(index, command, record, StateRejected, "rejected by "+string(command.Operator)+because(command.Reason))
}

func (machine *Machine) expire(index identifier.LogIndex, command Command, record *Record) Result {
	if record.State != StatePlanned {
		return refuse(index, record, ResultWrongState, "there is no plan to expire")
	}
	number := record.Plan.Number
	record.Plan = nil
	return machine.accept(index, command, record, StateCreated, fmt.Sprintf("plan %d was not confirmed in time", number))
}

func (machine *Machine) cancel(index identifier.LogIndex, command Command, record *Record) Result {
	reason := "cancelled by " + string(command.Operator) + because(command.Reason)
	switch record.State {
	case StateCreated, StatePlanned:
		record.settleRest(OutcomeNotRun)
		return machine.accept(index, command, record, StateCancelled, reason)
	case StateConfirmed, StateRunning:
		return machine.accept(index, command, record, StateCancelling, reason)
	}
	return refuse(index, record, ResultWrongState, "it is "+record.State.String())
}

func (machine *Machine) end(index identifier.LogIndex, command Command, record *Record) Result {
	switch record.State {
	case StateConfirmed, StateRunning, StateCancelling:
	default:
		return refuse(index, record, ResultWrongState, "it is "+record.State.String())
	}
	cancelled := record.State == StateCancelling
	record.settleUnclaimed()
	record.settleRest(OutcomeUnknown)
	return machine.accept(index, command, record, lastState(record, cancelled), "given up by "+string(command.Operator)+because(command.Reason)+": "+record.Tally().String())
}

func because(reason string) string {
	if reason == "" {
		return ""
	}
	return " (" + reason + ")"
}

// settleUnclaimed says of the tasks that no driver has claimed that they did not run:
// once the intent has ended nobody can claim them any more.
func (record *Record) settleUnclaimed() {
	for _, allotment := range record.Plan.Allotments {
		mark := record.claimed(allotment.FailureDomain, allotment.Batch, allotment.From)
		record.settle(Range{Batch: allotment.Batch, From: mark.To, To: allotment.To, Outcome: OutcomeNotRun})
	}
}

// settleRest gives an outcome to every task that has none.
func (record *Record) settleRest(outcome Outcome) {
	for batch := range record.Spec.Batches {
		record.settle(Range{Batch: batch, To: record.Spec.Batches[batch].Count, Outcome: outcome})
	}
}

// accept moves a record on to its next revision.
func (machine *Machine) accept(index identifier.LogIndex, command Command, record *Record, state State, reason string) Result {
	record.State = state
	record.Revision++
	machine.changed = index
	change := Change{
		Revision: record.Revision, Kind: command.Kind, Operator: command.Operator, Wall: command.Wall,
		Request: command.Request, Index: index, Spec: command.Spec, PlanNumber: command.PlanNumber,
	}
	if command.Kind == CommandPlan {
		change.PlanNumber = record.Plans
	}
	record.Changes = append(record.Changes, change)
	if len(record.Changes) > keptChanges {
		record.Changes = append(record.Changes[:1], record.Changes[2:]...)
	}
	record.explain(Step{Index: index, Wall: command.Wall, Kind: command.Kind, Reason: reason})
	machine.noteEnd(index, record)
	return Result{Kind: ResultAccepted, Index: index, State: record.State, Revision: record.Revision, Reason: reason}
}

// noteEnd keeps only so many ended intents; the names of the others are free again.
func (machine *Machine) noteEnd(index identifier.LogIndex, record *Record) {
	if !record.State.Ended() || machine.ended.Get(record.Name) != nil {
		return
	}
	machine.ended.Put(record.Name, &index)
	record.forgetRacks()
	machine.ended.Each(func(name identifier.IntentName, _ *identifier.LogIndex) bool {
		if machine.ended.Len() <= machine.Ended {
			return false
		}
		machine.ended.Remove(name)
		machine.records.Remove(name)
		return true
	})
}

// conflict names the change that was made to the revision that the sender saw.
func conflict(index identifier.LogIndex, record *Record, seen uint64) Result {
	winner := record.Changes[len(record.Changes)-1]
	for _, change := range record.Changes {
		if change.Revision == seen+1 {
			winner = change
			break
		}
	}
	reason := fmt.Sprintf("%s was first, with %s at revision %d", winner.Operator, winner.Kind, winner.Revision)
	return Result{
		Kind: ResultConflict, Index: index, State: record.State, Revision: record.Revision,
		Reason: reason, Winner: &winner,
	}
}

func refuse(index identifier.LogIndex, record *Record, kind ResultKind, reason string) Result {
	return Result{Kind: kind, Index: index, State: record.State, Revision: record.Revision, Reason: reason}
}

func (machine *Machine) prepare() {
	if machine.records != nil {
		return
	}
	machine.records = tabulator.New[identifier.IntentName, Record]()
	machine.answers = tabulator.New[identifier.RequestID, answer]()
	machine.ended = tabulator.New[identifier.IntentName, identifier.LogIndex]()
	machine.learned = &guarder.Learner{Limit: DefaultKinds}
	machine.epochs = tabulator.New[identifier.FailureDomain, identifier.Epoch]()
	if machine.Answers == 0 {
		machine.Answers = DefaultAnswers
	}
	if machine.Ended == 0 {
		machine.Ended = DefaultEnded
	}
}

// dropFirst removes the oldest rows down to limit, once an eighth too many are
// there: each removal alone would pass over the rows removed before it.
func dropFirst[K comparable, V any](table *tabulator.Table[K, V], limit int) {
	if table.Len() <= limit+limit/8 {
		return
	}
	table.Each(func(key K, _ *V) bool {
		if table.Len() <= limit {
			return false
		}
		table.Remove(key)
		return true
	})
}
