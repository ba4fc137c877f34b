package receiver

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/gorilla/mux"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/forwarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/loader"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/provider"
	"github.com/stoathitch/stoathitch/pkg/runner"
)

// fixture drives the handlers with a fake coordinator that returns a preset answer.
type fixture struct {
	receiver *Receiver
	router   *mux.Router
	// nextAnswer answers every posted event; while it is nil, events get no answer.
	nextAnswer *messenger.JobAnswer
	// posted describes the last posted event.
	posted string
}

func newFixture() *fixture {
	settings := loader.Defaults()
	settings.FailureDomain = "thu-duc"
	settings.FailureDomains = []identifier.FailureDomain{"thu-duc", "tan-binh"}
	settings.Limits.RequestBody = 1000
	settings.Limits.Payload = 50
	settings.Limits.TasksPerJob = 3
	created := &fixture{router: mux.NewRouter()}
	created.receiver = &Receiver{Common: provider.New(&settings, io.Discard), Clock: runner.NewClock(), Post: created.post}
	created.receiver.Prepare()
	created.receiver.Register(created.router)
	return created
}

// post is the fake coordinator's Poster: it records the event and sends nextAnswer.
func (fixture *fixture) post(_ context.Context, input coordinator.Input) bool {
	var waiter forwarder.WaiterID
	switch event := input.(*coordinator.CallerEvent).Event.(type) {
	case *forwarder.CallerSubmitted:
		waiter = event.Waiter
		fixture.posted = fmt.Sprintf("submitted %s, may run in %v, %d tasks", event.Job.Submission, event.Job.MayRun, len(event.Job.Tasks))
	case *forwarder.CallerQueried:
		waiter = event.Waiter
		fixture.posted = fmt.Sprintf("asked for %s by %q", event.Submission, event.Caller)
	case *forwarder.CallerCancelled:
		waiter = event.Waiter
		fixture.posted = fmt.Sprintf("cancelled %s by %q", event.Submission, event.Caller)
	}
	if fixture.nextAnswer != nil {
		go fixture.receiver.Answer(&forwarder.AnswerCaller{Waiter: waiter, Answer: fixture.nextAnswer})
	}
	return true
}

// request sends the request that input describes: a line "METHOD PATH", then the body.
func (fixture *fixture) request(ctx context.Context, input string) *httptest.ResponseRecorder {
	line, body, _ := strings.Cut(input, "\n")
	method, path, _ := strings.Cut(line, " ")
	request := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	request.Header.Set(CallerHeader, "garage-7")
	recorder := httptest.NewRecorder()
	fixture.router.ServeHTTP(recorder, request)
	return recorder
}

func (fixture *fixture) show(recorder *httptest.ResponseRecorder) string {
	text := fmt.Sprintf("%d %s", recorder.Code, strings.TrimSpace(recorder.Body.String()))
	if after := recorder.Header().Get("Retry-After"); after != "" {
		text += "\nRetry-After: " + after
	}
	if fixture.posted != "" {
		text += "\n" + fixture.posted
	}
	return text
}

// answerOf builds the answer described by the arguments of an answer-with command.
func answerOf(t *testing.T, data *datadriven.TestData) *messenger.JobAnswer {
	t.Helper()
	answer := &messenger.JobAnswer{Submission: "s-1"}
	for _, argument := range data.CmdArgs {
		var err error
		value := argument.Vals[0]
		switch argument.Key {
		case "outcome":
			answer.Outcome, err = messenger.OutcomeString(value)
		case "reason":
			answer.Reason, err = messenger.ReasonString(value)
		case "not-run":
			answer.NotRun = value == "true"
		case "retry-after":
			answer.RetryAfter, err = time.ParseDuration(value)
		case "result":
			answer.Answers = []messenger.TaskAnswer{{Task: "a", Result: []byte(value)}}
		default:
			data.Fatalf(t, "unknown argument %q", argument.Key)
		}
		if err != nil {
			data.Fatalf(t, "%v", err)
		}
	}
	return answer
}

// TestRequests compares the responses to bad requests and the responses for refused jobs with
// the golden files in testdata.
func TestRequests(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		fixture := newFixture()
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			fixture.posted = ""
			switch data.Cmd {
			case "answer-with":
				fixture.nextAnswer = answerOf(t, data)
				return ""
			case "send":
				return fixture.show(fixture.request(t.Context(), data.Input))
			case "send-status":
				return fmt.Sprint(fixture.request(t.Context(), data.Input).Code)
			case "send-large":
				return fixture.show(fixture.request(t.Context(), data.Input+strings.Repeat(" ", 1000)+"}"))
			case "limits":
				limits := fixture.receiver.Settings.Limits
				data.ScanArgs(t, "tasks-per-job", &limits.TasksPerJob)
				fixture.receiver.SetLimits(limits)
				return ""
			case "shut-down":
				fixture.receiver.SetReady(false)
				fixture.receiver.RefuseSubmissions()
				return ""
			case "ready":
				fixture.receiver.SetReady(true)
				return ""
			default:
				data.Fatalf(t, "unknown command %q", data.Cmd)
				return ""
			}
		})
	})
}

const smallJob = `POST /v1/jobs
{"submission":"s-1","job":"j","caller":"c","team":"t","class":"k","tasks":[{"task":"a","payload":1}]}`

// Guards against an entry host that runs out of memory and is killed while callers wait for slow
// jobs. Jobs arrive faster than they are answered, each within the limits of a single request;
// without a bound on the sum of the waiting bodies, memory grows until the host is killed.
func TestWaitingBodiesAreBounded(t *testing.T) {
	fixture := newFixture()
	limits := fixture.receiver.Settings.Limits
	limits.QueuedPayload = 150
	fixture.receiver.SetLimits(limits)
	ctx, hangUp := context.WithCancel(t.Context())
	waiting := make(chan struct{})
	go func() {
		defer close(waiting)
		fixture.request(ctx, smallJob)
	}()
	for fixture.receiver.WaitingRequests() == 0 {
		time.Sleep(time.Millisecond)
	}
	refused := fixture.request(t.Context(), smallJob)
	if body := refused.Body.String(); refused.Code != http.StatusServiceUnavailable || !strings.Contains(body, `"reason":"queue-full"`) || !strings.Contains(body, `"not-run":false`) {
		t.Errorf("with the memory taken: %d %s", refused.Code, body)
	}
	hangUp()
	<-waiting
	if bytes := fixture.receiver.WaitingBytes(); bytes != 0 {
		t.Errorf("%d bytes wait after the caller has hung up", bytes)
	}
	fixture.nextAnswer = &messenger.JobAnswer{Submission: "s-1", Outcome: messenger.OutcomeComplete}
	if served := fixture.request(t.Context(), smallJob); served.Code != http.StatusOK {
		t.Errorf("with the memory free again: %d %s", served.Code, served.Body)
	}
}
