// Package planner plans the intents that operators state, and runs confirmed plans as
// tasks.
//
// Machine is the replicated state of intents: it applies commands from the keepers' log,
// the same on every keeper. Proposer makes plans from the DomainStatus of each failure domain.
// Driver runs confirmed plans on the workers of one failure domain.
package planner

import (
	"fmt"

	"github.com/stoathitch/stoathitch/pkg/guarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// Limits of what a Machine keeps.
const (
	// DefaultAnswers is the number of results kept for resent requests.
	DefaultAnswers = 16_384
	// DefaultEnded is the number of ended intents that are kept.
	DefaultEnded = 2048
	// MaxTasks is the highest number of tasks of one intent.
	MaxTasks = 100_000
)

// Machine is the deterministic state of all intents. Set the exported fields before use,
// to the same values on every keeper; zero selects the default.
type Machine struct {
	MaxAnswers int
	MaxEnded   int

	records *tabulator.Table[identifier.IntentName, Record]
	answers *tabulator.Table[identifier.RequestID, answer]
	ended   *tabulator.Table[identifier.IntentName, identifier.LogIndex]
	epochs  *tabulator.Table[identifier.FailureDomain, identifier.Epoch]
	applied identifier.LogIndex
	// lastChange is the index of the last change of any intent's revision.
	lastChange identifier.LogIndex
	// learned outlives the drivers and is shared by all failure domains.
	learned *guarder.Learner
}

// answer is the first result of a request, with the command's kind and intent.
type answer struct {
	Kind   CommandKind           `cbor:"1,keyasint,omitempty"`
	Name   identifier.IntentName `cbor:"2,keyasint,omitempty"`
	Result Result                `cbor:"3,keyasint,omitempty"`
}

// Apply applies the entry at index. A command whose request was applied before gets the
// first result again and changes nothing, so an operator that lost a response can resend
// the request to any host.
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
	dropOldest(machine.answers, machine.MaxAnswers)
	return result
}

// Applied returns the index of the last entry applied.
func (machine *Machine) Applied() identifier.LogIndex { return machine.applied }

// Get returns the record of an intent, or nil. The caller must not change it.
func (machine *Machine) Get(name identifier.IntentName) *Record {
	machine.prepare()
	return machine.records.Get(name)
}

// Names returns the names of all known intents in the order of their creation.
func (machine *Machine) Names() []identifier.IntentName {
	machine.prepare()
	return machine.records.Keys()
}

// Correction returns the learned correction for a kind of batch, for use by a Proposer.
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
		record.settleRemaining(OutcomeNotRun)
	}
	result := machine.accept(index, command, record, planState(plan), planReason(plan, replaced, command.Reason))
	result.Plan = &plan
	return result
}

// postpone records why there is no plan yet. State and revision stay unchanged.
func (machine *Machine) postpone(index identifier.LogIndex, command Command, record *Record) Result {
	reason := "no plan yet: " + command.Plan.Queued
	if last := len(record.Steps) - 1; record.Steps[last].Reason != reason {
		record.addStep(Step{Index: index, Wall: command.Wall, Kind: command.Kind, Reason: reason})
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
	record.settleRemaining(OutcomeNotRun)
	return machine.accept(index, command, record, StateRejected, "rejected by "+string(command.Operator)+reasonSuffix(command.Reason))
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
	reason := "cancelled by " + string(command.Operator) + reasonSuffix(command.Reason)
	switch record.State {
	case StateCreated, StatePlanned:
		record.settleRemaining(OutcomeNotRun)
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
	record.settleRemaining(OutcomeUnknown)
	return machine.accept(index, command, record, finalState(record, cancelled), "given up by "+string(command.Operator)+reasonSuffix(command.Reason)+": "+record.Tally().String())
}

func reasonSuffix(reason string) string {
	if reason == "" {
		return ""
	}
	return " (" + reason + ")"
}

// settleUnclaimed sets OutcomeNotRun for the tasks that no driver has claimed: after the
// intent has ended no driver can claim them.
func (record *Record) settleUnclaimed() {
	for _, allotment := range record.Plan.Allotments {
		mark := record.claimMark(allotment.FailureDomain, allotment.Batch, allotment.From)
		record.settle(Range{Batch: allotment.Batch, From: mark.To, To: allotment.To, Outcome: OutcomeNotRun})
	}
}

// settleRemaining sets the outcome of every task that has none.
func (record *Record) settleRemaining(outcome Outcome) {
	for batch := range record.Spec.Batches {
		record.settle(Range{Batch: batch, To: record.Spec.Batches[batch].Count, Outcome: outcome})
	}
}

// accept applies a change to a record and increments its revision.
func (machine *Machine) accept(index identifier.LogIndex, command Command, record *Record, state State, reason string) Result {
	record.State = state
	record.Revision++
	machine.lastChange = index
	change := Change{
		Revision: record.Revision, Kind: command.Kind, Operator: command.Operator, Wall: command.Wall,
		Request: command.Request, Index: index, Spec: command.Spec, PlanNumber: command.PlanNumber,
	}
	if command.Kind == CommandPlan {
		change.PlanNumber = record.Plans
	}
	record.Changes = append(record.Changes, change)
	if len(record.Changes) > maxChanges {
		record.Changes = append(record.Changes[:1], record.Changes[2:]...)
	}
	record.addStep(Step{Index: index, Wall: command.Wall, Kind: command.Kind, Reason: reason})
	machine.recordEnd(index, record)
	return Result{Kind: ResultAccepted, Index: index, State: record.State, Revision: record.Revision, Reason: reason}
}

// recordEnd records that an intent has ended and removes the oldest ended ones beyond the
// limit; their names can be used again.
func (machine *Machine) recordEnd(index identifier.LogIndex, record *Record) {
	if !record.State.Ended() || machine.ended.Get(record.Name) != nil {
		return
	}
	machine.ended.Put(record.Name, &index)
	record.dropRacks()
	machine.ended.Each(func(name identifier.IntentName, _ *identifier.LogIndex) bool {
		if machine.ended.Len() <= machine.MaxEnded {
			return false
		}
		machine.ended.Remove(name)
		machine.records.Remove(name)
		return true
	})
}

// conflict returns a ResultConflict with the change that followed the revision that the
// sender saw, or with the latest change if that one is no longer kept.
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
	if machine.MaxAnswers == 0 {
		machine.MaxAnswers = DefaultAnswers
	}
	if machine.MaxEnded == 0 {
		machine.MaxEnded = DefaultEnded
	}
}

// dropOldest removes the oldest rows down to limit once it is exceeded by an eighth.
// Removing them one at a time would skip over all removed rows each time.
func dropOldest[K comparable, V any](table *tabulator.Table[K, V], limit int) {
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
