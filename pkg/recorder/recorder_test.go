package recorder

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/stoathitch/stoathitch/pkg/tracer"
)

// TestRecord converts the logs in testdata/logs; a line "---" separates the logs of
// two hosts. The parser must accept the recorded trace.
func TestRecord(t *testing.T) {
	datadriven.RunTest(t, "testdata/logs", func(t *testing.T, data *datadriven.TestData) string {
		var logs []io.Reader
		for _, log := range strings.Split(data.Input, "\n---\n") {
			logs = append(logs, strings.NewReader(log))
		}
		trace, err := (&Recorder{ExecutorsPerFailureDomain: 2, Slots: 8}).Record(logs)
		if err != nil {
			return err.Error() + "\n"
		}
		var written bytes.Buffer
		if err := tracer.Write(&written, trace); err != nil {
			t.Fatal(err)
		}
		text := written.String()
		if _, err := tracer.Parse(&written); err != nil {
			t.Errorf("the recorded trace is bad: %v", err)
		}
		return text
	})
}
