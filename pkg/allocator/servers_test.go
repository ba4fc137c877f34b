package allocator_test

import (
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/allocator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// TestReportFixedForAnIncarnation guards against a working backend server that counts as gone, so
// that its tasks run twice, and against a task that starts on a server of another service. Both
// come about if a second writer sends a heartbeat under the id of a living server, with another
// address or service, and the lead adopts from each heartbeat what is fixed for an incarnation:
// calls go to that address from then on, and whoever is there denies the id.
func TestReportFixedForAnIncarnation(t *testing.T) {
	created := &allocator.Allocator{FailureDomain: "leuven", Settings: allocator.DefaultSettings()}
	tick := func(at time.Duration, inputs ...allocator.Input) []allocator.Output {
		return created.Tick(identifier.Moment(at), inputs)
	}
	needs := identifier.Resources{MilliCPU: 14000}
	report := messenger.ServerReport{
		Server: "s1", Service: "desk", Address: "a", FailureDomain: "leuven", Capacity: needs, Sequence: 1,
	}
	tick(0, &allocator.LeadTaken{Epoch: 7}, &allocator.ReportArrived{Report: report})
	tick(2*time.Millisecond, &allocator.PollReturned{Server: "s1", Sequence: 1})
	for _, other := range []messenger.ServerReport{
		{Server: "s1", Service: "desk", Address: "b", FailureDomain: "leuven", Capacity: needs, Sequence: 2},
		{Server: "s1", Service: "yard", Address: "a", FailureDomain: "leuven", Capacity: needs, Sequence: 3},
		{Server: "s1", Service: "desk", Address: "a", FailureDomain: "geel", Capacity: needs, Sequence: 4},
	} {
		tick(3*time.Millisecond, &allocator.ReportArrived{Report: other})
	}
	want := messenger.ServerReport{
		Server: "s1", Service: "desk", Address: "a", FailureDomain: "leuven", Capacity: needs, Sequence: 1,
	}
	reports := created.Reports()
	if len(reports) != 1 || reports[0].Address != want.Address || reports[0].Service != want.Service ||
		reports[0].FailureDomain != want.FailureDomain || reports[0].Sequence != want.Sequence {
		t.Fatalf("the known backend servers are %+v, want %+v", reports, want)
	}
	outputs := tick(4*time.Millisecond, &allocator.CapacityRequested{From: "host-b", Request: messenger.CapacityRequest{
		Job: "j", Service: "desk", Queue: "quick", Attempts: 2, Stretch: 1.6, Remaining: time.Second,
		Tasks: []messenger.TaskRequest{{Needs: needs, Declared: 60 * time.Millisecond}},
	}})
	granted := false
	for _, output := range outputs {
		if grant, isGrant := output.(*allocator.GrantCapacity); isGrant {
			granted = grant.Grant.Runs[0].Address == "a"
		}
	}
	if !granted {
		t.Error("a task of the server's service gets no capacity at its address")
	}
}
