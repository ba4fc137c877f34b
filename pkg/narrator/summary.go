package narrator

import (
	"slices"
	"strings"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// Failures counts the requests with one outcome other than complete.
type Failures struct {
	// Outcome is the outcome sent to the caller, or "no answer".
	Outcome string `json:"outcome"`
	Count   int    `json:"count"`
	// Unnamed lists the requests whose cause does not follow from the lines.
	Unnamed []identifier.JobID `json:"unnamed,omitempty"`
}

// noAnswer is the outcome of requests without one.
const noAnswer = "no answer"

// SummariseFailures reconstructs each request that was not complete, counts them by outcome and
// lists those whose cause is unknown. The most frequent outcome comes first.
func (logs *Logs) SummariseFailures() []Failures {
	found := make(map[string]*Failures)
	for job, records := range logs.jobs {
		outcome := outcomeOf(records)
		if outcome == "" {
			continue
		}
		counted := found[outcome]
		if counted == nil {
			counted = &Failures{Outcome: outcome}
			found[outcome] = counted
		}
		counted.Count++
		if story := logs.Explain(job); !story.Named {
			counted.Unnamed = append(counted.Unnamed, job)
		}
	}
	var summary []Failures
	for _, counted := range found {
		slices.Sort(counted.Unnamed)
		summary = append(summary, *counted)
	}
	slices.SortFunc(summary, func(first, second Failures) int {
		if first.Count != second.Count {
			return second.Count - first.Count
		}
		return strings.Compare(first.Outcome, second.Outcome)
	})
	return summary
}

// outcomeOf returns the outcome sent to the caller, or an empty string for a request that
// was complete.
func outcomeOf(records []*Record) string {
	outcome := noAnswer
	for _, record := range records {
		if record.is(messenger.DecisionCallerLeft) {
			outcome = record.Message
		}
		if !record.is(messenger.DecisionAnswered) {
			continue
		}
		if record.Reason == "complete" {
			return ""
		}
		outcome = record.Reason
	}
	return outcome
}
