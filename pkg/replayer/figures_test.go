package replayer

import (
	"math"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tracer"
)

func exampleFigures() *Figures {
	return NewFigures(&Measurements{
		Policy: "random", Seed: 7, Length: 10 * time.Second,
		Jobs: 6, Tasks: 300, Complete: 3, Failed: 1, Refused: 1, TasksStarted: 299,
		ResponsesOverIdeal: []float64{3, 1, 1.1},
		Messages:           602, WastedMessages: 2,
		ControlBytes: []HostBytes{{"geel-entry-1", 90}, {"geel-entry-0", 1000}},
	})
}

func TestFiguresJSON(t *testing.T) {
	line, err := exampleFigures().JSON()
	if err != nil {
		t.Fatal(err)
	}
	const want = `{"jobs":6,"tasks":300,"jobs-complete":3,"jobs-failed":1,"jobs-refused":1,"jobs-unanswered":1,` +
		`"tasks-started":299,"violations":[],"response-over-ideal":{"mean":1.7,"p50":1.1,"p99":3,"max":3},` +
		`"messages-per-task":2.006667,"wasted-messages-per-task":0.006667,` +
		`"control-bytes-per-second":{"geel-entry-0":100,"geel-entry-1":9},"policy":"random","seed":7}` + "\n"
	if string(line) != want {
		t.Fatalf("printed\n%swanted\n%s", line, want)
	}
}

// TestEveryFigureHasAValue guards against figures that the parser accepts but for which Value has no
// case: expectations on them could never hold.
func TestEveryFigureHasAValue(t *testing.T) {
	for _, figure := range tracer.FigureValues() {
		if value := exampleFigures().Value(figure); math.IsInf(value, 0) {
			t.Errorf("figure %s has no value", figure)
		}
	}
}

func TestUnmetExpectations(t *testing.T) {
	trace := &tracer.Trace{Events: []tracer.Event{
		&tracer.Expect{Submission: "done", Outcome: tracer.OutcomeComplete},
		&tracer.Expect{Submission: "done", Outcome: tracer.OutcomeRefused},
		&tracer.Expect{Submission: "lost", Outcome: tracer.OutcomeFailed},
		&tracer.Expect{Figure: tracer.FigureJobsFailed, AtMost: 1},
		&tracer.Expect{Figure: tracer.FigureResponseOverIdealP99, AtMost: 2.5},
	}}
	outcomes := func(submission identifier.SubmissionID) (tracer.Outcome, bool) {
		return tracer.OutcomeComplete, submission == "done"
	}
	unmet := UnmetExpectations(trace, exampleFigures(), outcomes)
	want := []string{
		"submission done is complete, stated refused",
		"submission lost has no answer, stated failed",
		"response-over-ideal-p99 is 3, stated at most 2.5",
	}
	if len(unmet) != len(want) {
		t.Fatalf("unmet: %q", unmet)
	}
	for position := range want {
		if unmet[position] != want[position] {
			t.Errorf("unmet %q, wanted %q", unmet[position], want[position])
		}
	}
}

func TestIdealResponse(t *testing.T) {
	datadriven.RunTest(t, "testdata/ideal", func(t *testing.T, data *datadriven.TestData) string {
		var client, short, long string
		data.ScanArgs(t, "client-one-way", &client)
		data.ScanArgs(t, "tasks", &short, &long)
		ideal := IdealResponse(
			&tracer.Job{Tasks: []tracer.Task{{RunTime: duration(t, short)}, {RunTime: duration(t, long)}}},
			&tracer.Deployment{ClientOneWayDelay: duration(t, client)},
		)
		return ideal.String() + "\n"
	})
}

func duration(t *testing.T, text string) time.Duration {
	t.Helper()
	value, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return value
}
