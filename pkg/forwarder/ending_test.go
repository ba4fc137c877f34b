package forwarder_test

import (
	"testing"

	"github.com/stoathitch/stoathitch/pkg/forwarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// TestShutdownAnswersWaitingCallers guards against a caller's connection that closes without
// an answer while its host is shut down as planned. A job runs for longer than a drain may
// last, and the host stops. Callers that still wait must be sent to another host, with an
// answer that claims nothing about the job, which continues.
func TestShutdownAnswersWaitingCallers(t *testing.T) {
	tested := &forwarder.Forwarder{Self: "entry-0", FailureDomain: "thu-duc", Settings: forwarder.DefaultSettings()}
	tested.Tick(0, []forwarder.Input{
		&forwarder.HostsChanged{Living: []identifier.HostID{"entry-0", "entry-1"}},
		&forwarder.LeadChanged{Notice: messenger.LeadNotice{FailureDomain: "thu-duc", Host: "entry-1", Epoch: 1}},
		submitted("s-long", 1), submitted("s-short", 2),
	})
	complete := &messenger.JobAnswer{Submission: "s-short", Outcome: messenger.OutcomeComplete}
	tested.Tick(1, []forwarder.Input{&forwarder.AnswerArrived{From: "entry-1", Answer: complete}})
	var answers []*forwarder.AnswerCaller
	for _, output := range tested.Tick(2, []forwarder.Input{&forwarder.ShutdownStarted{}}) {
		if answer, isAnswer := output.(*forwarder.AnswerCaller); isAnswer {
			answers = append(answers, answer)
		}
	}
	if len(answers) != 1 || answers[0].Waiter != 1 {
		t.Fatalf("answered %+v, want only the waiter of s-long", answers)
	}
	answer := answers[0].Answer
	if answer.Reason != messenger.ReasonShuttingDown || !answer.ClaimsNothing() || answer.RetryAfter <= 0 {
		t.Errorf("answered %+v", answer)
	}
	if tested.Unanswered() != 0 {
		t.Errorf("%d submissions are left without an answer", tested.Unanswered())
	}
}

// TestShutdownWaitsForCancellations guards against a planned shutdown that leaves a caller
// without the answer to its cancellation.
func TestShutdownWaitsForCancellations(t *testing.T) {
	tested := &forwarder.Forwarder{Self: "entry-0", FailureDomain: "thu-duc", Settings: forwarder.DefaultSettings()}
	tested.Tick(0, []forwarder.Input{
		&forwarder.HostsChanged{Living: []identifier.HostID{"entry-0", "entry-1"}},
		&forwarder.LeadChanged{Notice: messenger.LeadNotice{FailureDomain: "thu-duc", Host: "entry-1", Epoch: 1}},
		&forwarder.CallerCancelled{Waiter: 1, Caller: "garage-7", Submission: "s-elsewhere"},
	})
	if tested.WaitingLookups() != 1 {
		t.Errorf("%d requests are without an answer, want the cancellation", tested.WaitingLookups())
	}
	answered := 0
	for _, output := range tested.Tick(1, []forwarder.Input{&forwarder.ShutdownStarted{}}) {
		if answer, isAnswer := output.(*forwarder.AnswerCaller); isAnswer && answer.Waiter == 1 && answer.Answer.ClaimsNothing() {
			answered++
		}
	}
	if answered != 1 || tested.WaitingLookups() != 0 {
		t.Errorf("answered %d times, %d left without an answer", answered, tested.WaitingLookups())
	}
}

func submitted(submission identifier.SubmissionID, waiter forwarder.WaiterID) *forwarder.CallerSubmitted {
	job := &messenger.Job{
		Submission: submission, Job: identifier.JobID(submission), Caller: "garage-7", Repeatable: true,
		MayRun: []identifier.FailureDomain{"thu-duc"}, Tasks: []messenger.Task{{Task: "t-0"}},
	}
	return &forwarder.CallerSubmitted{Waiter: waiter, Job: job, Deadline: identifier.Never}
}
