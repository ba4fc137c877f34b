package commander

import (
	"context"
	"crypto/rand"
	"errors"
	"os/user"
	"time"

	"github.com/stoathitch/stoathitch/pkg/assembler"
	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/loader"
)

// changeTimeout is longer than a host waits for the keepers.
const changeTimeout = 10 * time.Second

// requestOptions name a request to the keepers and who sends it.
type requestOptions struct {
	Request  string `long:"request" value-name:"ID" description:"the request id that makes a resend harmless (default: a random one, which is printed)"`
	Operator string `long:"operator" value-name:"NAME" description:"who asks (default: the user)"`
}

// configSetCommand proposes a configuration.
type configSetCommand struct {
	remoteOptions
	requestOptions
	Expected  uint64 `long:"expected" required:"yes" value-name:"VERSION" description:"the newest version that you have seen; 0 when there is none"`
	Arguments struct {
		File string `positional-arg-name:"FILE" default:"-" description:"the document; - or nothing reads the standard input"`
	} `positional-args:"yes"`
}

// Execute checks and proposes the document.
func (command *configSetCommand) Execute(_ []string) error {
	document, err := command.terminal.readInput(command.Arguments.File)
	if err != nil {
		return err
	}
	if _, err := loader.ParseConfiguration(command.fileName(), document); err != nil {
		return malformed("%v", err)
	}
	command.fillDefaults()
	ctx, cancel := context.WithTimeout(command.terminal.context, changeTimeout)
	defer cancel()
	result, err := command.requester().ChangeConfig(ctx, &assembler.ChangeBody{
		Request:  identifier.RequestID(command.Request),
		Expected: identifier.ConfigVersion(command.Expected),
		Operator: command.Operator,
		Document: document,
	})
	if err != nil {
		return command.unanswered(err)
	}
	return command.report(result)
}

func (command *configSetCommand) fileName() string {
	if command.Arguments.File == "-" || command.Arguments.File == "" {
		return "standard input"
	}
	return command.Arguments.File
}

func (options *requestOptions) fillDefaults() {
	if options.Request == "" {
		options.Request = rand.Text()
	}
	if options.Operator != "" {
		return
	}
	options.Operator = "unknown"
	if current, err := user.Current(); err == nil && current.Username != "" {
		options.Operator = current.Username
	}
}

// unanswered tells how to find out whether the change was accepted after all.
func (options *requestOptions) unanswered(err error) error {
	failure := remoteFailure(err)
	var exit *exitError
	if errors.As(failure, &exit) && exit.code == ExitFailure {
		return failed("%v\nthe change may have been accepted; find out by sending it again with --request %s", err, options.Request)
	}
	return failure
}

func (command *configSetCommand) report(result *configurer.Result) error {
	if command.JSON {
		if err := command.terminal.printJSON(result); err != nil {
			return err
		}
	}
	if result.Verdict != configurer.VerdictAccepted {
		return failed("%s: version %d by %s at %s was accepted first; get it, merge, and set with --expected %d",
			result.Verdict, result.Newest, result.Winner, result.WonAt, result.Newest)
	}
	if command.JSON {
		return nil
	}
	return command.terminal.printLine("accepted\tversion %d\trequest %s", result.Newest, result.Request)
}
