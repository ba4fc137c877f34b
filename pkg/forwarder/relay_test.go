package forwarder_test

import (
	"slices"
	"testing"

	"github.com/stoathitch/stoathitch/pkg/forwarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// TestEveryRelayedSubmissionIsPassedOn guards against a caller that gets the answer of a job
// seconds after it was ready (row 4). A job comes from a host of another failure domain;
// before a neighbour holds its copy, a resend comes from a second host, and again from the
// first. If the lead recorded only the last sender, the others would wait until they resent
// the job.
func TestEveryRelayedSubmissionIsPassedOn(t *testing.T) {
	tested := &forwarder.Forwarder{Self: "entry-0", FailureDomain: "thu-duc", Settings: forwarder.DefaultSettings()}
	job := &messenger.Job{
		Submission: "s-1", Job: "j-1", Caller: "garage-7", Repeatable: true,
		MayRun: []identifier.FailureDomain{"thu-duc"}, Tasks: []messenger.Task{{Task: "t-0"}},
	}
	relayed := func(from identifier.HostID) forwarder.Input {
		return &forwarder.JobRelayed{From: from, Forward: &messenger.Forward{Job: job}, Deadline: identifier.Never}
	}
	outputs := tested.Tick(0, []forwarder.Input{
		&forwarder.HostsChanged{Living: []identifier.HostID{"entry-0", "entry-1"}},
		&forwarder.LeadChanged{Notice: messenger.LeadNotice{FailureDomain: "thu-duc", Host: "entry-0", Epoch: 1}},
		relayed("far-0"), relayed("far-1"), relayed("far-0"),
	})
	requested := 0
	for _, output := range outputs {
		if _, wanted := output.(*forwarder.StoreCopies); wanted {
			requested++
		}
	}
	if requested != 1 {
		t.Errorf("the copy was requested from neighbours %d times", requested)
	}
	var passed []identifier.HostID
	for _, output := range tested.Tick(1, []forwarder.Input{
		&forwarder.CopiesHeld{From: "entry-1", Submissions: []identifier.SubmissionID{"s-1"}},
	}) {
		if pass, isPass := output.(*forwarder.PassJob); isPass {
			passed = append(passed, pass.From)
		}
	}
	if !slices.Equal(passed, []identifier.HostID{"far-0", "far-1"}) {
		t.Errorf("the submissions from %v were passed on", passed)
	}
}
