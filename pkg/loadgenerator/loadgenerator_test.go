package loadgenerator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/loader"
	"github.com/stoathitch/stoathitch/pkg/loadgenerator"
)

// submitted is what the tests read of a job.
type submitted struct {
	Submission string            `json:"submission"`
	Class      string            `json:"class"`
	Tasks      []json.RawMessage `json:"tasks"`
}

// startHost serves submissions by answer until the test ends.
func startHost(t *testing.T, answer func(job submitted) string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		content, err := io.ReadAll(request.Body)
		if err != nil {
			t.Errorf("read the job: %v", err)
		}
		var job submitted
		if err := json.Unmarshal(content, &job); err != nil {
			t.Errorf("the job is no JSON: %v", err)
		}
		_, _ = io.WriteString(writer, answer(job))
	}))
	t.Cleanup(server.Close)
	return server.URL
}

func complete(job submitted) string {
	answers := make([]string, 0, len(job.Tasks))
	for number := range job.Tasks {
		answers = append(answers, fmt.Sprintf(`{"task":"t-%d","result":{}}`, number))
	}
	return fmt.Sprintf(`{"submission":%q,"outcome":"complete","answers":[%s]}`, job.Submission, strings.Join(answers, ","))
}

func evenPlan(rate float64, duration time.Duration) loadgenerator.Plan {
	plan := loadgenerator.DefaultPlan()
	plan.Rate, plan.Duration, plan.Arrivals = rate, loader.Duration(duration), loadgenerator.ArrivalsEven
	return plan
}

func withClass(mix loadgenerator.Mix, class string) loadgenerator.Mix {
	mix.Class = identifier.ClassName(class)
	return mix
}

func run(t *testing.T, plan loadgenerator.Plan, hosts ...string) *loadgenerator.Summary {
	t.Helper()
	generator := &loadgenerator.Generator{Plan: plan, Hosts: hosts}
	summary, err := generator.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return summary
}

// A closed loop would wait for ever: nothing is answered until all jobs are there.
func TestNoJobWaitsForAnEarlierAnswer(t *testing.T) {
	const jobs = 19
	var arrived sync.WaitGroup
	arrived.Add(jobs)
	host := startHost(t, func(job submitted) string {
		arrived.Done()
		arrived.Wait()
		return complete(job)
	})
	summary := run(t, evenPlan(200, 100*time.Millisecond), host)
	if summary.Jobs != jobs || summary.Complete() != jobs || summary.Missing() != 0 {
		t.Fatalf("%d jobs, %d complete, %d missing", summary.Jobs, summary.Complete(), summary.Missing())
	}
}

// Symptom: a system that stalled looked fast, because only one job was sent during
// the stall. Here the first job holds the one place in flight until all others are
// due: their responses count from their own moments, so they are as long as the
// stall was for each. The bounds are lower ones, which a slow machine can't break.
func TestStallCountsForEveryJobThatFellDue(t *testing.T) {
	const stall = 300 * time.Millisecond
	var once sync.Once
	host := startHost(t, func(job submitted) string {
		once.Do(func() { <-time.After(stall) })
		return complete(job)
	})
	plan := evenPlan(100, 100*time.Millisecond)
	plan.InFlight = 1
	summary := run(t, plan, host)
	response := summary.Classes[0].Response
	if shortest := float64((stall - 100*time.Millisecond).Milliseconds()); response.P50 < shortest || summary.SentLate.P50 < shortest {
		t.Fatalf("response p50 %v ms, sent late p50 %v ms; at least %v ms of each is the stall", response.P50, summary.SentLate.P50, shortest)
	}
}

