package replayer

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tracer"
)

// OutcomeCounts counts submissions by the first final answer that their caller
// got, or else by the first.
type OutcomeCounts struct {
	Submissions, Tasks        int
	Complete, Failed, Refused int
}

// OnCallerAnswer notes that a caller received an answer.
func (checker *Checker) OnCallerAnswer(answer CallerAnswer, at identifier.Moment) {
	submission := checker.submissions[answer.Submission]
	if submission == nil {
		checker.violate("every caller gets its own answer", answer.Submission, at,
			"caller %s got an answer to what nobody sent", answer.Caller)
		return
	}
	checker.checkCaller(submission, answer, at)
	checker.checkComplete(submission, answer, at)
	checker.checkNotRun(submission, answer, at)
	checker.checkOneAnswer(submission, answer, at)
}

// ranAs returns the submission whose results the answer must hold: its own, or the
// one that ran the not-repeatable job, whose answer a resubmission gets.
func (checker *Checker) ranAs(submission *checkedSubmission, id identifier.SubmissionID) (identifier.SubmissionID, *checkedSubmission) {
	if submission.request == nil || len(submission.starts) > 0 {
		return id, submission
	}
	first, ran := checker.runs[*submission.request]
	if !ran || checker.submissions[first] == nil {
		return id, submission
	}
	return first, checker.submissions[first]
}

func (checker *Checker) checkCaller(submission *checkedSubmission, answer CallerAnswer, at identifier.Moment) {
	if answer.Caller != submission.caller {
		checker.violate("every caller gets its own answer", answer.Submission, at,
			"caller %s got the answer of caller %s", answer.Caller, submission.caller)
	}
	ranAs, _ := checker.ranAs(submission, answer.Submission)
	for _, result := range answer.Answers {
		if result.Submission != ranAs {
			checker.violate("every caller gets its own answer", answer.Submission, at,
				"the answer holds the result of task %s of submission %s", result.Task, result.Submission)
		}
	}
}

// checkComplete wants each task's result exactly once, and each task to have
// started at a backend server: a result without a start would be made up.
func (checker *Checker) checkComplete(submission *checkedSubmission, answer CallerAnswer, at identifier.Moment) {
	if answer.Outcome != tracer.OutcomeComplete {
		return
	}
	_, ran := checker.ranAs(submission, answer.Submission)
	counts := make(map[identifier.TaskID]int, len(submission.tasks))
	for _, result := range answer.Answers {
		counts[result.Task]++
	}
	for _, task := range submission.tasks {
		if counts[task] != 1 {
			checker.violate("an answer is complete or marked failed, never partial", answer.Submission, at,
				"task %s has %d results", task, counts[task])
		}
		if ran.starts[task] == nil {
			checker.violate("an answer is complete or marked failed, never partial", answer.Submission, at,
				"task %s has never started", task)
		}
	}
	if len(counts) > len(submission.tasks) {
		checker.violate("an answer is complete or marked failed, never partial", answer.Submission, at,
			"%d results for %d tasks", len(answer.Answers), len(submission.tasks))
	}
}

func (checker *Checker) checkNotRun(submission *checkedSubmission, answer CallerAnswer, at identifier.Moment) {
	if !answer.NotRun {
		return
	}
	if !submission.saidNoRun {
		submission.saidNoRun = true
		submission.notRunAt = at
	}
	if len(submission.starts) > 0 {
		checker.violate("what was refused as not run did not run", answer.Submission, at,
			"%d of its tasks had started", len(submission.starts))
	}
}

// checkOneAnswer wants at most one answer for each request, and the same answer
// for all of them but the refusals as not known to have run.
func (checker *Checker) checkOneAnswer(submission *checkedSubmission, answer CallerAnswer, at identifier.Moment) {
	submission.answers++
	if submission.answers > submission.requests {
		checker.violate("exactly one answer for each submission", answer.Submission, at,
			"%d answers to %d requests", submission.answers, submission.requests)
	}
	if submission.answers == 1 || (!submission.first.Final() && answer.Final()) {
		submission.first = answer
		return
	}
	if submission.first.Final() && answer.Final() && !sameAnswer(submission.first, answer) {
		checker.violate("exactly one answer for each submission", answer.Submission, at,
			"the first answer was %s, this one is %s", describe(submission.first), describe(answer))
	}
}

// Final tells whether the answer says what became of the submission. A refusal
// as not known to have run says only that nobody could tell it there and then;
// the answer to a resend may.
func (answer *CallerAnswer) Final() bool {
	return answer.Outcome != tracer.OutcomeRefused || answer.NotRun
}

// Outcome returns the first final answer that the submission's caller got, or else
// the first.
func (checker *Checker) Outcome(submission identifier.SubmissionID) (tracer.Outcome, bool) {
	checked := checker.submissions[submission]
	if checked == nil || checked.answers == 0 {
		return 0, false
	}
	return checked.first.Outcome, true
}

// Counts returns how the submissions have ended so far.
func (checker *Checker) Counts() OutcomeCounts {
	var counts OutcomeCounts
	for _, id := range checker.order {
		submission := checker.submissions[id]
		counts.Submissions++
		counts.Tasks += len(submission.tasks)
		if submission.answers > 0 {
			counts.add(submission.first.Outcome)
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
