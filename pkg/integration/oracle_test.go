package integration_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// observation is one answer that a caller got.
type observation struct {
	job    *job
	host   string
	at     time.Time
	answer *answer
}

// oracle gathers what callers saw and judges it by the record of what started.
// It is safe for concurrent noting.
type oracle struct {
	mutex        sync.Mutex
	observations []observation
}

func (oracle *oracle) note(job *job, host string, answer *answer) {
	oracle.mutex.Lock()
	defer oracle.mutex.Unlock()
	oracle.observations = append(oracle.observations, observation{job: job, host: host, at: time.Now(), answer: answer})
}

// count returns how many observations have an outcome.
func (oracle *oracle) count(outcome string) int {
	oracle.mutex.Lock()
	defer oracle.mutex.Unlock()
	found := 0
	for _, seen := range oracle.observations {
		if seen.answer.Outcome == outcome {
			found++
		}
	}
	return found
}

// judge fails the test for every broken promise.
func (oracle *oracle) judge(t *testing.T, record []start) {
	t.Helper()
	oracle.mutex.Lock()
	defer oracle.mutex.Unlock()
	oracle.judgeStarts(t, record)
	oracle.judgeAnswers(t, record)
	oracle.judgeResends(t)
}

// judgeStarts: no task starts twice within a submission, and none of a
// not-repeatable job twice at all.
func (oracle *oracle) judgeStarts(t *testing.T, record []start) {
	t.Helper()
	oncePerJob := make(map[string]bool)
	for _, seen := range oracle.observations {
		if !seen.job.Repeatable {
			oncePerJob[seen.job.Job] = true
		}
	}
	inSubmission := make(map[[2]string]start)
	inJob := make(map[[2]string]start)
	for _, start := range record {
		key := [2]string{start.Submission, start.Task}
		if first, again := inSubmission[key]; again {
			t.Errorf("%s of %s started twice: on %s and on %s", start.Task, start.Submission, first.BackendServer, start.BackendServer)
		}
		inSubmission[key] = start
		key = [2]string{start.Job, start.Task}
		if first, again := inJob[key]; again && oncePerJob[start.Job] && first.Submission != start.Submission {
			t.Errorf("%s of the not-repeatable %s ran for %s and for %s", start.Task, start.Job, first.Submission, start.Submission)
		}
		inJob[key] = start
	}
}

// judgeAnswers: complete answers are whole and the caller's own, and what was
// refused as not run has no start.
func (oracle *oracle) judgeAnswers(t *testing.T, record []start) {
	t.Helper()
	started := make(map[string]start, len(record))
	for _, start := range record {
		started[start.Submission] = start
	}
	for _, seen := range oracle.observations {
		if mistake := seen.answer.mistake(seen.job); mistake != "" {
			t.Errorf("%s from %s: %s", seen.job.Submission, seen.host, mistake)
		}
		if start, ran := started[seen.job.Submission]; ran && seen.answer.NotRun {
			t.Errorf("%s: %s called it not run (%s %s), but %s ran on %s",
				seen.job.Submission, seen.host, seen.answer.Reason, seen.answer.Detail, start.Task, start.BackendServer)
		}
	}
}

// judgeResends: every resend of an answered submission gets the same answer, or
// is told that the answer is not known here. Nothing contradicts it.
func (oracle *oracle) judgeResends(t *testing.T) {
	t.Helper()
	first := make(map[string]observation)
	for _, seen := range oracle.observations {
		if seen.answer.Outcome != outcomeComplete && seen.answer.Outcome != outcomeFailed {
			continue
		}
		known, again := first[seen.job.Submission]
		if !again {
			first[seen.job.Submission] = seen
			continue
		}
		if known.answer.Outcome != seen.answer.Outcome {
			t.Errorf("%s: %s, then %s; %s said %s (%s %s), then %s said %s (%s %s)", seen.job.Submission,
				known.at.Format(time.TimeOnly), seen.at.Format(time.TimeOnly),
				known.host, known.answer.Outcome, known.answer.Reason, known.answer.Detail,
				seen.host, seen.answer.Outcome, seen.answer.Reason, seen.answer.Detail)
		}
	}
	for _, seen := range oracle.observations {
		if known, answered := first[seen.job.Submission]; answered && seen.answer.NotRun {
			t.Errorf("%s: %s said %s, %s said not run (%s %s)", seen.job.Submission,
				known.host, known.answer.Outcome, seen.host, seen.answer.Reason, seen.answer.Detail)
		}
	}
}

// summary tells what was observed, for the log of a run.
func (oracle *oracle) summary(record []start) string {
	return fmt.Sprintf("%d answers (%d complete, %d failed, %d refused), %d starts%s", len(oracle.observations),
		oracle.count(outcomeComplete), oracle.count(outcomeFailed), oracle.count(outcomeRefused), len(record), oracle.reasons())
}

// reasons lists how often each reason was given, with one example.
func (oracle *oracle) reasons() string {
	oracle.mutex.Lock()
	defer oracle.mutex.Unlock()
	counts := make(map[string]int)
	examples := make(map[string]string)
	for _, seen := range oracle.observations {
		if reason := seen.answer.Reason; reason != "" {
			counts[reason]++
			examples[reason] = seen.job.Submission + " from " + seen.host + ": " + seen.answer.Detail
		}
	}
	var text strings.Builder
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(&text, "\n%d times %s, as %s", counts[reason], reason, examples[reason])
	}
	return text.String()
}
