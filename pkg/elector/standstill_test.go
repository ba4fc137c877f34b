package elector

import (
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// A host that stood still went on as the lead that it had been, though another had taken the cell:
// it gives its cells up before it hears of that, listens, and follows or takes them anew.
func TestHostThatStoodStillStartsOver(t *testing.T) {
	for name, other := range map[string]bool{"another leads since": true, "nobody has taken the cell": false} {
		t.Run(name, func(t *testing.T) {
			host := &Elector{Self: "a", FailureDomain: "leuven", Cells: 1, SettleTime: 300 * time.Millisecond}
			host.Tick(0, []Input{HostsChanged{FailureDomain: "leuven", Living: []identifier.HostID{"a"}}})
			host.Tick(identifier.Moment(time.Second), nil)
			lead, before := host.Lead("leuven", 0)
			if lead != "a" {
				t.Fatalf("%q leads", lead)
			}
			woken := identifier.Moment(5 * time.Second)
			outputs := host.Tick(woken, []Input{StoodStill{}})
			if _, lost := outputs[0].(LeadLost); !lost {
				t.Fatalf("the woken host does not give its cell up: %+v", outputs)
			}
			if other {
				host.Tick(woken, []Input{
					HostsChanged{FailureDomain: "leuven", Living: []identifier.HostID{"a", "b"}},
					LeadSeen{FailureDomain: "leuven", Host: "b", Epoch: before + 1},
				})
			}
			host.Tick(woken.Add(299*time.Millisecond), nil)
			if lead, _ := host.Lead("leuven", 0); lead == "a" {
				t.Error("it leads before it has listened")
			}
			host.Tick(woken.Add(300*time.Millisecond), nil)
			lead, after := host.Lead("leuven", 0)
			if other && lead != "b" || !other && (lead != "a" || after <= before) {
				t.Errorf("%q leads under epoch %d", lead, after)
			}
		})
	}
}
