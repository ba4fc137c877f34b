package replayer

import (
	"fmt"
	"strconv"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tracer"
)

// OutcomeLookup returns the outcome that a submission's caller received, and false if it
// received no answer.
type OutcomeLookup func(submission identifier.SubmissionID) (tracer.Outcome, bool)

// UnmetExpectations compares the expectations of a trace with the results of its replay and
// returns one sentence for each that does not hold, in the trace's order.
func UnmetExpectations(trace *tracer.Trace, figures *Figures, outcomes OutcomeLookup) []string {
	var unmet []string
	for _, event := range trace.Events {
		expect, stated := event.(*tracer.Expect)
		if !stated {
			continue
		}
		if sentence := unmetExpectation(expect, figures, outcomes); sentence != "" {
			unmet = append(unmet, sentence)
		}
	}
	return unmet
}

// unmetExpectation returns an empty string if the expectation holds.
func unmetExpectation(expect *tracer.Expect, figures *Figures, outcomes OutcomeLookup) string {
	if expect.NamesSubmission() {
		return unmetOutcome(expect, outcomes)
	}
	value := figures.Value(expect.Figure)
	if value <= expect.AtMost {
		return ""
	}
	return fmt.Sprintf("%s is %s, stated at most %s", expect.Figure, formatNumber(value), formatNumber(expect.AtMost))
}

func unmetOutcome(expect *tracer.Expect, outcomes OutcomeLookup) string {
	outcome, answered := outcomes(expect.Submission)
	if !answered {
		return fmt.Sprintf("submission %s has no answer, stated %s", expect.Submission, expect.Outcome)
	}
	if outcome == expect.Outcome {
		return ""
	}
	return fmt.Sprintf("submission %s is %s, stated %s", expect.Submission, outcome, expect.Outcome)
}

func formatNumber(value float64) string {
	return strconv.FormatFloat(value, 'f', -1, 64)
}
