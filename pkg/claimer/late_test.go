package claimer_test

import (
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/claimer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// TestLateGrantIsReported guards against two submissions of a not-repeatable job that both run,
// the second one right after a partition ends. A lead requests a claim, is cut off and gives up;
// its successor requests the same claim and runs the job; then the first grant arrives. If the
// requester released the claim on its own, a resubmission would be granted it.
func TestLateGrantIsReported(t *testing.T) {
	settings := claimer.DefaultRequesterSettings()
	requester := &claimer.Requester{Settings: settings}
	requester.Tick(0, []claimer.Input{
		&claimer.KeepersChanged{Keepers: []identifier.HostID{"a"}},
		&claimer.ClaimRequested{Claim: claimer.Claim{Caller: "garage-7", Job: "j-1", Submission: "s-1"}},
	})
	requester.Tick(identifier.Moment(settings.GiveUp), nil)
	granted := &claimer.Decided{Decisions: []claimer.Decision{{Submission: "s-1", Verdict: claimer.VerdictGranted}}}
	outputs := requester.Tick(identifier.Moment(settings.GiveUp+time.Second), []claimer.Input{granted})
	if len(outputs) != 1 {
		t.Fatalf("%d outputs, want the late grant", len(outputs))
	}
	late, isLateGrants := outputs[0].(*claimer.LateGrants)
	if !isLateGrants || len(late.Submissions) != 1 || late.Submissions[0] != "s-1" {
		t.Errorf("the late grant gives %+v", outputs[0])
	}
	again := requester.Tick(identifier.Moment(settings.GiveUp+2*time.Second), []claimer.Input{granted})
	if len(again) != 0 {
		t.Errorf("the same grant gives %+v again", again)
	}
}