func TestOutcomesAreCountedByClassAndReason(t *testing.T) {
	answers := map[string]func(job submitted) string{
		"whole":   complete,
		"partial": func(job submitted) string { job.Tasks = job.Tasks[1:]; return complete(job) },
		"failed": func(job submitted) string {
			return fmt.Sprintf(`{"submission":%q,"outcome":"failed","reason":"task-failed","answers":[]}`, job.Submission)
		},
		"refused": func(job submitted) string {
			return fmt.Sprintf(`{"submission":%q,"outcome":"refused","not-run":true,"reason":"queue-full","answers":[]}`, job.Submission)
		},
		"garbled": func(submitted) string { return "<html>" },
	}
	host := startHost(t, func(job submitted) string { return answers[job.Class](job) })
	plan := evenPlan(500, 200*time.Millisecond)
	plan.Mixes = nil
	for _, class := range slices.Sorted(maps.Keys(answers)) {
		plan.Mixes = append(plan.Mixes, withClass(loadgenerator.DefaultMix(), class))
	}
	summary := run(t, plan, host)
	for _, class := range summary.Classes {
		counts := []int{class.Complete, class.Wrong, class.Failed, class.Refused, class.Errors}
		want := map[string]int{"whole": 0, "partial": 1, "failed": 2, "refused": 3, "garbled": 4}[string(class.Class)]
		for index, count := range counts {
			if (index == want) != (count == class.Jobs) {
				t.Errorf("class %s: %v of %d jobs", class.Class, counts, class.Jobs)
			}
		}
	}
	if len(summary.Classes) != len(answers) {
		t.Errorf("%d classes", len(summary.Classes))
	}
}

func TestSameSeedGivesTheSameJobs(t *testing.T) {
	jobs := func(seed uint64) map[string]string {
		var mutex sync.Mutex
		seen := make(map[string]string)
		host := startHost(t, func(job submitted) string {
			_, number, _ := strings.Cut(strings.TrimPrefix(job.Submission, "load-"), "-")
			mutex.Lock()
			defer mutex.Unlock()
			seen[number] = fmt.Sprintf("%s", job.Tasks)
			return complete(job)
		})
		plan := evenPlan(500, 100*time.Millisecond)
		plan.Seed, plan.Arrivals = seed, loadgenerator.ArrivalsPoisson
		run(t, plan, host)
		return seen
	}
	first, second, other := fmt.Sprint(jobs(7)), fmt.Sprint(jobs(7)), fmt.Sprint(jobs(8))
	if first != second || first == other {
		t.Fatalf("seed 7 twice and seed 8:\n%s\n%s\n%s", first, second, other)
	}
}

func TestPageHoldsBothRunsAndEscapesNames(t *testing.T) {
	host := startHost(t, complete)
	plan := evenPlan(200, 100*time.Millisecond)
	plan.Mixes[0] = withClass(plan.Mixes[0], "<script>alert(1)</script>")
	first := run(t, plan, host)
	content, err := json.Marshal(first)
	if err != nil {
		t.Fatal(err)
	}
	other, err := loadgenerator.ParseSummary(content)
	if err != nil {
		t.Fatal(err)
	}
	var page bytes.Buffer
	if err := loadgenerator.WritePage(&page, first, other); err != nil {
		t.Fatal(err)
	}
	text := page.String()
	if strings.Contains(text, "<script>") || strings.Count(text, "<svg") != 3 || !strings.Contains(text, "Side by side") {
		t.Fatalf("the page: %s", text)
	}
}

func TestBadPlansAreRefused(t *testing.T) {
	for _, content := range []string{
		`{`, `{"rates": 1}`, `{"rate": "1"}`, `{"rate": 0}`, `{"rate": -1}`, `{"duration": "0s"}`, `{"duration": "fast"}`,
		`{"in-flight": 0}`, `{"arrivals": "odd"}`, `{"mixes": []}`, `{"mixes": [{"class": ""}]}`, `{"mixes": [{"weight": 0}]}`,
		`{"mixes": [{"widths": [{"tasks": 0, "weight": 1}]}]}`, `{"mixes": [{"shortest-run-time": "2s", "longest-run-time": "1s"}]}`,
		`{"mixes": [{"repeatable-share": 1.1}]}`, `{"mixes": [{"colour": 1}]}`,
	} {
		plan, err := loadgenerator.ParsePlan([]byte(content))
		if err == nil {
			err = plan.Check()
		}
		if err == nil {
			t.Errorf("%s is taken for a plan", content)
		}
	}
}
