package configurer

import (
	"strings"
	"testing"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// TestFirstLayoutWins guards against a layout that changes while jobs run under it, and against
// commands that are not valid.
func TestFirstLayoutWins(t *testing.T) {
	register := &Register{HistoryBound: 10, ResultBound: 10}
	register.Apply(&Change{Request: "document", Document: []byte("{}"), Revision: 1})
	for _, step := range []struct {
		request identifier.RequestID
		domain  identifier.FailureDomain
		cells   int
		verdict Verdict
		newest  identifier.ConfigVersion
		problem string
	}{
		{"first", "leuven", 2, VerdictAccepted, 2, ""},
		{"first", "leuven", 2, VerdictAccepted, 2, ""},
		{"again", "leuven", 2, VerdictSuperseded, 2, ""},
		{"other", "leuven", 1, VerdictConflict, 2, "the layout of leuven is fixed at 2 cells"},
		{"none", "geel", 0, VerdictInvalid, 2, "1 to 64 cells"},
		{"many", "geel", MaxCells + 1, VerdictInvalid, 2, "1 to 64 cells"},
		{"nowhere", "", 1, VerdictInvalid, 2, "want a failure domain"},
		{"geel", "geel", 1, VerdictAccepted, 3, ""},
	} {
		result := register.ApplyLayout(&SetLayout{Request: step.request, Layout: Layout{FailureDomain: step.domain, Cells: step.cells}})
		if result.Verdict != step.verdict || result.Newest != step.newest {
			t.Errorf("%s: %+v", step.request, result)
		}
		switch err := result.LayoutError(); {
		case step.problem == "" && err != nil:
			t.Errorf("%s: %v", step.request, err)
		case step.problem != "" && (err == nil || !strings.Contains(err.Error(), step.problem)):
			t.Errorf("%s: error %v, want %q", step.request, err, step.problem)
		}
	}
	register.Apply(&Change{Request: "later", Document: []byte("[]"), Revision: 2})
	register.ApplyEvacuation(&Evacuation{Request: "order", Expected: 4, FailureDomain: "leuven"})
	content, err := register.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := &Register{HistoryBound: 10, ResultBound: 10}
	if err := restored.Restore(content); err != nil {
		t.Fatal(err)
	}
	newest := restored.Newest()
	if layouts := newest.Layouts; len(layouts) != 2 || layouts[0] != (Layout{"geel", 1}) || layouts[1] != (Layout{"leuven", 2}) {
		t.Errorf("after a change, an evacuation and a snapshot the layouts are %v", layouts)
	}
}
