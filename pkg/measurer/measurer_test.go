package measurer_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/measurer"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// page is the part of the served JSON that the tests check.
type page struct {
	Jobs      map[string]int     `json:"jobs"`
	Reasons   map[string]int     `json:"reasons"`
	Starts    int                `json:"task-starts"`
	Late      int                `json:"late-answers"`
	Servers   map[string]int     `json:"backend-servers"`
	Responses []measurer.Summary `json:"responses"`
	Gauges    measurer.Gauges    `json:"gauges"`
}

func read(t *testing.T, measured *measurer.Measurer) page {
	t.Helper()
	recorder := httptest.NewRecorder()
	measured.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/debug/vars", nil))
	var seen page
	if err := json.Unmarshal(recorder.Body.Bytes(), &seen); err != nil {
		t.Fatalf("the variables are no JSON: %v\n%s", err, recorder.Body)
	}
	return seen
}

func answer(outcome messenger.Outcome, reason messenger.Reason) *messenger.JobAnswer {
	return &messenger.JobAnswer{Outcome: outcome, Reason: reason}
}

// TestVariables checks that answers are counted in the right counters and histograms,
// and that refusals have no response time.
func TestVariables(t *testing.T) {
	measured := measurer.New()
	measured.Gauges = func(*http.Request) measurer.Gauges { return measurer.Gauges{Queued: 7} }
	job := &messenger.Job{Team: "estimates", Class: "counter"}
	for number := range 100 {
		response := time.Duration(number+1) * time.Millisecond
		measured.Answered(job, answer(messenger.OutcomeComplete, messenger.ReasonNone), response, number == 99)
	}
	measured.Answered(job, answer(messenger.OutcomeRefused, messenger.ReasonOverQuota), time.Hour, false)
	measured.TasksStarted(50)
	measured.ServerDecided(messenger.DecisionServerJoined)
	seen := read(t, measured)
	if seen.Jobs["complete"] != 100 || seen.Jobs["refused"] != 1 || seen.Reasons["over-quota"] != 1 {
		t.Errorf("jobs = %v, reasons = %v", seen.Jobs, seen.Reasons)
	}
	if seen.Starts != 50 || seen.Late != 1 || seen.Gauges.Queued != 7 {
		t.Errorf("starts = %d, late = %d, gauges = %+v", seen.Starts, seen.Late, seen.Gauges)
	}
	if seen.Servers["server-joined"] != 1 {
		t.Errorf("backend servers = %v", seen.Servers)
	}
	if len(seen.Responses) != 1 {
		t.Fatalf("responses = %+v, want one pair", seen.Responses)
	}
	got := seen.Responses[0]
	if got.Count != 100 || got.P50 < 49 || got.P50 > 51 || got.P99 < 98 || got.P99 > 100 || got.Max < 99 || got.Max > 101 {
		t.Errorf("responses = %+v", got)
	}
}

// Guards against a host whose memory grows until it is killed although few jobs run. A
// caller sends every job under a new team name, and each pair of team and class had a
// histogram that was never dropped.
func TestHistogramsAreBounded(t *testing.T) {
	measured := measurer.New()
	const teams = 5000
	for number := range teams {
		job := &messenger.Job{Team: identifier.TeamID(fmt.Sprint("team-", number)), Class: "counter"}
		measured.Answered(job, answer(messenger.OutcomeComplete, messenger.ReasonNone), time.Millisecond, false)
	}
	responses := read(t, measured).Responses
	if len(responses) != 256 {
		t.Fatalf("%d histograms, want 256", len(responses))
	}
	last := responses[len(responses)-1]
	if last.Team != "other" || last.Count != teams-255 {
		t.Errorf("the last histogram is %+v, want the %d others", last, teams-255)
	}
}

// TestBuckets checks that the buckets of a histogram count every response exactly once.
func TestBuckets(t *testing.T) {
	measured := measurer.New()
	job := &messenger.Job{Team: "estimates", Class: "counter"}
	for _, response := range []time.Duration{time.Microsecond, time.Millisecond, 3 * time.Millisecond, 4 * time.Millisecond, time.Minute, time.Hour} {
		measured.Answered(job, answer(messenger.OutcomeComplete, messenger.ReasonNone), response, false)
	}
	responses := measured.Responses()
	if len(responses) != 1 {
		t.Fatalf("got %+v, want one histogram", responses)
	}
	got := fmt.Sprint(responses[0].Buckets)
	if want := "[{1 2} {5 2} {0 2}]"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
