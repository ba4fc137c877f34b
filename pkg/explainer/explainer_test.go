package explainer

import (
	"fmt"
	"testing"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// TestNewestStepsAreKept records more than twice as many steps as fit: the newest
// remain, in order.
func TestNewestStepsAreKept(t *testing.T) {
	explainer := &Explainer{Bound: 10}
	for number := range 25 {
		submission := identifier.SubmissionID(fmt.Sprint("s-", number%2))
		explainer.Record(Step{At: identifier.Moment(number), Submission: submission})
	}
	var moments []identifier.Moment
	for _, step := range explainer.Steps("s-0") {
		moments = append(moments, step.At)
	}
	if got, want := fmt.Sprint(moments), "[16 18 20 22 24]"; got != want {
		t.Errorf("steps of s-0 at %s, want %s", got, want)
	}
}

// BenchmarkNote shows that a step costs no allocation once the record is full.
func BenchmarkNote(b *testing.B) {
	explainer := &Explainer{Bound: 1000}
	for range 1000 {
		explainer.Record(Step{})
	}
	b.ReportAllocs()
	for b.Loop() {
		explainer.Record(Step{Kind: KindStarted, Submission: "s", Task: "t", Server: "b"})
	}
}
