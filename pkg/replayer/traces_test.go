package replayer

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/stoathitch/stoathitch/pkg/tracer"
)

const tracesFolder = "../../testdata/traces"

// TestKeptTraces replays the regression traces. It fails on a violated guarantee or an unmet
// expectation, whatever the golden files contain. The figures are compared with golden files,
// so that the diff of a policy change shows its effect on them; -rewrite updates the files.
func TestKeptTraces(t *testing.T) {
	names, err := filepath.Glob(filepath.Join(tracesFolder, "*.trace"))
	if err != nil || len(names) == 0 {
		t.Fatalf("no traces: %v", err)
	}
	for _, name := range names {
		short := strings.TrimSuffix(filepath.Base(name), ".trace")
		t.Run(short, func(t *testing.T) {
			t.Parallel()
			datadriven.RunTest(t, "testdata/figures/"+short, func(t *testing.T, _ *datadriven.TestData) string {
				return replayWithoutViolations(t, name)
			})
		})
	}
}

func replayWithoutViolations(t *testing.T, name string) string {
	t.Helper()
	result, line := replayFile(t, name, "")
	for _, violation := range result.Figures.Violations {
		t.Errorf("broken: %s", violation)
	}
	for _, unmet := range result.Unmet {
		t.Errorf("unmet: %s", unmet)
	}
	return strings.ReplaceAll(string(line), ",\"", ",\n\"")
}

// TestSameBytes guards against nondeterminism: two replays with the same trace, policy and seed
// must print the same bytes, under every policy.
func TestSameBytes(t *testing.T) {
	name := filepath.Join(tracesFolder, "phuc-tin-two-faults.trace")
	for _, policy := range Policies() {
		_, first := replayFile(t, name, policy)
		if _, second := replayFile(t, name, policy); !bytes.Equal(first, second) {
			t.Errorf("two replays differ under %s:\n%s%s", policy, first, second)
		}
	}
}

func replayFile(t *testing.T, name, policy string) (*Result, []byte) {
	t.Helper()
	file, err := os.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	trace, err := tracer.Parse(file)
	if err != nil {
		t.Fatal(err)
	}
	result, err := (&Replayer{Trace: trace, Policy: policy, Seed: trace.Deployment.Seed}).Run()
	if err != nil {
		t.Fatal(err)
	}
	line, err := result.Figures.JSON()
	if err != nil {
		t.Fatal(err)
	}
	return result, line
}
