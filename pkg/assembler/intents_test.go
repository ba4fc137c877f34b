package assembler_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/stoathitch/stoathitch/pkg/describer"
	"github.com/stoathitch/stoathitch/pkg/executor"
	"github.com/stoathitch/stoathitch/pkg/planner"
)

// startWorkers runs stand-in workers and returns a function that ends the worker with a given
// number.
func (deployment *deployment) startWorkers(tb testing.TB, count int, recorder *executor.Recorder) func(number int) {
	var addresses []string
	for _, settings := range deployment.settings {
		addresses = append(addresses, settings.BackendServersAddress.String())
	}
	var ends []func()
	for number := range count {
		running, stop := context.WithCancel(context.Background())
		ended := make(chan struct{})
		worker := &executor.Executor{
			Name: fmt.Sprintf("worker-%d", number), FailureDomain: "thu-duc", Rack: fmt.Sprintf("rack-%d", number/2),
			Resources:  &executor.Resources{MilliCPU: 8000, MemoryBytes: 16 << 30},
			EntryHosts: addresses, Recorder: recorder, Log: log.New(&deployment.logs),
		}
		go func() {
			defer close(ended)
			worker.Run(running)
		}()
		ends = append(ends, func() { stop(); <-ended })
		tb.Cleanup(ends[number])
	}
	return func(number int) { ends[number]() }
}

