package dispatcher_test

import (
	"testing"

	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/dispatcher/fake"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// TestRetakeOwnCell guards against a lead whose process panics in its queue, and against queued jobs
// that never start. A lead with a queued job learns of a higher epoch and takes its cell again under
// a still higher one, and the caller cancels the job. This fails if the new epoch begins with an
// empty queue while the job still refers to the old one.
func TestRetakeOwnCell(t *testing.T) {
	job := newJob("s-1", "a", "counter", equalRuns(1, 0), nil)
	forward := &dispatcher.JobForwarded{From: "entry-0", Job: job, Deadline: identifier.Never}
	again := &dispatcher.JobForwarded{From: "entry-0", Job: job, Deadline: identifier.Never, MayHaveEarlierStarts: true}
	lead := &dispatcher.Dispatcher{Self: "entry-0", FailureDomain: fake.Domain, Settings: dispatcher.DefaultSettings()}
	take := func(epoch identifier.Epoch, forwarded *dispatcher.JobForwarded) {
		lead.Tick(0, []dispatcher.Input{
			&dispatcher.LeadTaken{Epoch: epoch, Hosts: []identifier.HostID{"entry-0"}},
			&dispatcher.TakeoverReplied{From: "entry-0", Reply: messenger.TakeoverReply{Epoch: epoch}},
			forwarded,
		})
	}
	take(1, forward)
	take(3, again)
	answers := 0
	cancel := &dispatcher.CancelArrived{From: "entry-0", Cancel: messenger.Cancel{Submission: "s-1", Caller: job.Caller}}
	for _, output := range lead.Tick(0, []dispatcher.Input{cancel}) {
		if _, answered := output.(*dispatcher.JobAnswered); answered {
			answers++
		}
	}
	if answers != 1 {
		t.Errorf("%d answers, want 1", answers)
	}
}
