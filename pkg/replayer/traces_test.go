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

// TestKeptTraces replays each kept trace twice. A broken promise, an unmet
// outcome or a difference between the two runs fails. The figures stand in golden
// files, so that what a change of policy does to them is seen in its diff; -rewrite
// writes them anew.
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
				return replayKept(t, name)
			})
		})
	}
}

func replayKept(t *testing.T, name string) string {
	t.Helper()
	result, line := replayFile(t, name)
	for _, violation := range result.Figures.Violations {
		t.Errorf("broken: %s", violation)
	}
	for _, unmet := range result.Unmet {
		t.Errorf("unmet: %s", unmet)
	}
	if _, again := replayFile(t, name); !bytes.Equal(line, again) {
		t.Errorf("two replays differ:\n%s%s", line, again)
	}
	return strings.ReplaceAll(string(line), ",\"", ",\n\"")
}

func replayFile(t *testing.T, name string) (*Result, []byte) {
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
	result, err := (&Replayer{Trace: trace, Seed: trace.Deployment.Seed}).Run()
	if err != nil {
		t.Fatal(err)
	}
	line, err := result.Figures.JSON()
	if err != nil {
		t.Fatal(err)
	}
	return result, line
}
