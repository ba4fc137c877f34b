package logwriter_test

import (
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/logwriter"
)

// TestPacerLeavesLinesOut requests 1,000 lines a second: one a second is admitted, with the
// number of lines dropped before it.
func TestPacerLeavesLinesOut(t *testing.T) {
	var pacer logwriter.RateLimiter
	start := time.Unix(1000, 0)
	admitted, leftOut := 0, 0
	for step := range 5000 {
		skipped, passes := pacer.Allow(start.Add(time.Duration(step) * time.Millisecond))
		if passes {
			admitted++
			leftOut += skipped
		}
	}
	if admitted != 5 || leftOut != 4*999 {
		t.Errorf("admitted %d lines and told of %d left out, want 5 and %d", admitted, leftOut, 4*999)
	}
}