// call sends a request to a host and decodes the answer into target.
func (deployment *deployment) call(ctx context.Context, host int, method, path string, body, target any) (int, error) {
	content, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	request, err := http.NewRequestWithContext(ctx, method, deployment.hosts[host].Host+path, bytes.NewReader(content))
	if err != nil {
		return 0, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode, json.NewDecoder(response.Body).Decode(target)
}

func (deployment *deployment) post(tb testing.TB, host int, path string, body any) (int, describer.Result) {
	tb.Helper()
	var result describer.Result
	status, err := deployment.call(tb.Context(), host, http.MethodPost, path, body, &result)
	if err != nil {
		tb.Fatalf("%s: %v", path, err)
	}
	return status, result
}

func (deployment *deployment) intent(ctx context.Context, host int, name string) (describer.Intent, error) {
	var intent describer.Intent
	_, err := deployment.call(ctx, host, http.MethodGet, "/v1/intents/"+name+"?explain=true", nil, &intent)
	return intent, err
}

// waitFor waits until an intent is in a state and returns it.
func (deployment *deployment) waitFor(tb testing.TB, host int, name string, state planner.State) describer.Intent {
	tb.Helper()
	var intent describer.Intent
	eventually(tb, name+" is "+state.String(), func(ctx context.Context) bool {
		var err error
		intent, err = deployment.intent(ctx, host, name)
		return err == nil && intent.State == state
	})
	return intent
}

func newIntent(name, request string, count int, runTime time.Duration, repeatable bool) describer.Create {
	var create describer.Create
	if err := json.Unmarshal(fmt.Appendf(nil, `{"request":%q,"operator":"an","name":%q,"spec":{"team":"forecast",
		"batches":[{"kind":"train","count":%d,"need":{"milli-cpu":1000,"memory-bytes":1073741824},"run-time":%q,"repeatable":%t}]}}`,
		request, name, count, runTime.String(), repeatable), &create); err != nil {
		panic(err)
	}
	return create
}

func TestIntentFromCreationToCompletion(t *testing.T) {
	deployment := startDeployment(t, 2, nil)
	deployment.startWorkers(t, 4, nil)
	create := newIntent("nightly", "create-1", 12, 50*time.Millisecond, true)
	eventually(t, "the intent is created", func(ctx context.Context) bool {
		var result describer.Result
		status, err := deployment.call(ctx, 1, http.MethodPost, "/v1/intents", create, &result)
		return err == nil && status == http.StatusCreated
	})
	planned := deployment.waitFor(t, 0, "nightly", planner.StatePlanned)
	status, result := deployment.post(t, 1, "/v1/intents/nightly/confirm", describer.Order{
		Request: "confirm-1", Operator: "an", Revision: planned.Revision, Plan: planned.Plan.Number,
	})
	if status != http.StatusOK {
		t.Fatalf("confirmation: status %d, %+v", status, result)
	}
	ended := deployment.waitFor(t, 1, "nightly", planner.StateComplete)
	if ended.Outcomes.Succeeded != 12 || len(ended.Steps) < 4 {
		t.Errorf("ended as %+v", ended)
	}
}

// Guards against a response that doesn't say what is wrong with an operator's request.
func TestWrongIntentRequests(t *testing.T) {
	deployment := startDeployment(t, 1, nil)
	deployment.startWorkers(t, 1, nil)
	create := newIntent("known", "create-1", 1, time.Minute, true)
	eventually(t, "the intent is created", func(ctx context.Context) bool {
		var result describer.Result
		status, err := deployment.call(ctx, 0, http.MethodPost, "/v1/intents", create, &result)
		return err == nil && status == http.StatusCreated
	})
	planned := deployment.waitFor(t, 0, "known", planner.StatePlanned)
	noBatch := newIntent("empty", "create-2", 1, time.Minute, true)
	noBatch.Spec.Batches = nil
	slash := newIntent("a/b", "create-3", 1, time.Minute, true)
	order := describer.Order{Request: "order-1", Operator: "an", Revision: planned.Revision}
	for _, wrong := range []struct {
		name, path string
		body       any
		status     int
		kind       string
	}{
		{"a key that is not known", "/v1/intents", map[string]string{"nmae": "x"}, http.StatusBadRequest, "malformed-body"},
		{"a name with a slash", "/v1/intents", slash, http.StatusBadRequest, "wrong-name"},
		{"no operator", "/v1/intents/known/cancel", describer.Order{Request: "r"}, http.StatusBadRequest, "missing-field"},
		{"no batch", "/v1/intents", noBatch, http.StatusUnprocessableEntity, "invalid"},
		{"no such intent", "/v1/intents/nobody/cancel", order, http.StatusNotFound, "not-found"},
		{"an old revision", "/v1/intents/known/cancel", describer.Order{Request: "order-2", Operator: "an", Revision: 1}, http.StatusConflict, "conflict"},
		{"another plan", "/v1/intents/known/confirm", describer.Order{Request: "order-3", Operator: "an", Revision: planned.Revision, Plan: 99}, http.StatusConflict, "conflict"},
		{"a used request id", "/v1/intents/known/cancel", describer.Order{Request: "create-1", Operator: "an", Revision: planned.Revision}, http.StatusUnprocessableEntity, "invalid"},
		{"a path that shows nothing", "/v1/intents/nobody/plan", nil, http.StatusNotFound, "not-found"},
	} {
		var answer struct{ Result, Error, Reason, Detail string }
		status, err := deployment.call(t.Context(), 0, http.MethodPost, wrong.path, wrong.body, &answer)
		if err != nil || status != wrong.status || answer.Error+answer.Result != wrong.kind || answer.Reason+answer.Detail == "" {
			t.Errorf("%s: status %d, %+v, %v; want %d %s", wrong.name, status, answer, err, wrong.status, wrong.kind)
		}
	}
}

// Guards against an intent that hangs, or tasks that are lost, after a worker's process has died
// while it runs tasks: its leases have to expire before its tasks run again elsewhere. Before that,
// two operators create the intent under one name; the loser learns who won, and the winner's resend
// at the other host gets the first answer (rows 21 and 23 with a worker's death).
func TestIntentSurvivesWorkerLoss(t *testing.T) {
	deployment := startDeployment(t, 2, nil)
	end := deployment.startWorkers(t, 2, nil)
	create := newIntent("nightly", "create-an", 10, 6*time.Second, true)
	var first describer.Result
	eventually(t, "the intent is created", func(ctx context.Context) bool {
		status, err := deployment.call(ctx, 0, http.MethodPost, "/v1/intents", create, &first)
		return err == nil && status == http.StatusCreated
	})
	other := newIntent("nightly", "create-bo", 3, time.Second, true)
	other.Operator = "bo"
	status, lost := deployment.post(t, 1, "/v1/intents", other)
	if status != http.StatusConflict || lost.Winner == nil || lost.Winner.Operator != "an" || lost.Winner.Request != "create-an" || lost.Winner.At == 0 {
		t.Errorf("the loser was answered %d %+v", status, lost)
	}
	if status, again := deployment.post(t, 1, "/v1/intents", create); status != http.StatusCreated || again != first {
		t.Errorf("the resend was answered %d %+v, first %+v", status, again, first)
	}
	planned := deployment.waitFor(t, 1, "nightly", planner.StatePlanned)
	status, _ = deployment.post(t, 0, "/v1/intents/nightly/confirm", describer.Order{
		Request: "confirm-1", Operator: "an", Revision: planned.Revision, Plan: planned.Plan.Number,
	})
	if status != http.StatusOK {
		t.Fatalf("confirmation: status %d", status)
	}
	deployment.waitFor(t, 0, "nightly", planner.StateRunning)
	end(0)
	ended := deployment.waitFor(t, 1, "nightly", planner.StateComplete)
	if ended.Outcomes.Succeeded != 10 {
		t.Errorf("ended as %+v", ended)
	}
	ranOut := slices.ContainsFunc(ended.Steps, func(step describer.Step) bool {
		return strings.Contains(step.Reason, "a lease ran out on worker-0")
	})
	if !ranOut {
		t.Errorf("nothing tells of the dead worker: %+v", ended.Steps)
	}
}
