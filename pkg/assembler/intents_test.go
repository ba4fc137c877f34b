package assembler_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/stoathitch/stoathitch/pkg/executor"
	"github.com/stoathitch/stoathitch/pkg/explainer"
	"github.com/stoathitch/stoathitch/pkg/planner"
)

// startWorkers runs stand-in workers and returns a function that ends the one with
// a number.
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

func (deployment *deployment) post(tb testing.TB, host int, path string, body any) (int, explainer.Result) {
	tb.Helper()
	var result explainer.Result
	status, err := deployment.call(tb.Context(), host, http.MethodPost, path, body, &result)
	if err != nil {
		tb.Fatalf("%s: %v", path, err)
	}
	return status, result
}

func (deployment *deployment) intent(ctx context.Context, host int, name string) (explainer.Intent, error) {
	var intent explainer.Intent
	_, err := deployment.call(ctx, host, http.MethodGet, "/v1/intents/"+name+"?explain=true", nil, &intent)
	return intent, err
}

// waitFor waits until an intent is in a state.
func (deployment *deployment) waitFor(tb testing.TB, host int, name string, state planner.State) explainer.Intent {
	tb.Helper()
	var intent explainer.Intent
	eventually(tb, name+" is "+state.String(), func(ctx context.Context) bool {
		var err error
		intent, err = deployment.intent(ctx, host, name)
		return err == nil && intent.State == state
	})
	return intent
}

func newIntent(name, request string, count int, runTime time.Duration, repeatable bool) explainer.Create {
	var create explainer.Create
	if err := json.Unmarshal(fmt.Appendf(nil, `{"request":%q,"operator":"an","name":%q,"spec":{"team":"forecast",
		"batches":[{"kind":"train","count":%d,"need":{"milli-cpu":1000,"memory-bytes":1073741824},"run-time":%q,"repeatable":%t}]}}`,
		request, name, count, runTime.String(), repeatable), &create); err != nil {
		panic(err)
	}
	return create
}

func TestIntentFromStatementToOutcome(t *testing.T) {
	deployment := startDeployment(t, 2, nil)
	deployment.startWorkers(t, 4, nil)
	create := newIntent("nightly", "create-1", 12, 50*time.Millisecond, true)
	eventually(t, "the intent is created", func(ctx context.Context) bool {
		var result explainer.Result
		status, err := deployment.call(ctx, 1, http.MethodPost, "/v1/intents", create, &result)
		return err == nil && status == http.StatusCreated
	})
	planned := deployment.waitFor(t, 0, "nightly", planner.StatePlanned)
	status, result := deployment.post(t, 1, "/v1/intents/nightly/confirm", explainer.Order{
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
