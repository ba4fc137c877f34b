package commander

import (
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/stoathitch/stoathitch/pkg/assembler"
	"github.com/stoathitch/stoathitch/pkg/loader"
	"github.com/stoathitch/stoathitch/pkg/provider"
)

// daemonOptions are the options of the daemon.
type daemonOptions struct {
	Settings string `long:"settings" value-name:"FILE" required:"yes" description:"the JSON settings of this host"`
}

// RunDaemon runs one daemon until a termination signal and returns its exit code.
// A second signal ends a graceful shutdown at once.
func RunDaemon(arguments []string) int {
	graceful, hurried, stop := gracefulThenHurried()
	defer stop()
	terminal := newTerminal(graceful)
	var options daemonOptions
	parser := flags.NewNamedParser("stoathitchd", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &options); err != nil {
		panic(err) // The options are fixed; they can't be wrong at run time.
	}
	if _, err := parser.ParseArgs(arguments); err != nil {
		return terminal.exitCode(err)
	}
	settings, err := loader.Load(options.Settings)
	if err != nil {
		return terminal.exitCode(malformed("%v", err))
	}
	daemon := &assembler.Daemon{Common: provider.New(settings, os.Stderr)}
	return terminal.exitCode(daemon.Run(graceful, hurried))
}
