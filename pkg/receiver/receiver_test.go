package receiver

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/gorilla/mux"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/forwarder"
	"github.com/stoathitch/stoathitch/pkg/loader"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/provider"
	"github.com/stoathitch/stoathitch/pkg/runner"
)

// Guards against answering "not run" for a submission that ran. A job ends in time, its answer is
// lost on the way, and the caller resends the job after the deadline. An entry host that refuses a
// past deadline by itself, without querying the lead that has the submission's record, gives a
// wrong answer.
func TestResendAfterDeadlineReachesTheRecord(t *testing.T) {
	receiver := &Receiver{Common: provider.New(&loader.Settings{
		FailureDomain: "geel", Limits: loader.Limits{RequestBody: 1000, Payload: 100, TasksPerJob: 1},
	}, io.Discard), Clock: runner.NewClock()}
	receiver.Prepare()
	receiver.Post = func(_ context.Context, input coordinator.Input) bool {
		submitted := input.(*coordinator.CallerEvent).Event.(*forwarder.CallerSubmitted)
		if submitted.Deadline > receiver.Clock.Now() {
			t.Error("the deadline lies in the future")
		}
		kept := &messenger.JobAnswer{Submission: submitted.Job.Submission, Outcome: messenger.OutcomeComplete}
		go receiver.Answer(&forwarder.AnswerCaller{Waiter: submitted.Waiter, Answer: kept})
		return true
	}
	router := mux.NewRouter()
	receiver.Register(router)
	body := `{"submission":"s","job":"j","caller":"c","team":"t","class":"k","deadline":"2001-01-01T00:00:00Z",
		"may-run":["geel"],"tasks":[{"task":"t-0","payload":1}]}`
	response := httptest.NewRecorder()
	router.ServeHTTP(response, httptest.NewRequest(http.MethodPost, "/v1/jobs", strings.NewReader(body)))
	if got := response.Body.String(); response.Code != http.StatusOK || !strings.Contains(got, `"outcome":"complete"`) {
		t.Fatalf("%d %s", response.Code, got)
	}
}
