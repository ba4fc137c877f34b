package replayer

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stoathitch/stoathitch/pkg/tracer"
)

// TestExplain tells the way of one submission, from its arrival at the lead to its
// end and the resend after it.
func TestExplain(t *testing.T) {
	file, err := os.Open("../../testdata/traces/small-resend-after-deadline.trace")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	trace, err := tracer.Parse(file)
	if err != nil {
		t.Fatal(err)
	}
	result, err := (&Replayer{Trace: trace, Seed: 1, Explain: "s-1"}).Run()
	if err != nil {
		t.Fatal(err)
	}
	var steps []string
	for _, step := range result.Steps {
		steps = append(steps, fmt.Sprintf("%s %s %s", step.Kind, step.Task, step.Detail))
	}
	told := strings.Join(steps, "; ")
	for _, wanted := range []string{"arrived  geel-entry-", "started t-0 ", "answered t-0 ", "ended  complete"} {
		if !strings.Contains(told, wanted) {
			t.Errorf("the steps %q lack %q", told, wanted)
		}
	}
}
