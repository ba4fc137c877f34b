package commander

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/stoathitch/stoathitch/pkg/describer"
	"github.com/stoathitch/stoathitch/pkg/planner"
	"github.com/stoathitch/stoathitch/pkg/requester"
)

// watchInterval is the time between two looks at a watched intent.
const watchInterval = 500 * time.Millisecond

// intentPlanCommand waits for a plan.
type intentPlanCommand struct{ namedIntent }

// Execute prints the plan. Without one it says why.
func (command *intentPlanCommand) Execute(_ []string) error {
	ctx, cancel := context.WithTimeout(command.terminal.context, changeTimeout)
	defer cancel()
	intent, err := command.requester().PlanIntent(ctx, command.name())
	if err != nil {
		return intentFailure(err)
	}
	if err := command.print(intent); err != nil {
		return err
	}
	switch {
	case intent.Plan == nil:
		return failed("there is no plan yet")
	case len(intent.Plan.Refusals) > 0:
		return failed("it can never run: %s", strings.Join(intent.Plan.Refusals, "; "))
	}
	return nil
}

// intentShowCommand shows an intent.
type intentShowCommand struct {
	namedIntent
	Explain bool `long:"explain" description:"tell each step with its moment and reason"`
	Stale   bool `long:"stale" description:"show what the host has, should it be a keeper, when no quorum can be reached"`
}

// Execute prints the intent.
func (command *intentShowCommand) Execute(_ []string) error {
	ctx, cancel := context.WithTimeout(command.terminal.context, changeTimeout)
	defer cancel()
	intent, err := command.requester().Intent(ctx, command.name(), command.Explain, command.Stale)
	if err != nil {
		return intentFailure(err)
	}
	return command.print(intent)
}

// intentFailure gives an error its exit code. An intent that does not exist is found
// wanting and not malformed.
func intentFailure(err error) error {
	var failure *requester.Error
	if errors.As(err, &failure) && strings.HasPrefix(failure.Err.Error(), "not-found") {
		return failed("%v", err)
	}
	return remoteFailure(err)
}

func (named *namedIntent) print(intent *describer.Intent) error {
	if named.JSON {
		return named.terminal.printJSON(intent)
	}
	for _, line := range linesOf(intent) {
		if err := named.terminal.printLine("%s", line); err != nil {
			return err
		}
	}
	return nil
}

// linesOf tells an intent in lines of text.
func linesOf(intent *describer.Intent) []string {
	lines := []string{
		fmt.Sprintf("intent\t%s", intent.Name),
		fmt.Sprintf("state\t%s", intent.State),
		fmt.Sprintf("revision\t%d", intent.Revision),
		fmt.Sprintf("team\t%s", intent.Spec.Team),
		fmt.Sprintf("tasks\t%d\t%s", intent.Tasks, outcomesText(&intent.Outcomes)),
	}
	if intent.Plan != nil {
		lines = append(lines, planLines(intent.Plan)...)
	}
	for _, step := range intent.Steps {
		lines = append(lines, stepLine(&step))
	}
	if intent.DroppedSteps > 0 {
		lines = append(lines, fmt.Sprintf("left out\t%d steps in between", intent.DroppedSteps))
	}
	return lines
}

func planLines(plan *describer.Plan) []string {
	lines := []string{fmt.Sprintf("plan\t%d", plan.Number)}
	for _, refusal := range plan.Refusals {
		lines = append(lines, "can never run\t"+refusal)
	}
	if len(plan.Refusals) > 0 {
		return lines
	}
	for _, allotment := range plan.Allotments {
		line := fmt.Sprintf("runs\tbatch %d\t%s\t%d tasks", allotment.Batch, allotment.FailureDomain, allotment.To-allotment.From)
		for _, rack := range allotment.Racks {
			line += fmt.Sprintf("\t%s: %d", rack.Rack, rack.Count)
		}
		lines = append(lines, line)
	}
	lines = append(lines,
		fmt.Sprintf("expected\tfrom %s\tto %s\tconfidence %d%%", plan.StartsAt, plan.EndsAt, plan.Confidence),
		fmt.Sprintf("confirm until\t%s", plan.ConfirmUntil))
	for _, displaced := range plan.Displaces {
		lines = append(lines, fmt.Sprintf("displaces\t%s\t%d tasks", displaced.FailureDomain, displaced.Tasks))
	}
	if plan.Queued != "" {
		lines = append(lines, "queued\t"+plan.Queued)
	}
	if plan.Limited != "" {
		lines = append(lines, "limited\t"+plan.Limited)
	}
	return lines
}

