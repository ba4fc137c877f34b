package commander

import (
	"context"
	"crypto/rand"
	"errors"
	"os/user"

	"github.com/jessevdk/go-flags"

	"github.com/stoathitch/stoathitch/pkg/describer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/planner"
)

func addIntentCommands(parent *flags.Command, common commonOptions) {
	remote := remoteOptions{commonOptions: common}
	order := intentOrder{intentChange: intentChange{remoteOptions: remote}}
	group := addCommand(parent, "intent", "State, confirm, follow or cancel an intent",
		"States what is wanted; the system answers with a plan, and nothing starts before it is confirmed. Exit code 0 when all is well, 1 for a conflict, a refusal or an intent that did not end well, 2 for malformed input.", &struct{}{})
	addCommand(group, "create", "State a new intent",
		"Sends the JSON of an intent's batches (docs/INTENTS.md) under a name that is free.",
		&intentCreateCommand{intentChange: intentChange{remoteOptions: remote}})
	addCommand(group, "plan", "Wait for the plan of an intent", "Waits until the intent has a plan and prints it.",
		&intentPlanCommand{namedIntent{remoteOptions: remote}})
	addCommand(group, "confirm", "Confirm a plan", "Lets the intent start as the plan of the given number says.",
		&intentConfirmCommand{intentOrder: order})
	addCommand(group, "reject", "Reject a plan", "Ends an intent that was not confirmed.", &intentRejectCommand{intentOrder: order})
	addCommand(group, "cancel", "Cancel an intent", "Ends an intent; what runs is stopped.", &intentCancelCommand{intentOrder: order})
	addCommand(group, "end", "Give an intent up whose failure domain does not come back",
		"Ends an intent without waiting for its failure domains: what was never claimed did not run, the rest is unknown.",
		&intentEndCommand{intentOrder: order})
	addCommand(group, "show", "Show an intent", "Shows an intent, with --explain from its statement to its outcome.",
		&intentShowCommand{namedIntent: namedIntent{remoteOptions: remote}})
	addCommand(group, "list", "List all intents", "Lists the intents that the keepers know.", &intentListCommand{remoteOptions: remote})
	addCommand(group, "watch", "Follow an intent to its end",
		"Prints each new step until the intent has ended. Exit code 0 when every task succeeded.",
		&intentWatchCommand{namedIntent: namedIntent{remoteOptions: remote}})
}

// intentChange are the options of every command that changes an intent.
type intentChange struct {
	remoteOptions
	Request  string `long:"request" value-name:"ID" description:"the request id that makes a resend harmless (default: a random one, which is printed)"`
	Operator string `long:"operator" value-name:"NAME" description:"who asks (default: the user)"`
}

func (change *intentChange) fillDefaults() {
	if change.Request == "" {
		change.Request = rand.Text()
	}
	if change.Operator != "" {
		return
	}
	change.Operator = "unknown"
	if current, err := user.Current(); err == nil && current.Username != "" {
		change.Operator = current.Username
	}
}

// report prints a result, or tells how to find out what became of the request.
func (change *intentChange) report(result *describer.Result, err error) error {
	if err != nil {
		failure := remoteFailure(err)
		var exit *exitError
		if errors.As(failure, &exit) && exit.code == ExitFailure {
			return failed("%v\nthe command may have been accepted; find out by sending it again with --request %s", err, change.Request)
		}
		return failure
	}
	if change.JSON {
		if err := change.terminal.printJSON(result); err != nil {
			return err
		}
	}
	switch {
	case result.Winner != nil:
		return failed("conflict: %s was first, with %s (revision %d) at %s", result.Winner.Operator, result.Winner.Command, result.Winner.Revision, result.Winner.At)
	case result.Result == planner.ResultInvalid:
		return malformed("%s", result.Reason)
	case result.Result != planner.ResultAccepted:
		return failed("%s: %s", result.Result, result.Reason)
	case change.JSON:
		return nil
	}
	return change.terminal.printLine("%s\t%s\trevision %d\trequest %s", result.Name, result.State, result.Revision, change.Request)
}

// intentCreateCommand states a new intent.
type intentCreateCommand struct {
	intentChange
	Name      string `long:"name" required:"yes" description:"the name of the intent"`
	Arguments struct {
		File string `positional-arg-name:"FILE" default:"-" description:"the JSON of the intent; - or nothing reads the standard input"`
	} `positional-args:"yes"`
}

// Execute sends the intent.
func (command *intentCreateCommand) Execute(_ []string) error {
	content, err := command.terminal.readInput(command.Arguments.File)
	if err != nil {
		return err
	}
	spec, err := describer.ParseSpec(content)
	if err != nil {
		return malformed("%v", err)
	}
	command.fillDefaults()
	ctx, cancel := context.WithTimeout(command.terminal.context, changeTimeout)
	defer cancel()
	result, err := command.requester().CreateIntent(ctx, &describer.Create{
		Request: identifier.RequestID(command.Request), Operator: planner.OperatorID(command.Operator),
		Name: identifier.IntentName(command.Name), Spec: *spec,
	})
	return command.report(result, err)
}

// namedIntent names an intent.
type namedIntent struct {
	remoteOptions
	Arguments struct {
		Name string `positional-arg-name:"NAME" required:"yes" description:"the name of the intent"`
	} `positional-args:"yes"`
}

func (named *namedIntent) name() identifier.IntentName {
	return identifier.IntentName(named.Arguments.Name)
}

// intentOrder are the options of a command on an intent that exists.
type intentOrder struct {
	intentChange
	Revision  uint64 `long:"revision" required:"yes" description:"the revision that you have seen; the command is refused when the intent has changed since"`
	Reason    string `long:"reason" description:"why; it stands in the explanation"`
	Arguments struct {
		Name string `positional-arg-name:"NAME" required:"yes" description:"the name of the intent"`
	} `positional-args:"yes"`
}

func (order *intentOrder) send(verb string, plan uint64) error {
	order.fillDefaults()
	ctx, cancel := context.WithTimeout(order.terminal.context, changeTimeout)
	defer cancel()
	result, err := order.requester().OrderIntent(ctx, identifier.IntentName(order.Arguments.Name), verb, &describer.Order{
		Request: identifier.RequestID(order.Request), Operator: planner.OperatorID(order.Operator),
		Revision: order.Revision, Plan: plan, Reason: order.Reason,
	})
	return order.report(result, err)
}

// intentConfirmCommand confirms a plan.
type intentConfirmCommand struct {
	intentOrder
	Plan uint64 `long:"plan" required:"yes" value-name:"NUMBER" description:"the number of the plan that you confirm"`
}

// Execute sends the confirmation.
func (command *intentConfirmCommand) Execute(_ []string) error {
	return command.send("confirm", command.Plan)
}

// intentRejectCommand rejects a plan.
type intentRejectCommand struct{ intentOrder }

// Execute sends the rejection.
func (command *intentRejectCommand) Execute(_ []string) error { return command.send("reject", 0) }

// intentCancelCommand cancels an intent.
type intentCancelCommand struct{ intentOrder }

// Execute sends the cancellation.
func (command *intentCancelCommand) Execute(_ []string) error { return command.send("cancel", 0) }

// intentEndCommand gives an intent up.
type intentEndCommand struct{ intentOrder }

// Execute sends the word.
func (command *intentEndCommand) Execute(_ []string) error { return command.send("end", 0) }
