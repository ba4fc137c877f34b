package commander

import (
	"fmt"
	"strings"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/narrator"
)

// explainFromLogs tells from logs alone what became of a request, or of all that were
// not complete.
func (command *explainCommand) explainFromLogs() error {
	logs, err := narrator.Read(command.Logs)
	if err != nil {
		return malformed("%v", err)
	}
	for _, warning := range logs.Warnings {
		_, _ = fmt.Fprintln(command.terminal.errors, "stoathitch: "+warning)
	}
	if command.Failed {
		return command.printFailures(logs.SummariseFailures())
	}
	story := logs.Explain(identifier.JobID(command.Positional.Submission))
	if story == nil {
		return failed("no line of these logs is about %s; the log of its caller's host may be missing", command.Positional.Submission)
	}
	if command.JSON {
		return command.terminal.printJSON(story)
	}
	_, err = fmt.Fprint(command.terminal.output, story)
	return err
}

// unnamedShown is how many requests without a named cause are listed for each outcome.
const unnamedShown = 3

func (command *explainCommand) printFailures(failures []narrator.Failures) error {
	if command.JSON {
		return command.terminal.printJSON(failures)
	}
	listed := &table{headers: []string{"OUTCOME", "REQUESTS", "CAUSE-NAMED", "FOR-EXAMPLE-UNNAMED"}}
	for _, counted := range failures {
		var examples []string
		for _, job := range counted.Unnamed[:min(len(counted.Unnamed), unnamedShown)] {
			examples = append(examples, string(job))
		}
		listed.add(counted.Outcome, fmt.Sprint(counted.Count), fmt.Sprint(counted.Count-len(counted.Unnamed)), strings.Join(examples, " "))
	}
	return command.terminal.printTable(listed)
}
