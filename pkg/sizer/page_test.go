package sizer

import (
	"flag"
	"os"
	"testing"
)

var update = flag.Bool("update", false, "rewrite docs/CAPACITY.md")

const pagePath = "../../docs/CAPACITY.md"

// TestPageIsTheProgramsOutput keeps docs/CAPACITY.md and the calculation the same.
func TestPageIsTheProgramsOutput(t *testing.T) {
	slopes, err := MeasuredSlopes()
	if err != nil {
		t.Fatal(err)
	}
	page := Page(slopes)
	if *update {
		if err := os.WriteFile(pagePath, []byte(page), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	kept, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	if string(kept) != page {
		t.Error("docs/CAPACITY.md differs; run go test ./pkg/sizer -update")
	}
}

// TestSlopesMustBeComplete: a file that lacks a slope is refused, else its part
// would count as costing nothing.
func TestSlopesMustBeComplete(t *testing.T) {
	if _, err := ParseSlopes([]byte(`[{"name":"lead-cpu-per-task","value":1}]`)); err == nil {
		t.Error("an incomplete file of slopes was taken")
	}
}
