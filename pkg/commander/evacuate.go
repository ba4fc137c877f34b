package commander

import (
	"context"

	"github.com/jessevdk/go-flags"

	"github.com/stoathitch/stoathitch/pkg/assembler"
	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

func addEvacuationCommands(parent *flags.Command, common commonOptions) {
	remote := remoteOptions{commonOptions: common}
	addCommand(parent, "evacuate", "Start nothing more in a failure domain",
		"Orders that nothing more is started on the backend servers and workers of a failure domain. What runs there goes on to its end, and what waits moves to other failure domains. The order holds, whatever fails, until it is taken back with readmit.",
		&evacuateCommand{evacuationOptions: evacuationOptions{remoteOptions: remote}})
	addCommand(parent, "readmit", "Take an evacuation back",
		"Has work start again in a failure domain that was evacuated.",
		&readmitCommand{evacuationOptions: evacuationOptions{remoteOptions: remote}})
}

// evacuationOptions are those of an order on a failure domain.
type evacuationOptions struct {
	remoteOptions
	requestOptions
	Arguments struct {
		FailureDomain string `positional-arg-name:"FAILURE-DOMAIN" required:"yes"`
	} `positional-args:"yes"`
}

// evacuateCommand evacuates a failure domain.
type evacuateCommand struct{ evacuationOptions }

// Execute sends the order.
func (command *evacuateCommand) Execute(_ []string) error {
	return command.order(false, "evacuated")
}

// readmitCommand takes an evacuation back.
type readmitCommand struct{ evacuationOptions }

// Execute sends the order.
func (command *readmitCommand) Execute(_ []string) error {
	return command.order(true, "readmitted")
}

func (options *evacuationOptions) order(withdrawn bool, done string) error {
	options.fillDefaults()
	ctx, cancel := context.WithTimeout(options.terminal.context, changeTimeout)
	defer cancel()
	result, err := options.requester().OrderEvacuation(ctx, &assembler.EvacuationBody{
		Request:       identifier.RequestID(options.Request),
		Operator:      options.Operator,
		FailureDomain: identifier.FailureDomain(options.Arguments.FailureDomain),
		Withdrawn:     withdrawn,
	})
	if err != nil {
		return options.unanswered(err)
	}
	if options.JSON {
		if err := options.terminal.printJSON(result); err != nil {
			return err
		}
	}
	switch {
	case result.Verdict == configurer.VerdictConflict:
		return failed("another order on the failure domain came first, by %s at %s; look at it with config history", result.Winner, result.WonAt)
	case options.JSON:
		return nil
	case result.Verdict == configurer.VerdictSuperseded:
		return options.terminal.printLine("already %s\tversion %d", done, result.Newest)
	default:
		return options.terminal.printLine("%s\tversion %d\trequest %s", done, result.Newest, result.Request)
	}
}
