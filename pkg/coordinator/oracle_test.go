package coordinator_test

import (
	"fmt"

	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/forwarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// oracle checks the guarantees to callers from what the fake backend servers started and what
// callers were answered, never from the internal state of the system.
type oracle struct {
	starts     map[dispatcher.TaskKey]identifier.BackendServerID
	started    map[identifier.SubmissionID]bool
	waiters    map[forwarder.WaiterID]*messenger.Job
	answers    map[forwarder.WaiterID]*messenger.JobAnswer
	finals     map[identifier.SubmissionID]*messenger.JobAnswer
	lastWaiter forwarder.WaiterID
	violations []string
	// otherCallers are the waiters that query the submissions of other callers.
	otherCallers map[forwarder.WaiterID]bool
	jobs         map[identifier.SubmissionID]*messenger.Job
	// claims are the submissions that began a not-repeatable job.
	claims map[identifier.JobID]identifier.SubmissionID
}

func newOracle() *oracle {
	return &oracle{
		otherCallers: make(map[forwarder.WaiterID]bool),
		jobs:         make(map[identifier.SubmissionID]*messenger.Job),
		claims:       make(map[identifier.JobID]identifier.SubmissionID),
		starts:       make(map[dispatcher.TaskKey]identifier.BackendServerID),
		started:      make(map[identifier.SubmissionID]bool),
		waiters:      make(map[forwarder.WaiterID]*messenger.Job),
		answers:      make(map[forwarder.WaiterID]*messenger.JobAnswer),
		finals:       make(map[identifier.SubmissionID]*messenger.JobAnswer),
	}
}

func (oracle *oracle) addViolation(format string, values ...any) {
	oracle.violations = append(oracle.violations, fmt.Sprintf(format, values...))
}

func (oracle *oracle) addWaiter(job *messenger.Job) forwarder.WaiterID {
	oracle.lastWaiter++
	oracle.jobs[job.Submission] = job
	oracle.waiters[oracle.lastWaiter] = job
	return oracle.lastWaiter
}

func (oracle *oracle) recordStart(key dispatcher.TaskKey, server identifier.BackendServerID) {
	if first, found := oracle.starts[key]; found {
		oracle.addViolation("%v began at %s and again at %s", key, first, server)
	}
	oracle.checkClaim(key.Submission)
	oracle.starts[key] = server
	oracle.started[key.Submission] = true
	if final := oracle.finals[key.Submission]; final != nil && final.NotRun {
		oracle.addViolation("%v began after its submission was answered as not run", key)
	}
}

// checkClaim checks that at most one submission of a not-repeatable job begins.
func (oracle *oracle) checkClaim(submission identifier.SubmissionID) {
	job := oracle.jobs[submission]
	if job == nil || job.Repeatable {
		return
	}
	if first, found := oracle.claims[job.Job]; found && first != submission {
		oracle.addViolation("not-repeatable %s began as %s and again as %s", job.Job, first, submission)
	}
	oracle.claims[job.Job] = submission
}

func (oracle *oracle) checkAnswer(waiter forwarder.WaiterID, answer *messenger.JobAnswer) {
	job := oracle.waiters[waiter]
	if oracle.answers[waiter] != nil {
		oracle.addViolation("waiter %d was answered twice", waiter)
	}
	oracle.answers[waiter] = answer
	if answer.Submission != job.Submission {
		oracle.addViolation("waiter of %s got the answer of %s", job.Submission, answer.Submission)
	}
	if oracle.otherCallers[waiter] && !answer.ClaimsNothing() {
		oracle.addViolation("another caller got the answer of %s", job.Submission)
	}
	if answer.NotRun && oracle.started[job.Submission] {
		oracle.addViolation("%s was answered as not run, but it has run", job.Submission)
	}
	if answer.Outcome == messenger.OutcomeComplete {
		oracle.checkComplete(job, answer)
	}
	oracle.checkSameOutcome(job, answer)
}

func (oracle *oracle) checkComplete(job *messenger.Job, answer *messenger.JobAnswer) {
	if len(answer.Answers) != len(job.Tasks) {
		oracle.addViolation("%s is complete with %d of %d answers", job.Submission, len(answer.Answers), len(job.Tasks))
		return
	}
	for index, task := range job.Tasks {
		if answer.Answers[index].Task != task.Task || string(answer.Answers[index].Result) != string(task.Payload) {
			oracle.addViolation("%s has a wrong answer of %s", job.Submission, task.Task)
		}
	}
}

// checkSameOutcome compares the answers of resubmissions. A refusal that claims nothing about the
// submission is not a final answer. When a connection breaks and two hosts lead for a moment, each
// may give up the submission for a reason of its own, but both must give it up. Whether "not run"
// is true is checked against what the servers began.
func (oracle *oracle) checkSameOutcome(job *messenger.Job, answer *messenger.JobAnswer) {
	if answer.Outcome == messenger.OutcomeRefused && !answer.NotRun {
		return
	}
	first := oracle.finals[job.Submission]
	if first == nil {
		oracle.finals[job.Submission] = answer
		return
	}
	if (first.Outcome == messenger.OutcomeComplete) != (answer.Outcome == messenger.OutcomeComplete) {
		oracle.addViolation("%s was answered %v %v and then %v %v", job.Submission, first.Outcome, first.Reason, answer.Outcome, answer.Reason)
	}
}
