package allocator_test

import (
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/allocator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// Symptom: a backend server counts as gone that is at work, and its tasks run twice; or a
// task starts on a server of another service. Sequence: a second writer sends a heartbeat
// under the id of a living server, with another address or service. Calls go to that
// address from then on, and whoever lives there denies the id. Cause: what is fixed for a
// whole life was taken over from each heartbeat.
func TestWhatIsFixedForALife(t *testing.T) {
	created := &allocator.Allocator{FailureDomain: "leuven", Settings: allocator.DefaultSettings()}
	tick := func(at time.Duration, inputs ...allocator.Input) []allocator.Output {
		return created.Tick(identifier.Moment(at), inputs)
	}
	needs := identifier.Resources{MilliCPU: 14000}
	card := messenger.ServerCard{
		Server: "s1", Service: "desk", Address: "a", FailureDomain: "leuven", Capacity: needs, Sequence: 1,
	}
	tick(0, &allocator.LeadTaken{Epoch: 7}, &allocator.CardArrived{Card: card})
	tick(2*time.Millisecond, &allocator.HoldReturned{Server: "s1", Sequence: 1})
	for _, other := range []messenger.ServerCard{
		{Server: "s1", Service: "desk", Address: "b", FailureDomain: "leuven", Capacity: needs, Sequence: 2},
		{Server: "s1", Service: "yard", Address: "a", FailureDomain: "leuven", Capacity: needs, Sequence: 3},
		{Server: "s1", Service: "desk", Address: "a", FailureDomain: "geel", Capacity: needs, Sequence: 4},
	} {
		tick(3*time.Millisecond, &allocator.CardArrived{Card: other})
	}
	want := messenger.ServerCard{
		Server: "s1", Service: "desk", Address: "a", FailureDomain: "leuven", Capacity: needs, Sequence: 1,
	}
	cards := created.Cards()
	if len(cards) != 1 || cards[0].Address != want.Address || cards[0].Service != want.Service ||
		cards[0].FailureDomain != want.FailureDomain || cards[0].Sequence != want.Sequence {
		t.Fatalf("the known backend servers are %+v, want %+v", cards, want)
	}
	outputs := tick(4*time.Millisecond, &allocator.RoomRequested{From: "host-b", Request: messenger.RoomRequest{
		Job: "j", Service: "desk", Queue: "quick", Attempts: 2, Stretch: 1.6, Remaining: time.Second,
		Tasks: []messenger.RoomTask{{Needs: needs, Declared: 60 * time.Millisecond}},
	}})
	granted := false
	for _, output := range outputs {
		if grant, isGrant := output.(*allocator.GrantRoom); isGrant {
			granted = grant.Grant.Runs[0].Address == "a"
		}
	}
	if !granted {
		t.Error("a task of the server's service gets no room at its address")
	}
}
