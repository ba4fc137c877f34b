package elector

import (
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// TestStalledHostGivesUpItsCells guards against a stalled host that continues as lead although
// another host has acquired the cell meanwhile. It must give up its cells before it learns of
// that, wait, and then follow the new lead or acquire the cells again.
func TestStalledHostGivesUpItsCells(t *testing.T) {
	for name, other := range map[string]bool{"another host leads meanwhile": true, "no host has acquired the cell": false} {
		t.Run(name, func(t *testing.T) {
			host := &Elector{Self: "a", FailureDomain: "leuven", Cells: 1, SettleTime: 300 * time.Millisecond}
			host.Tick(0, []Input{HostsChanged{FailureDomain: "leuven", Living: []identifier.HostID{"a"}}})
			host.Tick(identifier.Moment(time.Second), nil)
			lead, before := host.Lead("leuven", 0)
			if lead != "a" {
				t.Fatalf("%q leads", lead)
			}
			resumedAt := identifier.Moment(5 * time.Second)
			outputs := host.Tick(resumedAt, []Input{ProcessStalled{}})
			if _, lost := outputs[0].(LeadLost); !lost {
				t.Fatalf("the resumed host does not give up its cell: %+v", outputs)
			}
			if other {
				host.Tick(resumedAt, []Input{
					HostsChanged{FailureDomain: "leuven", Living: []identifier.HostID{"a", "b"}},
					LeadSeen{FailureDomain: "leuven", Host: "b", Epoch: before + 1},
				})
			}
			host.Tick(resumedAt.Add(299*time.Millisecond), nil)
			if lead, _ := host.Lead("leuven", 0); lead == "a" {
				t.Error("it leads before the settle time has passed")
			}
			host.Tick(resumedAt.Add(300*time.Millisecond), nil)
			lead, after := host.Lead("leuven", 0)
			if other && lead != "b" || !other && (lead != "a" || after <= before) {
				t.Errorf("%q leads under epoch %d", lead, after)
			}
		})
	}
}
