package integration_test

import (
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/describer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/planner"
	"github.com/stoathitch/stoathitch/pkg/requester"
)

// workersPerDomain is the number of workers of each failure domain.
const workersPerDomain = 2

// startWorkers runs workers, a process for each, until the test ends.
func (cluster *cluster) startWorkers(t *testing.T) {
	t.Helper()
	for _, domain := range failureDomains() {
		for number := range workersPerDomain {
			name := fmt.Sprintf("%s-worker-%d", domain, number)
			worker := &standIn{failureDomain: domain, process: process{
				name: name, program: "stoathitch", log: filepath.Join(cluster.folder, name+".log"),
				options: []string{
					"stand-in", "--settings-dir", cluster.settingsFolder(), "--failure-domain", string(domain),
					"--first", fmt.Sprint(number), "--count", "1", "--milli-cpu", "16000", "--memory-bytes", "68719476736",
					"--record", cluster.recordFile(name),
				},
			}}
			cluster.standIns = append(cluster.standIns, worker)
			worker.start(t)
		}
	}
}

func (daemon *daemon) requester() *requester.Requester {
	return &requester.Requester{Host: strings.TrimSuffix(daemon.url("/"), "/"), Client: &http.Client{Timeout: 10 * time.Second}}
}

// TestDrivingHostsEnd. Symptom: confirmed work hangs, is lost or runs twice after the
// host that drives the workers has gone. Sequence: an intent of tasks that are not
// repeatable runs in all failure domains; the driving host of one is killed, that of
// another is shut down. Cause guarded against: a driver that begins before it knows
// what runs, and one that never begins.
func TestDrivingHostsEnd(t *testing.T) {
	cluster := startCluster(t)
	cluster.startWorkers(t)
	operator := cluster.daemonsOf("binh-chanh")[0].requester()
	spec, err := describer.ParseSpec([]byte(`{"team":"forecast","batches":[{"kind":"train","count":36,
		"need":{"milli-cpu":2000,"memory-bytes":1073741824},"run-time":"12s","repeatable":false,"checkpointable":false}]}`))
	if err != nil {
		t.Fatal(err)
	}
	const name = identifier.IntentName("nightly")
	eventually(t, "the intent is created", func() error {
		_, err := operator.CreateIntent(t.Context(), &describer.Create{Request: "create-1", Operator: "an", Name: name, Spec: *spec})
		return err
	})
	var planned *describer.Intent
	eventually(t, "a plan", func() error {
		planned, err = operator.PlanIntent(t.Context(), name)
		if err == nil && planned.State != planner.StatePlanned {
			err = fmt.Errorf("it is %s", planned.State)
		}
		return err
	})
	order := &describer.Order{Request: "confirm-1", Operator: "an", Revision: planned.Revision, Plan: planned.Plan.Number}
	eventually(t, "the confirmation", func() error {
		_, err := operator.OrderIntent(t.Context(), name, "confirm", order)
		return err
	})
	eventually(t, "all tasks are under way", func() error {
		if begun := len(cluster.intentStarts(t, name)); begun < spec.Batches[0].Count {
			return fmt.Errorf("%d have started", begun)
		}
		return nil
	})
	cluster.awaitCellLead(t, "thu-duc").kill()
	cluster.awaitCellLead(t, "tan-binh").signal(syscall.SIGTERM)
	var ended *describer.Intent
	eventually(t, "the end", func() error {
		ended, err = operator.Intent(t.Context(), name, true, false)
		if err == nil && !ended.State.Ended() {
			err = fmt.Errorf("it is %s: %+v", ended.State, ended.Steps)
		}
		return err
	})
	if ended.State != planner.StateComplete {
		t.Errorf("it is %s: %+v", ended.State, ended.Steps)
	}
	for task, count := range cluster.intentStarts(t, name) {
		if count != 1 {
			t.Errorf("%s started %d times", task, count)
		}
	}
}

// intentStarts counts the starts of an intent's tasks.
func (cluster *cluster) intentStarts(t *testing.T, name identifier.IntentName) map[string]int {
	t.Helper()
	starts := make(map[string]int)
	for _, start := range cluster.startsOf(t, string(name)) {
		starts[start.Task]++
	}
	return starts
}
