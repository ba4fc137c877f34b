package forwarder_test

import (
	"testing"

	"github.com/stoathitch/stoathitch/pkg/forwarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// TestCancellationFollowsTheLead guards against a cancelled job that runs to its end after a
// change of the lead (row 13). A job is forwarded to a lead and cancelled; before the lead
// answers, another host acquires the cell, and the job is forwarded to it. The cancellation
// must go to the new lead too, not to the first one only.
func TestCancellationFollowsTheLead(t *testing.T) {
	tested := &forwarder.Forwarder{Self: "entry-0", FailureDomain: "thu-duc", Settings: forwarder.DefaultSettings()}
	lead := func(host identifier.HostID, epoch identifier.Epoch) forwarder.Input {
		return &forwarder.LeadChanged{Notice: messenger.LeadNotice{FailureDomain: "thu-duc", Host: host, Epoch: epoch}}
	}
	job := &messenger.Job{
		Submission: "s-1", Job: "j-1", Caller: "garage-7",
		MayRun: []identifier.FailureDomain{"thu-duc"},
		Tasks:  []messenger.Task{{Task: "t-0"}},
	}
	tested.Tick(0, []forwarder.Input{
		lead("entry-1", 1),
		&forwarder.CallerSubmitted{Waiter: 1, Job: job, Deadline: identifier.Never},
		&forwarder.CallerCancelled{Waiter: 2, Caller: "garage-7", Submission: "s-1"},
	})
	var sent []string
	for _, output := range tested.Tick(1, []forwarder.Input{lead("entry-2", 2)}) {
		switch output := output.(type) {
		case *forwarder.ForwardJob:
			sent = append(sent, "job to "+string(output.To))
		case *forwarder.ForwardCancel:
			sent = append(sent, "cancel to "+string(output.To))
		}
	}
	if len(sent) != 2 || sent[0] != "job to entry-2" || sent[1] != "cancel to entry-2" {
		t.Errorf("the new lead was sent %v", sent)
	}
}
