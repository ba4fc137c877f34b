package commander

import (
	"github.com/jessevdk/go-flags"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/receiver"
)

func addJobCommands(parent *flags.Command, common commonOptions) {
	remote := remoteOptions{commonOptions: common}
	group := addCommand(parent, "job", "Submit, show or cancel a job",
		"Speaks to a host as a caller does. Exit code 0 for a complete job, 1 for a failed or refused one, 2 for a job that the host finds malformed.", &struct{}{})
	addCommand(group, "submit", "Submit a job and wait for its answer",
		"Sends a job in the callers' JSON (docs/CALLERS.md) and waits for its whole answer. Sending the same submission again starts nothing and gives the same answer.",
		&jobSubmitCommand{remoteOptions: remote})
	addCommand(group, "show", "Wait for the answer of a submission",
		"Waits for the answer of an earlier submission and prints it.",
		&jobShowCommand{earlierJob{remoteOptions: remote}})
	addCommand(group, "cancel", "Cancel a submission",
		"Cancels a submission and prints its answer. Exit code 0 when the answer is there, be it that of the cancellation.",
		&jobCancelCommand{earlierJob{remoteOptions: remote}})
}

// jobSubmitCommand submits a job.
type jobSubmitCommand struct {
	remoteOptions
	Arguments struct {
		File string `positional-arg-name:"FILE" default:"-" description:"the job's JSON; - or nothing reads the standard input"`
	} `positional-args:"yes"`
}

// Execute submits the job and prints its answer.
func (command *jobSubmitCommand) Execute(_ []string) error {
	job, err := command.terminal.readInput(command.Arguments.File)
	if err != nil {
		return err
	}
	answer, err := command.requester().Submit(command.terminal.context, job)
	if err != nil {
		return remoteFailure(err)
	}
	if err := command.printAnswer(answer); err != nil {
		return err
	}
	return verdictOf(answer)
}

// earlierJob names an earlier submission.
type earlierJob struct {
	remoteOptions
	Caller    string `long:"caller" required:"yes" description:"the caller that submitted it"`
	Arguments struct {
		Submission string `positional-arg-name:"SUBMISSION" required:"yes" description:"the submission id"`
	} `positional-args:"yes"`
}

// jobShowCommand waits for the answer of an earlier submission.
type jobShowCommand struct{ earlierJob }

// Execute prints the answer.
func (command *jobShowCommand) Execute(_ []string) error {
	caller, submission := command.names()
	answer, err := command.requester().Show(command.terminal.context, caller, submission)
	if err != nil {
		return remoteFailure(err)
	}
	if err := command.printAnswer(answer); err != nil {
		return err
	}
	return verdictOf(answer)
}

// jobCancelCommand cancels a submission.
type jobCancelCommand struct{ earlierJob }

// Execute cancels the submission and prints its answer.
func (command *jobCancelCommand) Execute(_ []string) error {
	caller, submission := command.names()
	answer, err := command.requester().Cancel(command.terminal.context, caller, submission)
	if err != nil {
		return remoteFailure(err)
	}
	if err := command.printAnswer(answer); err != nil {
		return err
	}
	if answer.Reason == messenger.ReasonCancelled.String() {
		return nil
	}
	return verdictOf(answer)
}

func (job *earlierJob) names() (identifier.CallerID, identifier.SubmissionID) {
	return identifier.CallerID(job.Caller), identifier.SubmissionID(job.Arguments.Submission)
}

func (options *remoteOptions) printAnswer(answer *receiver.AnswerBody) error {
	if options.JSON {
		return options.terminal.printJSON(answer)
	}
	if err := options.terminal.printLine("%s", summaryOf(answer)); err != nil {
		return err
	}
	listed := &table{headers: []string{"TASK", "RESULT"}}
	for _, task := range answer.Answers {
		listed.add(string(task.Task), string(task.Result))
	}
	if len(listed.rows) == 0 {
		return nil
	}
	return options.terminal.printTable(listed)
}

// summaryOf says in a line what became of a submission.
func summaryOf(answer *receiver.AnswerBody) string {
	summary := string(answer.Submission) + "\t" + answer.Outcome.String()
	if answer.Reason != "" {
		summary += "\t" + answer.Reason
	}
	if answer.NotRun {
		summary += "\tnot run"
	}
	if answer.Detail != "" {
		summary += "\t" + answer.Detail
	}
	if answer.RetryAfter != "" {
		summary += "\tretry after " + answer.RetryAfter
	}
	return summary
}

// verdictOf makes any outcome but a complete one an exit code; the answer has been
// printed.
func verdictOf(answer *receiver.AnswerBody) error {
	if answer.Outcome == messenger.OutcomeComplete {
		return nil
	}
	return &exitError{code: ExitFailure}
}
