package elector_test

import (
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/elector"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// TestStartingHostWaitsForAResponse guards against a task that starts twice after a host has
// restarted (rows 11 and 18). A host starts on a busy machine and its connections are
// established half a second later, while another host leads. The settle time must not end
// before any other host or backend server has responded.
func TestStartingHostWaitsForAResponse(t *testing.T) {
	at := func(milliseconds int) identifier.Moment {
		return identifier.Moment(time.Duration(milliseconds) * time.Millisecond)
	}
	starting := func(others int) *elector.Elector {
		return &elector.Elector{Self: "entry-0", FailureDomain: "thu-duc", Cells: 1, OtherHosts: others, SettleTime: elector.DefaultSettleTime}
	}
	acquired := func(outputs []elector.Output) bool {
		for _, output := range outputs {
			if _, took := output.(elector.LeadTaken); took {
				return true
			}
		}
		return false
	}
	alone := starting(0)
	alone.Tick(at(0), nil)
	if !acquired(alone.Tick(at(300), nil)) {
		t.Error("the only host of a failure domain did not acquire its cell")
	}
	tested := starting(2)
	for _, moment := range []int{0, 300, 2500} {
		if acquired(tested.Tick(at(moment), nil)) {
			t.Errorf("it acquired the cell at %d ms, before any response", moment)
		}
	}
	tested.Tick(at(2600), []elector.Input{elector.ServerResponded{}})
	if acquired(tested.Tick(at(2800), nil)) {
		t.Error("it acquired the cell before a living lead could announce itself")
	}
	if !acquired(tested.Tick(at(2900), nil)) {
		t.Error("it did not acquire the cell after a backend server had responded")
	}
}

// TestJoinedHostSettlesSooner guards against 0.4 s without a lead, and callers rejected in it,
// after all hosts were killed. The hosts start together and know each other within 0.1 s, but
// each waited for a living lead until its settle time was over, because it did not know that
// it had received the whole state of another host.
func TestJoinedHostSettlesSooner(t *testing.T) {
	const (
		settleTime = 400 * time.Millisecond
		joinedTime = 100 * time.Millisecond
	)
	starting := &elector.Elector{Self: "entry-0", FailureDomain: "thu-duc", Cells: 1, SettleTime: settleTime, JoinedTime: joinedTime}
	acquires := func(at time.Duration, inputs ...elector.Input) bool {
		for _, output := range starting.Tick(identifier.Moment(at), inputs) {
			if _, took := output.(elector.LeadTaken); took {
				return true
			}
		}
		return false
	}
	acquires(0)
	if acquires(50*time.Millisecond, elector.Joined{}) || acquires(149*time.Millisecond) {
		t.Error("it acquired the cell before announcements on their way could arrive")
	}
	if !acquires(150 * time.Millisecond) {
		t.Error("it did not acquire the cell after it had received the whole state")
	}
}
