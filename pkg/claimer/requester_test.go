package claimer_test

import (
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/claimer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// TestClaimsGoToANewLeaderAtOnce. Symptom: not-repeatable jobs wait for half a
// second longer than the election takes. Sequence: a claim is asked for; the
// keeper that leads dies; another leads. Cause guarded against: a claim that waits
// for its resend, and then goes to a keeper that does not lead.
func TestClaimsGoToANewLeaderAtOnce(t *testing.T) {
	tested := &claimer.Requester{Settings: claimer.DefaultRequesterSettings()}
	tested.Tick(0, []claimer.Input{
		&claimer.KeepersChanged{Keepers: []identifier.HostID{"a", "b", "c"}},
		&claimer.Wanted{Claim: claimer.Claim{Caller: "garage-7", Job: "j-1", Submission: "s-1"}},
	})
	// The resend goes to the next keeper, which knows no leader yet.
	tested.Tick(identifier.Moment(600*time.Millisecond), nil)
	outputs := tested.Tick(identifier.Moment(700*time.Millisecond), []claimer.Input{
		&claimer.KeepersChanged{Keepers: []identifier.HostID{"c", "a", "b"}},
	})
	if len(outputs) != 1 {
		t.Fatalf("%d outputs, want the claim", len(outputs))
	}
	ask, asked := outputs[0].(*claimer.Ask)
	if !asked || ask.Keeper != "c" || len(ask.Command.Claims) != 1 {
		t.Errorf("the new leader gets %+v", outputs[0])
	}
	if again := tested.Tick(identifier.Moment(710*time.Millisecond), []claimer.Input{
		&claimer.KeepersChanged{Keepers: []identifier.HostID{"c", "b", "a"}},
	}); len(again) != 0 {
		t.Errorf("the same leader gets the claim again: %+v", again)
	}
}
