package elector_test

import (
	"testing"

	"github.com/stoathitch/stoathitch/pkg/elector"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// TestCellOutsideTheLayoutIsNotTaken guards against a host that acquires a cell which exists only in
// the layout of a lost host: it has no allocator for the cell, and its process ended.
func TestCellOutsideTheLayoutIsNotTaken(t *testing.T) {
	host := &elector.Elector{
		Self: "entry-0", FailureDomain: "thu-duc", Cells: 1, SettleTime: elector.DefaultSettleTime,
	}
	host.Tick(0, []elector.Input{
		elector.HostsChanged{FailureDomain: "thu-duc", Living: []identifier.HostID{"entry-0", "entry-1"}},
		elector.LeadSeen{FailureDomain: "thu-duc", Host: "entry-1", Cell: 1, Epoch: 1},
	})
	host.Tick(seconds(0.5), nil)
	outputs := host.Tick(seconds(1), []elector.Input{
		elector.HostsChanged{FailureDomain: "thu-duc", Living: []identifier.HostID{"entry-0"}},
	})
	for _, output := range outputs {
		if taken, isTaken := output.(elector.LeadTaken); isTaken && taken.Cell == 1 {
			t.Error("it leads a cell that its layout doesn't have")
		}
	}
	if lead, _ := host.Lead("thu-duc", 0); lead != "entry-0" {
		t.Errorf("%q leads the only cell", lead)
	}
}
