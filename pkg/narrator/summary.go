package narrator

import (
	"slices"
	"strings"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// Failures counts the requests that ended in one way other than being complete.
type Failures struct {
	// Outcome is what the caller was told; "no answer" if nothing was.
	Outcome string `json:"outcome"`
	Count   int    `json:"count"`
	// Unnamed are those whose cause does not follow from the lines.
	Unnamed []identifier.JobID `json:"unnamed,omitempty"`
}

// noAnswer is the outcome of requests without one.
const noAnswer = "no answer"

// Summarise tells the story of each request that was not complete and counts how many
// causes it can name. The most frequent outcome comes first.
func (logs *Logs) Summarise() []Failures {
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
		if story := logs.Tell(job); !story.Named {
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

// outcomeOf returns what the caller was told, or nothing for a request that was
// complete.
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
