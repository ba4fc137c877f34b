package replayer

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stoathitch/stoathitch/pkg/tracer"
)

// TestExplain checks that the explanation of one submission covers its arrival at the lead, the
// start and the answer of its task, and its end, which a resend follows.
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
	joined := strings.Join(steps, "; ")
	for _, wanted := range []string{"arrived  geel-entry-", "started t-0 ", "answered t-0 ", "ended  complete"} {
		if !strings.Contains(joined, wanted) {
			t.Errorf("the steps %q lack %q", joined, wanted)
		}
	}
}
