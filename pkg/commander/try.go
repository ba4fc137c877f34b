package commander

import (
	"encoding/json"
	"time"

	"github.com/stoathitch/stoathitch/pkg/trier"
)

// tryTimeout bounds the whole trial.
const tryTimeout = 20 * time.Second

// tryCommand runs the whole system in this process.
type tryCommand struct {
	commonOptions
	Jobs    int  `long:"jobs" default:"30" description:"how many jobs to run"`
	Verbose bool `long:"verbose" description:"show the daemons' logs"`
}

// Execute runs the trial and prints its report.
func (command *tryCommand) Execute(_ []string) error {
	trial := &trier.Trier{Jobs: command.Jobs, Timeout: tryTimeout}
	if command.Verbose {
		trial.Logs = command.terminal.errors
	}
	if !command.JSON {
		trial.Progress = command.terminal.output
	}
	report, err := trial.Run(command.terminal.context)
	if err != nil {
		return failed("%v", err)
	}
	if command.JSON {
		if err := json.NewEncoder(command.terminal.output).Encode(report); err != nil {
			return failed("the report can't be written: %v", err)
		}
	} else {
		report.Print(command.terminal.output)
	}
	if report.Missing() > 0 {
		return failed("%d answers are missing or wrong", report.Missing())
	}
	return nil
}
