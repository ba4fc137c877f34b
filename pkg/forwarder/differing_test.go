package forwarder_test

import (
	"testing"

	"github.com/stoathitch/stoathitch/pkg/forwarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// TestDifferingAnswerIsNotConfirmed guards against two callers that get different answers of
// one submission. A lead is cut off with a job, and the job's deadline passes there, while the
// new lead completes it. The old lead returns and requests that a neighbour hold its own
// answer, though the neighbour has the complete one. If the neighbour confirmed any answer,
// the old lead would conclude that two hosts hold it and send it to its caller.
func TestDifferingAnswerIsNotConfirmed(t *testing.T) {
	job := &messenger.Job{
		Submission: "s-1", Job: "j-1", Caller: "garage-7", Repeatable: true,
		MayRun: []identifier.FailureDomain{"thu-duc"}, Tasks: []messenger.Task{{Task: "t-0"}},
	}
	complete := &messenger.JobAnswer{Submission: "s-1", Outcome: messenger.OutcomeComplete}
	failed := &messenger.JobAnswer{Submission: "s-1", Outcome: messenger.OutcomeFailed}
	replica := messenger.Replica{Record: messenger.CopyRecord{Submission: "s-1"}, Answer: failed}
	for name, test := range map[string]struct {
		input    forwarder.Input
		sentBack int
	}{
		"answer":  {&forwarder.AnswerArrived{From: "entry-2", Answer: failed}, 0},
		"replica": {&forwarder.ReplicasArrived{From: "entry-2", Replicas: []messenger.Replica{replica}}, 1},
	} {
		neighbour := &forwarder.Forwarder{Self: "entry-1", FailureDomain: "thu-duc", Settings: forwarder.DefaultSettings()}
		neighbour.Tick(0, []forwarder.Input{
			&forwarder.HostsChanged{Living: []identifier.HostID{"entry-0", "entry-1", "entry-2"}},
			&forwarder.LeadChanged{Notice: messenger.LeadNotice{FailureDomain: "thu-duc", Host: "entry-0", Epoch: 2}},
			&forwarder.CallerSubmitted{Waiter: 1, Job: job, Deadline: identifier.Never},
			&forwarder.AnswerArrived{From: "entry-0", Answer: complete},
		})
		confirmed, sentBack := 0, 0
		for _, output := range neighbour.Tick(1, []forwarder.Input{test.input}) {
			switch output := output.(type) {
			case *forwarder.ConfirmAnswer:
				confirmed++
			case *forwarder.ConfirmReplicas:
				confirmed += len(output.Receipt.Answered)
			case *forwarder.SendAnswer:
				if output.To == "entry-2" && output.Answer == complete {
					sentBack++
				}
			}
		}
		if confirmed != 0 || sentBack != test.sentBack {
			t.Errorf("%s: confirmed %d times, sent back %d times; want 0 and %d", name, confirmed, sentBack, test.sentBack)
		}
	}
}
