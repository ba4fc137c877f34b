package trier

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/loader"
)

// lockedBuffer takes the logs of several daemons.
type lockedBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

// Write appends to the buffer.
func (locked *lockedBuffer) Write(content []byte) (int, error) {
	locked.mutex.Lock()
	defer locked.mutex.Unlock()
	return locked.buffer.Write(content)
}

// String returns what was written.
func (locked *lockedBuffer) String() string {
	locked.mutex.Lock()
	defer locked.mutex.Unlock()
	return locked.buffer.String()
}

// TestTrialIsWhole runs a small trial: every job is complete, each class has its
// histogram, and no daemon logs an error, not even at its end.
func TestTrialIsWhole(t *testing.T) {
	var logs lockedBuffer
	trial := &Trier{Jobs: 8, Timeout: time.Minute, Logs: &logs}
	report, err := trial.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if report.Jobs != 8 || report.Missing() != 0 || len(report.Problems) != 0 {
		t.Errorf("%d jobs, %d missing, problems %v", report.Jobs, report.Missing(), report.Problems)
	}
	var printed bytes.Buffer
	report.Print(&printed)
	for _, wanted := range []string{"8 jobs, 8 complete", "counter", "batch", "response over ideal by class"} {
		if !strings.Contains(printed.String(), wanted) {
			t.Errorf("the report lacks %q:\n%s", wanted, &printed)
		}
	}
	for line := range strings.Lines(logs.String()) {
		if strings.Contains(line, "level=error") {
			t.Errorf("a daemon logged an error: %s", line)
		}
	}
}

// TestMissingAnswersAreReported checks that nothing but a whole answer of its own
// counts for a job.
func TestMissingAnswersAreReported(t *testing.T) {
	responses := map[string]string{
		"no JSON":               `good day`,
		"no answer":             `{}`,
		"a refusal":             `{"submission":"s-x","outcome":"refused","reason":"queue-full","not-run":true}`,
		"a failure":             `{"submission":"s-x","outcome":"failed","reason":"task-failed"}`,
		"a part of the answer":  `{"submission":"s-x","outcome":"complete","answers":[{"task":"t-0","result":{"run-time":"50ms","nonce":"x/0"}}]}`,
		"another job's answer":  `{"submission":"s-x","outcome":"complete","answers":[{"task":"t-0","result":{"run-time":"50ms","nonce":"y/0"}},{"task":"t-1","result":{"run-time":"60ms","nonce":"y/1"}}]}`,
		"a complete one, empty": `{"submission":"s-x","outcome":"complete","answers":[]}`,
	}
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			host := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				_, _ = fmt.Fprint(writer, response)
			}))
			defer host.Close()
			address := netip.MustParseAddrPort(strings.TrimPrefix(host.URL, "http://"))
			report := newReport()
			result := (&Trier{}).submit(t.Context(), &loader.Settings{CallersAddress: address}, newJob("x", 2, 0))
			report.add(result, nil)
			if report.Missing() != 1 || len(report.Problems) != 1 {
				t.Errorf("%d missing, problems %v", report.Missing(), report.Problems)
			}
		})
	}
}

// TestTrialEndsInTime: a trial that can't succeed ends by its timeout with an error.
func TestTrialEndsInTime(t *testing.T) {
	trial := &Trier{Jobs: 8, Timeout: time.Millisecond}
	if report, err := trial.Run(t.Context()); err == nil && report.Missing() == 0 {
		t.Errorf("a trial of a millisecond is whole: %+v", report)
	}
}
