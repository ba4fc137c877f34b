package receiver

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/loader"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// BenchmarkSubmit measures reading a job of 50 tasks and writing its answer, without network
// connections and with a fake coordinator.
func BenchmarkSubmit(b *testing.B) {
	const tasks = 50
	var body strings.Builder
	body.WriteString(`{"submission":"s-1","job":"j-1","caller":"garage-7","team":"estimates","class":"counter","repeatable":true,"tasks":[`)
	answer := &messenger.JobAnswer{Submission: "s-1", Outcome: messenger.OutcomeComplete}
	for task := range tasks {
		if task > 0 {
			body.WriteByte(',')
		}
		fmt.Fprintf(&body, `{"task":"t-%d","payload":{"run-time":"1.234567ms"},"declared-run-time":"1.234567ms"}`, task)
		answer.Answers = append(answer.Answers, messenger.TaskAnswer{
			Task: identifier.TaskID(fmt.Sprintf("t-%d", task)), Result: []byte(`{"run-time":"1.234567ms"}`),
		})
	}
	body.WriteString("]}")
	fixture := newFixture()
	fixture.nextAnswer = answer
	fixture.receiver.SetLimits(loader.Defaults().Limits)
	b.ReportAllocs()
	for b.Loop() {
		recorder := httptest.NewRecorder()
		fixture.router.ServeHTTP(recorder, httptest.NewRequest("POST", "/v1/jobs", strings.NewReader(body.String())))
		if recorder.Code != 200 {
			b.Fatal(recorder.Body)
		}
	}
}
