package dispatcher_test

import (
	"testing"

	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/dispatcher/fake"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// TestReportThatCrossesAStart guards against a task that starts twice. A new lead notifies a silent
// backend server twice that it leads. The server returns and reports twice, and the lead starts a
// task between the two reports. The second report was already in transit, so the lead must not take
// it for proof that the task has not started.
func TestReportThatCrossesAStart(t *testing.T) {
	lead := &dispatcher.Dispatcher{Self: "entry-0", FailureDomain: fake.Domain, Settings: dispatcher.DefaultSettings()}
	job := newJob("s-1", "a", "counter", equalRuns(1, 0), nil)
	report := &dispatcher.ServerReported{Server: "server-0", Epoch: 2}
	starts := 0
	tick := func(inputs ...dispatcher.Input) {
		for _, output := range lead.Tick(0, inputs) {
			if batch, isBatch := output.(*dispatcher.ToServer); isBatch {
				starts += len(batch.Starts)
			}
		}
	}
	tick(&dispatcher.LeadTaken{Epoch: 2, Hosts: []identifier.HostID{"entry-0"}},
		&dispatcher.TakeoverReplied{From: "entry-0", Reply: messenger.TakeoverReply{Epoch: 2}},
		&dispatcher.ServerAnnounced{Server: "server-0", Incarnation: 1, Slots: 8})
	tick(report, &dispatcher.JobForwarded{From: "entry-1", Job: job, Deadline: identifier.Never})
	tick(report)
	if starts != 1 {
		t.Errorf("%d starts, want 1", starts)
	}
}
