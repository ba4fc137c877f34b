package elector_test

import (
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/elector"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// TestCellsBelongToTheLayout guards against a host that takes a cell that its layout does not have,
// because another host announced it, or that waits for the settle time again once it knows its layout.
func TestCellsBelongToTheLayout(t *testing.T) {
	host := &elector.Elector{Self: "a", FailureDomain: "leuven", SettleTime: 300 * time.Millisecond}
	host.Tick(0, []elector.Input{
		elector.HostsChanged{FailureDomain: "leuven", Living: []identifier.HostID{"b"}},
		elector.LeadSeen{FailureDomain: "leuven", Host: "b", Cell: 3, Epoch: 7},
	})
	gone := elector.HostsChanged{FailureDomain: "leuven"}
	if taken := leadsTaken(host.Tick(identifier.Moment(time.Second), []elector.Input{gone})); len(taken) > 0 {
		t.Fatalf("takes %v without a layout", taken)
	}
	taken := leadsTaken(host.Tick(identifier.Moment(time.Second), []elector.Input{elector.LayoutKnown{Cells: 2}}))
	if len(taken) != 2 || taken[0]+taken[1] != 1 {
		t.Fatalf("takes %v, want cells 0 and 1", taken)
	}
}

// TestUnfitHostsLeadNothing guards against a cell without a lead while the first host in order can
// lead nothing, and against one that such a host keeps.
func TestUnfitHostsLeadNothing(t *testing.T) {
	hosts := []identifier.HostID{"a", "b", "c"}
	for _, unfit := range hosts {
		leads := 0
		for _, self := range hosts {
			host := &elector.Elector{Self: self, FailureDomain: "leuven", Cells: 1, SettleTime: 300 * time.Millisecond}
			host.Tick(0, []elector.Input{
				elector.HostsChanged{FailureDomain: "leuven", Living: hosts}, elector.UnfitChanged{Hosts: []identifier.HostID{unfit}},
			})
			taken := len(leadsTaken(host.Tick(identifier.Moment(time.Second), nil)))
			if taken > 0 && self == unfit {
				t.Errorf("%s takes a cell although it is unfit", self)
			}
			if leads += taken; taken == 0 {
				continue
			}
			host.Tick(identifier.Moment(2*time.Second), []elector.Input{elector.UnfitChanged{Hosts: []identifier.HostID{self}}})
			if lead, _ := host.Lead("leuven", 0); lead == self {
				t.Errorf("%s keeps its cell after it became unfit", self)
			}
		}
		if leads != 1 {
			t.Errorf("with %s unfit the cell has %d leads", unfit, leads)
		}
	}
}

func leadsTaken(outputs []elector.Output) []identifier.CellID {
	var taken []identifier.CellID
	for _, output := range outputs {
		if lead, isTaken := output.(elector.LeadTaken); isTaken {
			taken = append(taken, lead.Cell)
		}
	}
	return taken
}
