package forwarder_test

import (
	"testing"

	"github.com/stoathitch/stoathitch/pkg/forwarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// TestOtherAnswerIsNotConfirmed. Symptom: two callers hear different answers of one
// submission. Sequence: a lead is cut off with a job, and its deadline passes there;
// the new lead completes the job; the old one comes back and has a neighbour, which
// has the complete answer, hold its own. Cause: the neighbour confirmed whatever
// answer came, and the old lead told its caller what two hosts seemed to hold.
func TestOtherAnswerIsNotConfirmed(t *testing.T) {
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
			&forwarder.LeadKnown{Notice: messenger.LeadNotice{FailureDomain: "thu-duc", Host: "entry-0", Epoch: 2}},
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
