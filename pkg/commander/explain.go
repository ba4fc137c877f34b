package commander

import (
	"slices"
	"sync"
	"time"

	"github.com/stoathitch/stoathitch/pkg/assembler"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// explainTime is how moments are shown: the steps of a job lie close together.
const explainTime = "15:04:05.000000"

// explainCommand tells what was decided about a submission, and why.
type explainCommand struct {
	remoteOptions
	Logs       []string `long:"logs" value-name:"FILE" description:"tell it from this log, or the logs in this folder, instead of asking hosts; may be given again"`
	Failed     bool     `long:"failed" description:"with --logs: count the requests that were not complete, by outcome, and how many causes the lines name"`
	Positional struct {
		Submission identifier.SubmissionID `positional-arg-name:"ID" description:"the submission's or request's id"`
	} `positional-args:"yes"`
}

// Execute asks every living host and prints the steps in order of their moments.
func (command *explainCommand) Execute(_ []string) error {
	switch {
	case len(command.Logs) > 0 && (command.Failed || command.Positional.Submission != ""):
		return command.explainFromLogs()
	case command.Failed:
		return malformed("--failed needs --logs")
	case command.Positional.Submission == "":
		return malformed("the id of a submission is missing")
	}
	answers, err := command.askAll()
	if err != nil {
		return err
	}
	steps := command.gatherSteps(answers, command.Positional.Submission)
	if command.JSON {
		return command.terminal.printJSON(steps)
	}
	if len(steps) == 0 {
		return failed("no host knows anything of submission %s any more", command.Positional.Submission)
	}
	listed := &table{headers: []string{"AT", "HOST", "STEP", "TASK", "BACKEND-SERVER", "DETAIL"}}
	for _, step := range steps {
		listed.add(step.At.Format(explainTime), string(step.Host), step.Kind.String(),
			string(step.Task), string(step.BackendServer), step.Detail)
	}
	return command.terminal.printTable(listed)
}

// gatherSteps asks the hosts side by side. A host that does not answer is left
// out: the others' steps are worth seeing all the same.
func (options *remoteOptions) gatherSteps(answers []*hostAnswer, submission identifier.SubmissionID) []assembler.ExplainStep {
	var mutex sync.Mutex
	var group sync.WaitGroup
	steps := []assembler.ExplainStep{}
	for _, answer := range answers {
		if answer.lost() {
			continue
		}
		group.Go(func() {
			ctx, cancel := options.quickly()
			defer cancel()
			told, err := options.requesterOf(answer.Callers).Explain(ctx, submission)
			if err != nil {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			steps = append(steps, told...)
		})
	}
	group.Wait()
	slices.SortStableFunc(steps, func(first, second assembler.ExplainStep) int {
		return first.At.Round(time.Microsecond).Compare(second.At.Round(time.Microsecond))
	})
	return steps
}
