package replayer

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tracer"
)

// OutcomeCounts counts submissions and tasks. Submissions are counted by outcome of the
// first final answer that their caller received, or else of the first answer.
type OutcomeCounts struct {
	Submissions, Tasks        int
	Complete, Failed, Refused int
}

// OnCallerAnswer records and checks an answer that a caller received.
func (checker *Checker) OnCallerAnswer(answer CallerAnswer, at identifier.Moment) {
	submission := checker.submissions[answer.Submission]
	if submission == nil {
		checker.addViolation("every caller gets its own answer", answer.Submission, at,
			"caller %s got an answer to what nobody sent", answer.Caller)
		return
	}
	checker.checkCaller(submission, answer, at)
	checker.checkComplete(submission, answer, at)
	checker.checkNotRun(submission, answer, at)
	checker.checkOneAnswer(submission, answer, at)
}

// executedAs returns the submission whose results the answer must hold: the submission
// itself, or, if it is a resubmission of a not-repeatable job and started no task, the
// submission that ran the job.
func (checker *Checker) executedAs(submission *checkedSubmission, id identifier.SubmissionID) (identifier.SubmissionID, *checkedSubmission) {
	if submission.request == nil || len(submission.starts) > 0 {
		return id, submission
	}
	first, ran := checker.firstRuns[*submission.request]
	if !ran || checker.submissions[first] == nil {
		return id, submission
	}
	return first, checker.submissions[first]
}

func (checker *Checker) checkCaller(submission *checkedSubmission, answer CallerAnswer, at identifier.Moment) {
	if answer.Caller != submission.caller {
		checker.addViolation("every caller gets its own answer", answer.Submission, at,
			"caller %s got the answer of caller %s", answer.Caller, submission.caller)
	}
	ranAs, _ := checker.executedAs(submission, answer.Submission)
	for _, result := range answer.Answers {
		if result.Submission != ranAs {
			checker.addViolation("every caller gets its own answer", answer.Submission, at,
				"the answer holds the result of task %s of submission %s", result.Task, result.Submission)
		}
	}
}

// checkComplete checks that a complete answer holds each task's result exactly once and
// that each task has started at a backend server: a result without a start is fabricated.
func (checker *Checker) checkComplete(submission *checkedSubmission, answer CallerAnswer, at identifier.Moment) {
	if answer.Outcome != tracer.OutcomeComplete {
		return
	}
	_, ran := checker.executedAs(submission, answer.Submission)
	counts := make(map[identifier.TaskID]int, len(submission.tasks))
	for _, result := range answer.Answers {
		counts[result.Task]++
	}
	for _, task := range submission.tasks {
		if counts[task] != 1 {
			checker.addViolation("an answer is complete or marked failed, never partial", answer.Submission, at,
				"task %s has %d results", task, counts[task])
		}
		if ran.starts[task] == nil {
			checker.addViolation("an answer is complete or marked failed, never partial", answer.Submission, at,
				"task %s has never started", task)
		}
	}
	if len(counts) > len(submission.tasks) {
		checker.addViolation("an answer is complete or marked failed, never partial", answer.Submission, at,
			"%d results for %d tasks", len(answer.Answers), len(submission.tasks))
	}
}

func (checker *Checker) checkNotRun(submission *checkedSubmission, answer CallerAnswer, at identifier.Moment) {
	if !answer.NotRun {
		return
	}
	if !submission.reportedNotRun {
		submission.reportedNotRun = true
		submission.notRunAt = at
	}
	if len(submission.starts) > 0 {
		checker.addViolation("what was refused as not run did not run", answer.Submission, at,
			"%d of its tasks had started", len(submission.starts))
	}
}

// checkOneAnswer checks that each request gets at most one answer, and that all final
// answers of a submission are the same. Refusals as not known to have run aren't final.
func (checker *Checker) checkOneAnswer(submission *checkedSubmission, answer CallerAnswer, at identifier.Moment) {
	submission.answers++
	if submission.answers > submission.requests {
		checker.addViolation("exactly one answer for each submission", answer.Submission, at,
			"%d answers to %d requests", submission.answers, submission.requests)
	}
	if submission.answers == 1 || (!submission.firstAnswer.Final() && answer.Final()) {
		submission.firstAnswer = answer
		return
	}
	if submission.firstAnswer.Final() && answer.Final() && !sameAnswer(submission.firstAnswer, answer) {
		checker.addViolation("exactly one answer for each submission", answer.Submission, at,
			"the first answer was %s, this one is %s", describe(submission.firstAnswer), describe(answer))
	}
}

// Final reports whether the answer states the submission's outcome. A refusal as not known
// to have run doesn't: the outcome couldn't be determined then, but a resend may get it.
func (answer *CallerAnswer) Final() bool {
	return answer.Outcome != tracer.OutcomeRefused || answer.NotRun
}

// Outcome returns the outcome of the first final answer that the submission's caller received,
// or else of the first answer; false if there is none.
func (checker *Checker) Outcome(submission identifier.SubmissionID) (tracer.Outcome, bool) {
	checked := checker.submissions[submission]
	if checked == nil || checked.answers == 0 {
		return 0, false
	}
	return checked.firstAnswer.Outcome, true
}

// Counts returns the numbers of submissions, tasks and outcomes so far.
func (checker *Checker) Counts() OutcomeCounts {
	var counts OutcomeCounts
	for _, id := range checker.order {
		submission := checker.submissions[id]
		counts.Submissions++
		counts.Tasks += len(submission.tasks)
		if submission.answers > 0 {
			counts.add(submission.firstAnswer.Outcome)
		}
	}
	return counts
}

func (counts *OutcomeCounts) add(outcome tracer.Outcome) {
	switch outcome {
	case tracer.OutcomeComplete:
		counts.Complete++
	case tracer.OutcomeFailed:
		counts.Failed++
	case tracer.OutcomeRefused:
		counts.Refused++
	}
}

func sameAnswer(first, second CallerAnswer) bool {
	return first.Outcome == second.Outcome &&
		first.NotRun == second.NotRun &&
		slices.Equal(first.Answers, second.Answers)
}

func describe(answer CallerAnswer) string {
	if answer.NotRun {
		return answer.Outcome.String() + " as not run"
	}
	return answer.Outcome.String()
}
