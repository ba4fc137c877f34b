package replayer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tracer"
)

// TestChecker feeds the checker histories of what callers and backend servers observed. Each line
// of a "history" is a moment and an observation; the result is the counts and the violations.
// It guards against a checker that misses violations, and would so pass any dispatcher, or that
// reports violations of guarantees that were kept.
func TestChecker(t *testing.T) {
	datadriven.RunTest(t, "testdata/checker", func(t *testing.T, data *datadriven.TestData) string {
		checker := NewChecker()
		for line := range strings.Lines(data.Input) {
			observe(t, checker, strings.Fields(line))
		}
		result := fmt.Sprintf("%+v, %d starts\n", checker.Counts(), checker.TasksStarted())
		for _, violation := range checker.Violations() {
			result += violation + "\n"
		}
		return result
	})
}

func observe(t *testing.T, checker *Checker, words []string) {
	t.Helper()
	offset, err := time.ParseDuration(words[0])
	if err != nil {
		t.Fatal(err)
	}
	at := identifier.Moment(offset)
	subject := words[2]
	switch words[1] {
	case "sends":
		checker.OnSubmission(job(words))
	case "starts":
		checker.OnTaskStarted(start(words), at)
	case "gets":
		checker.OnCallerAnswer(answer(t, words), at)
	case "cancels":
		checker.OnCancellation(identifier.SubmissionID(subject))
	case "leaves":
		checker.OnServerLeaving(identifier.BackendServerID(subject), at)
	case "returns":
		checker.OnServerReturned(identifier.BackendServerID(subject))
	case "cut-off":
		checker.OnRequestCutOff(identifier.SubmissionID(subject), "entry-0", at)
	default:
		t.Fatalf("unknown observation %q", words[1])
	}
}

// job reads "AT sends SUBMISSION CALLER [once]", job j of two tasks.
func job(words []string) *tracer.Job {
	return &tracer.Job{
		Submission: identifier.SubmissionID(words[2]),
		Caller:     identifier.CallerID(words[3]),
		Job:        "j",
		Repeatable: len(words) < 5,
		Tasks:      make([]tracer.Task, 2),
	}
}

// start reads "AT starts SUBMISSION TASK SERVER [once]", a start in job j of caller ann.
func start(words []string) TaskStart {
	return TaskStart{
		Submission:    identifier.SubmissionID(words[2]),
		Task:          identifier.TaskID(words[3]),
		BackendServer: identifier.BackendServerID(words[4]),
		Job:           "j",
		Caller:        "ann",
		Repeatable:    len(words) < 6,
	}
}

// answer reads "AT gets SUBMISSION CALLER OUTCOME [not-run] [SUBMISSION/TASK...]".
func answer(t *testing.T, words []string) CallerAnswer {
	t.Helper()
	outcome, err := tracer.OutcomeString(words[4])
	if err != nil {
		t.Fatal(err)
	}
	result := CallerAnswer{
		Submission: identifier.SubmissionID(words[2]),
		Caller:     identifier.CallerID(words[3]),
		Outcome:    outcome,
	}
	for _, word := range words[5:] {
		if word == "not-run" {
			result.NotRun = true
			continue
		}
		submission, task, _ := strings.Cut(word, "/")
		result.Answers = append(result.Answers, TaskAnswer{
			Submission: identifier.SubmissionID(submission),
			Task:       identifier.TaskID(task),
		})
	}
	return result
}
