// Package commander reads the command lines of both programs and runs what they
// ask for.
//
// Exit codes: 0 when all went well, 1 when something was found wanting (a missing
// answer, bad settings, a broken promise), 2 when the command line or an input
// file is malformed.
package commander

import (
	"errors"
	"fmt"

	"github.com/jessevdk/go-flags"
)

// The exit codes of both programs.
const (
	ExitSuccess   = 0
	ExitFailure   = 1
	ExitMalformed = 2
)

// exitError ends a command with an exit code. Its message, if any, has not been
// printed yet.
type exitError struct {
	code    int
	message string
}

// Error returns the message.
func (failure *exitError) Error() string { return failure.message }

func failed(format string, arguments ...any) error {
	return &exitError{code: ExitFailure, message: fmt.Sprintf(format, arguments...)}
}

func malformed(format string, arguments ...any) error {
	return &exitError{code: ExitMalformed, message: fmt.Sprintf(format, arguments...)}
}

// Extension is a command that the program adds to those of this package. Data holds its
// options and its Execute, as the parser wants them.
type Extension struct {
	Name, Short, Long string
	Data              any
}

// RunTool runs the command-line tool and returns its exit code.
func RunTool(arguments []string, extensions ...Extension) int {
	ctx, stop := interruptible()
	defer stop()
	terminal := newTerminal(ctx)
	parser := newToolParser(terminal)
	for _, extension := range extensions {
		addCommand(parser.Command, extension.Name, extension.Short, extension.Long, extension.Data)
	}
	_, err := parser.ParseArgs(arguments)
	return terminal.exitCode(err)
}

// toolDescription is the general help.
const toolDescription = `Drives stoathitch, a dispatcher for sub-second tasks.

A terminal gets tables and progress lines; a pipe gets tab-separated lines without a header; --json gives JSON to both.

Exit codes: 0 all went well; 1 something was found wanting (a missing answer, a failed or refused job, a conflict, an unreachable host); 2 the command line or an input file is malformed.`

func newToolParser(terminal *terminal) *flags.Parser {
	parser := flags.NewNamedParser("stoathitch", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = toolDescription
	common := commonOptions{terminal: terminal}
	addCommand(parser.Command, "try", "Try the whole system in one process",
		"Starts entry hosts of three failure domains and stand-in backend servers on loopback, runs jobs through them and checks every answer.",
		&tryCommand{commonOptions: common})
	addCommand(parser.Command, "stand-in", "Run stand-in backend servers",
		"Runs backend servers that follow the published protocol, sleep for the payload's run-time and answer with an echo.",
		&standInCommand{commonOptions: common})
	addSettingsCommands(parser.Command, common)
	addJobCommands(parser.Command, common)
	addIntentCommands(parser.Command, common)
	addStatusCommands(parser.Command, common)
	addConfigCommands(parser.Command, common)
	addEvacuationCommands(parser.Command, common)
	addCommand(parser.Command, "load", "Send a load of jobs in an open loop",
		"Sends jobs to running hosts at their scheduled moments, whatever became of earlier ones, and measures each response from its moment. Exit code 1 when a job has no whole answer or none is complete; failed and refused jobs are answers.",
		&loadCommand{commonOptions: common})
	addCommand(parser.Command, "completion", "Print the completion script for bash",
		"Prints a script that completes commands and options: source <(stoathitch completion)",
		&completionCommand{commonOptions: common})
	addReplayCommands(parser.Command, common)
	addCommand(parser.Command, "capacity", "Work out what the system needs at a size",
		"Computes state, messages, processor time and memory of each role from measured slopes, and what does not fit.",
		&capacityCommand{commonOptions: common})
	return parser
}

// addCommand registers a command. A mistake in its definition is one of the
// program, so it panics.
func addCommand(parent *flags.Command, name, short, long string, data any) *flags.Command {
	command, err := parent.AddCommand(name, short, long, data)
	if err != nil {
		panic(err)
	}
	return command
}

// exitCode prints what is left to say of an error and returns the exit code.
func (terminal *terminal) exitCode(err error) int {
	if err == nil {
		return ExitSuccess
	}
	var help *flags.Error
	if errors.As(err, &help) {
		if help.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(terminal.output, help.Message)
			return ExitSuccess
		}
		_, _ = fmt.Fprintln(terminal.errors, help.Message)
		return ExitMalformed
	}
	if err.Error() != "" {
		_, _ = fmt.Fprintln(terminal.errors, "stoathitch: "+err.Error())
	}
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return ExitFailure
}
