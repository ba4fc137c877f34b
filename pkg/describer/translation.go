package describer

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/placer"
	"github.com/stoathitch/stoathitch/pkg/planner"
)

// PlannerSpec converts the spec to the planner's form. A missing urgency becomes normal.
func (spec *Spec) PlannerSpec() planner.Spec {
	planned := planner.Spec{Team: spec.Team, Urgency: placer.UrgencyNormal, MayRun: spec.MayRun}
	if spec.Urgency != nil {
		planned.Urgency = *spec.Urgency
	}
	for _, batch := range spec.Batches {
		planned.Batches = append(planned.Batches, planner.Batch{
			Kind: batch.Kind, Count: batch.Count, Need: batch.Need, RunTime: time.Duration(batch.RunTime),
			Repeatable: batch.Repeatable, Checkpointable: batch.Checkpointable,
		})
	}
	return planned
}

// SpecOf returns the JSON form of a spec, nil for nil.
func SpecOf(planned *planner.Spec) *Spec {
	if planned == nil {
		return nil
	}
	urgency := planned.Urgency
	spec := &Spec{Team: planned.Team, Urgency: &urgency, MayRun: planned.MayRun}
	for _, batch := range planned.Batches {
		spec.Batches = append(spec.Batches, Batch{
			Kind: batch.Kind, Count: batch.Count, Need: batch.Need, RunTime: Duration(batch.RunTime),
			Repeatable: batch.Repeatable, Checkpointable: batch.Checkpointable,
		})
	}
	return spec
}

// PlanOf returns the JSON form of a plan, nil for nil.
func PlanOf(plan *planner.Plan) *Plan {
	if plan == nil {
		return nil
	}
	return &Plan{
		Number: plan.Number, Allotments: plan.Allotments,
		StartsAt: Moment(plan.StartsAt), EndsAt: Moment(plan.EndsAt), ConfirmUntil: Moment(plan.ConfirmUntil),
		Confidence: plan.Confidence, Displaces: plan.Preemptions, Charged: plan.Charged, Quota: plan.Quota,
		Corrections: plan.Corrections, Queued: plan.Queued, Limited: plan.Limited,
		Refusals: plan.Refusals, Nearest: SpecOf(plan.Nearest),
	}
}

// ResultOf returns the JSON form of a command's result.
func ResultOf(name identifier.IntentName, result *planner.Result) *Result {
	body := &Result{
		Result: result.Kind, Name: name, State: result.State, Revision: result.Revision,
		Reason: result.Reason, Plan: PlanOf(result.Plan),
	}
	if winner := result.Winner; winner != nil {
		body.Winner = &Change{
			Revision: winner.Revision, Command: winner.Kind, Operator: winner.Operator, At: Moment(winner.Wall),
			Request: winner.Request, Plan: winner.PlanNumber, Spec: SpecOf(winner.Spec),
		}
	}
	return body
}

// IntentOf returns the JSON form of a record, with its steps if explain is set.
func IntentOf(record *planner.Record, explain bool) *Intent {
	tally := record.Tally()
	body := &Intent{
		Name: record.Name, State: record.State, Revision: record.Revision, Tasks: record.Spec.Tasks(),
		Outcomes: Outcomes{
			Succeeded: tally[planner.OutcomeSucceeded], Failed: tally[planner.OutcomeFailed],
			Stopped: tally[planner.OutcomeStopped], NotRun: tally[planner.OutcomeNotRun], Unknown: tally[planner.OutcomeUnknown],
		},
		Spec: *SpecOf(&record.Spec), Plan: PlanOf(record.Plan),
	}
	if !explain {
		return body
	}
	body.DroppedSteps = record.Dropped
	for _, step := range record.Steps {
		body.Steps = append(body.Steps, Step{At: Moment(step.Wall), Command: step.Kind, Reason: step.Reason})
	}
	return body
}
