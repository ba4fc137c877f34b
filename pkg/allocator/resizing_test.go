package allocator_test

import (
	"testing"

	"github.com/stoathitch/stoathitch/pkg/allocator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// TestShrunkCapacityIsReportedToTheNextLead guards against a start that exceeds a server's capacity
// seconds after it has shrunk: a heartbeat reports a smaller capacity to the lead, the lead is
// lost, and the next lead places by the server's first report until the next heartbeat. This
// happens if only the first report and the last one are broadcast. A capacity that changes with
// each heartbeat is broadcast once.
func TestShrunkCapacityIsReportedToTheNextLead(t *testing.T) {
	lead := &allocator.Allocator{FailureDomain: "leuven", Settings: allocator.DefaultSettings()}
	report := messenger.ServerReport{
		Server: "s1", Service: "desk", Address: "s1", FailureDomain: "leuven", Sequence: 1, Capacity: identifier.Resources{MilliCPU: 32000},
	}
	lead.Tick(0, []allocator.Input{&allocator.LeadTaken{Epoch: 1}, &allocator.ReportArrived{Report: report}})
	var broadcast []identifier.MilliCPU
	for _, cpu := range []identifier.MilliCPU{32000, 16000, 32000, 16000, 24000, 8000, 32000} {
		report.Sequence++
		report.Capacity.MilliCPU = cpu
		for _, output := range lead.Tick(1, []allocator.Input{&allocator.ReportArrived{Report: report}}) {
			if shared, isShared := output.(*allocator.BroadcastReport); isShared {
				broadcast = append(broadcast, shared.Report.Capacity.MilliCPU)
			}
		}
	}
	if len(broadcast) != 2 || broadcast[0] != 16000 || broadcast[1] != 8000 {
		t.Errorf("broadcast capacities %v, want 16000 and 8000", broadcast)
	}
}
