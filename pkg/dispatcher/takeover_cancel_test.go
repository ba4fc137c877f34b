package dispatcher_test

import (
	"testing"

	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/dispatcher/fake"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// TestCancelDuringTakeover guards against tasks of a cancelled job that keep running (row 13). A new
// lead takes the cell while a backend server runs a task of a submission. The job is forwarded again
// and cancelled, before or after that server's report. If the lead stops only tasks that it has
// matched with their job, it misses this one, since it matches no tasks of a job that ended during
// the takeover.
func TestCancelDuringTakeover(t *testing.T) {
	job := newJob("s-1", "a", "counter", equalRuns(1, 0), nil)
	key := dispatcher.TaskKey{Submission: "s-1", Task: "t-0"}
	report := &dispatcher.ServerReported{Server: "server-0", Epoch: 2, Tasks: []dispatcher.TaskKey{key}}
	forward := &dispatcher.JobForwarded{From: "entry-1", Job: job, Deadline: identifier.Never, MayHaveEarlierStarts: true}
	cancel := &dispatcher.CancelArrived{From: "entry-1", Cancel: messenger.Cancel{Submission: "s-1", Caller: job.Caller}}
	for name, inputs := range map[string][]dispatcher.Input{
		"report first": {report, forward, cancel},
		"report last":  {forward, cancel, report},
	} {
		lead := &dispatcher.Dispatcher{Self: "entry-0", FailureDomain: fake.Domain, Settings: dispatcher.DefaultSettings()}
		lead.Tick(0, []dispatcher.Input{
			&dispatcher.LeadTaken{Epoch: 2, Hosts: []identifier.HostID{"entry-0", "entry-1"}},
			&dispatcher.ServerAnnounced{Server: "server-0", Incarnation: 1, Slots: 8},
		})
		stopped := 0
		for _, output := range lead.Tick(1, inputs) {
			if batch, isBatch := output.(*dispatcher.ToServer); isBatch {
				stopped += len(batch.Cancels)
			}
		}
		if stopped != 1 {
			t.Errorf("%s: %d tasks were stopped, want 1", name, stopped)
		}
	}
}
