package tracer

import (
	"bytes"
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

const goldenDeployment = `{"at":"0s","event":"deployment","failure-domains":["thu-duc","tan-binh"],` +
	`"entry-hosts-per-failure-domain":3,"executors-per-failure-domain":17,"slots":8,"connections":60,` +
	`"one-way":"1ms","client-one-way":"1ms","sync":"4ms","seed":1}` + "\n"

// TestGolden runs the commands in testdata/golden: "trace" parses its input as a
// whole trace, "events" parses it after a valid deployment line. Both print the
// parsed trace as Write encodes it, or the error.
func TestGolden(t *testing.T) {
	datadriven.Walk(t, "testdata/golden", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			switch data.Cmd {
			case "trace":
				return parseAndWrite(t, data.Input)
			case "events":
				result := parseAndWrite(t, goldenDeployment+data.Input)
				return strings.TrimPrefix(result, goldenDeployment)
			}
			t.Fatalf("unknown command %q", data.Cmd)
			return ""
		})
	})
}

func parseAndWrite(t *testing.T, source string) string {
	trace, err := Parse(strings.NewReader(source))
	if err != nil {
		requireLineNumber(t, err)
		return err.Error() + "\n"
	}
	return write(t, trace)
}

func write(t *testing.T, trace *Trace) string {
	t.Helper()
	var buffer bytes.Buffer
	if err := Write(&buffer, trace); err != nil {
		t.Fatal(err)
	}
	return buffer.String()
}

func requireLineNumber(t *testing.T, err error) {
	t.Helper()
	var traceError *Error
	if !errors.As(err, &traceError) || traceError.Line < 1 {
		t.Fatalf("error without a line: %v", err)
	}
}

func TestWrittenTraceHasTheSameBytes(t *testing.T) {
	source, err := os.ReadFile("testdata/every-event.trace")
	if err != nil {
		t.Fatal(err)
	}
	if result := parseAndWrite(t, string(source)); result != string(source) {
		t.Fatalf("the writer changed the trace:\n%s", result)
	}
}

func FuzzParse(f *testing.F) {
	source, err := os.ReadFile("testdata/every-event.trace")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(string(source))
	for line := range strings.Lines(string(source)) {
		f.Add(goldenDeployment + line)
	}
	f.Fuzz(func(t *testing.T, source string) {
		trace, err := Parse(strings.NewReader(source))
		if err != nil {
			requireLineNumber(t, err)
			return
		}
		first := write(t, trace)
		if second := parseAndWrite(t, first); second != first {
			t.Fatalf("not stable:\n%s\n%s", first, second)
		}
	})
}
