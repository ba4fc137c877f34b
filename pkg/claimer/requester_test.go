package claimer_test

import (
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/claimer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// TestClaimsGoToANewLeaderAtOnce guards against not-repeatable jobs that wait for half a
// second longer than the election takes. A claim is requested, the leader dies and another
// keeper is elected. The claim must not wait for its resend, which might then go to a
// keeper that isn't the leader.
func TestClaimsGoToANewLeaderAtOnce(t *testing.T) {
	requester := &claimer.Requester{Settings: claimer.DefaultRequesterSettings()}
	requester.Tick(0, []claimer.Input{
		&claimer.KeepersChanged{Keepers: []identifier.HostID{"a", "b", "c"}},
		&claimer.ClaimRequested{Claim: claimer.Claim{Caller: "garage-7", Job: "j-1", Submission: "s-1"}},
	})
	// The resend goes to the next keeper, which knows no leader yet.
	requester.Tick(identifier.Moment(600*time.Millisecond), nil)
	outputs := requester.Tick(identifier.Moment(700*time.Millisecond), []claimer.Input{
		&claimer.KeepersChanged{Keepers: []identifier.HostID{"c", "a", "b"}},
	})
	if len(outputs) != 1 {
		t.Fatalf("%d outputs, want the claim", len(outputs))
	}
	ask, isAsk := outputs[0].(*claimer.Ask)
	if !isAsk || ask.Keeper != "c" || len(ask.Command.Claims) != 1 {
		t.Errorf("the new leader gets %+v", outputs[0])
	}
	if again := requester.Tick(identifier.Moment(710*time.Millisecond), []claimer.Input{
		&claimer.KeepersChanged{Keepers: []identifier.HostID{"c", "b", "a"}},
	}); len(again) != 0 {
		t.Errorf("the same leader gets the claim again: %+v", again)
	}
}