func outcomesText(outcomes *describer.Outcomes) string {
	return fmt.Sprintf("succeeded %d, failed %d, stopped %d, not run %d, unknown %d",
		outcomes.Succeeded, outcomes.Failed, outcomes.Stopped, outcomes.NotRun, outcomes.Unknown)
}

func stepLine(step *describer.Step) string {
	return fmt.Sprintf("step\t%s\t%s\t%s", step.At, step.Command, step.Reason)
}

// intentListCommand lists all intents.
type intentListCommand struct{ remoteOptions }

// Execute prints the list.
func (command *intentListCommand) Execute(_ []string) error {
	ctx, cancel := context.WithTimeout(command.terminal.context, changeTimeout)
	defer cancel()
	intents, err := command.requester().Intents(ctx)
	if err != nil {
		return remoteFailure(err)
	}
	if command.JSON {
		return command.terminal.printJSON(intents)
	}
	listed := &table{headers: []string{"NAME", "STATE", "REVISION", "TEAM", "TASKS", "SUCCEEDED"}}
	for _, intent := range intents {
		listed.add(string(intent.Name), intent.State.String(), fmt.Sprint(intent.Revision),
			string(intent.Spec.Team), fmt.Sprint(intent.Tasks), fmt.Sprint(intent.Outcomes.Succeeded))
	}
	return command.terminal.printTable(listed)
}

// intentWatchCommand follows an intent to its end.
type intentWatchCommand struct{ namedIntent }

// Execute prints new steps until the intent has ended. A host that can't answer for a
// while is asked again.
func (command *intentWatchCommand) Execute(_ []string) error {
	seen := 0
	for {
		intent, err := command.look()
		if err != nil {
			return err
		}
		if intent != nil {
			if err := command.printNew(intent, &seen); err != nil {
				return err
			}
			if intent.State.Ended() {
				return endOf(intent)
			}
		}
		select {
		case <-command.terminal.context.Done():
			return failed("interrupted before the intent has ended")
		case <-time.After(watchInterval):
		}
	}
}

// look returns nil without an error when the host could not answer now.
func (command *intentWatchCommand) look() (*describer.Intent, error) {
	ctx, cancel := context.WithTimeout(command.terminal.context, changeTimeout)
	defer cancel()
	intent, err := command.requester().Intent(ctx, command.name(), true, false)
	var failure *requester.Error
	if errors.As(err, &failure) && failure.Kind == requester.ErrorKindUnavailable {
		return nil, nil
	}
	if err != nil {
		return nil, intentFailure(err)
	}
	return intent, nil
}

// printNew prints the steps after the first seen ones; steps that the log dropped
// count as seen.
func (command *intentWatchCommand) printNew(intent *describer.Intent, seen *int) error {
	all := len(intent.Steps) + intent.DroppedSteps
	fresh := min(all-*seen, len(intent.Steps))
	*seen = all
	for _, step := range intent.Steps[len(intent.Steps)-fresh:] {
		if command.JSON {
			if err := command.terminal.printJSON(step); err != nil {
				return err
			}
			continue
		}
		if err := command.terminal.printLine("%s", stepLine(&step)); err != nil {
			return err
		}
	}
	return nil
}

func endOf(intent *describer.Intent) error {
	if intent.State == planner.StateComplete {
		return nil
	}
	return failed("%s is %s: %s", intent.Name, intent.State, outcomesText(&intent.Outcomes))
}
