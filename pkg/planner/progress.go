package planner

import (
	"fmt"

	"github.com/stoathitch/stoathitch/pkg/guarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// progress applies reported outcomes. Only the end of the intent changes the revision, so
// that an operator's cancellation doesn't conflict with each report.
func (machine *Machine) progress(index identifier.LogIndex, command Command, record *Record) Result {
	progress := command.Progress
	if progress == nil {
		return refuse(index, record, ResultInvalid, "there is no progress")
	}
	if machine.fenced(progress.FailureDomain, progress.Epoch) {
		return refuse(index, record, ResultFenced, "another lead has taken over")
	}
	switch record.State {
	case StateConfirmed, StateRunning, StateCancelling:
	default:
		return refuse(index, record, ResultWrongState, "it is "+record.State.String())
	}
	for _, ended := range progress.Ranges {
		record.settle(ended)
	}
	for _, learned := range progress.Learned {
		machine.learned.Merge(guarder.KindKey{Team: record.Spec.Team, Kind: learned.Kind}, learned.Correction)
	}
	if progress.Started && record.State == StateConfirmed {
		record.State = StateRunning
		record.addStep(Step{Index: index, Wall: command.Wall, Kind: command.Kind, Reason: "first task started in " + string(progress.FailureDomain)})
	}
	for _, note := range progress.Notes {
		record.addStep(Step{Index: index, Wall: command.Wall.Add(-note.Ago), Kind: command.Kind, Reason: noteText(progress.FailureDomain, note)})
	}
	if record.Tally().Sum() < record.Spec.Tasks() {
		return Result{Kind: ResultAccepted, Index: index, State: record.State, Revision: record.Revision}
	}
	state := finalState(record, record.State == StateCancelling)
	return machine.accept(index, command, record, state, state.String()+": "+record.Tally().String())
}

func noteText(domain identifier.FailureDomain, note Note) string {
	text := string(domain) + ": " + note.Reason
	if note.Count > 1 {
		text += fmt.Sprintf(" (%d times)", note.Count)
	}
	return text
}

// claim reserves starts, so that no later lead starts the same tasks.
func (machine *Machine) claim(index identifier.LogIndex, command Command, record *Record) Result {
	claim := command.Claim
	if claim == nil {
		return refuse(index, record, ResultInvalid, "there is no claim")
	}
	if machine.fenced(claim.FailureDomain, claim.Epoch) {
		return refuse(index, record, ResultFenced, "another lead has taken over")
	}
	if record.State != StateConfirmed && record.State != StateRunning {
		return refuse(index, record, ResultWrongState, "it is "+record.State.String())
	}
	allotment, found := record.Plan.allotment(claim.FailureDomain, claim.Batch)
	if !found || claim.To > allotment.To || claim.To < claim.From {
		return refuse(index, record, ResultInvalid, "the plan does not allot these tasks")
	}
	mark := record.claimMark(claim.FailureDomain, claim.Batch, allotment.From)
	repeated := claim.From == mark.From && claim.To == mark.To && claim.Epoch == mark.Epoch
	if claim.From != mark.To && !repeated {
		return refuse(index, record, ResultConflict, "these tasks are claimed")
	}
	mark.From, mark.To, mark.Epoch = claim.From, claim.To, claim.Epoch
	return Result{Kind: ResultAccepted, Index: index, State: record.State, Revision: record.Revision}
}

// lead raises the epoch of a failure domain. Without an epoch in the command the log
// assigns the next one: two hosts that both consider themselves lead never get the same
// epoch, and a failure domain that was rebuilt does not begin below its former leads.
func (machine *Machine) lead(index identifier.LogIndex, command Command) Result {
	claim := command.Claim
	if claim == nil {
		return Result{Kind: ResultInvalid, Index: index, Reason: "there is no failure domain"}
	}
	if claim.Epoch == 0 {
		epoch := machine.Epoch(claim.FailureDomain) + 1
		machine.epochs.Put(claim.FailureDomain, &epoch)
		return Result{Kind: ResultAccepted, Index: index, Epoch: epoch}
	}
	if machine.fenced(claim.FailureDomain, claim.Epoch) {
		return Result{Kind: ResultFenced, Index: index, Reason: "another lead has taken over"}
	}
	return Result{Kind: ResultAccepted, Index: index, Epoch: claim.Epoch}
}

// Epoch returns the highest epoch of a failure domain, or 0 if it had no lead yet.
func (machine *Machine) Epoch(domain identifier.FailureDomain) identifier.Epoch {
	machine.prepare()
	if highest := machine.epochs.Get(domain); highest != nil {
		return *highest
	}
	return 0
}

// fenced reports whether epoch is below the highest one of a failure domain. If it isn't,
// it becomes the highest.
func (machine *Machine) fenced(domain identifier.FailureDomain, epoch identifier.Epoch) bool {
	highest := machine.epochs.Get(domain)
	if highest != nil && epoch < *highest {
		return true
	}
	machine.epochs.Put(domain, &epoch)
	return false
}

// allotment returns the failure domain's part of a batch.
func (plan *Plan) allotment(domain identifier.FailureDomain, batch int) (Allotment, bool) {
	for _, allotment := range plan.Allotments {
		if allotment.FailureDomain == domain && allotment.Batch == batch {
			return allotment, true
		}
	}
	return Allotment{}, false
}

// finalState returns the state of an intent whose tasks all have an outcome.
func finalState(record *Record, cancelled bool) State {
	tally := record.Tally()
	if tally[OutcomeSucceeded] == record.Spec.Tasks() {
		return StateComplete
	}
	if cancelled {
		return StateCancelled
	}
	return StateFailed
}

// invalidSpec returns why an intent can't be created, or an empty text if it can.
func invalidSpec(command Command) string {
	switch {
	case command.Name == "":
		return "an intent needs a name"
	case command.Revision != 0:
		return "a new intent has revision 0"
	case command.Spec == nil || len(command.Spec.Batches) == 0:
		return "an intent needs a batch"
	case command.Spec.Team == "":
		return "an intent needs a team"
	case command.Spec.Tasks() > MaxTasks:
		return fmt.Sprintf("an intent has at most %d tasks", MaxTasks)
	}
	for number, batch := range command.Spec.Batches {
		if reason := invalidBatch(batch); reason != "" {
			return fmt.Sprintf("batch %d: %s", number, reason)
		}
	}
	return ""
}

func invalidBatch(batch Batch) string {
	switch {
	case batch.Count <= 0 || batch.Count > MaxTasks:
		return fmt.Sprintf("the count must be between 1 and %d", MaxTasks)
	case batch.Need.MilliCPU <= 0 || batch.Need.Memory < 0 || batch.Need.Accelerators < 0:
		return "a task needs some processor time, and nothing below zero"
	case batch.RunTime <= 0:
		return "a task needs a run time"
	}
	return ""
}
