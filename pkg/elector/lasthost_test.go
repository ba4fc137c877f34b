package elector_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/elector"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

func seconds(count float64) identifier.Moment {
	return identifier.Moment(count * float64(time.Second))
}

// gaveUp reports whether a tick gives up a cell.
func gaveUp(host *elector.Elector, at identifier.Moment, inputs ...elector.Input) bool {
	return slices.ContainsFunc(host.Tick(at, inputs), func(output elector.Output) bool {
		_, lost := output.(elector.LeadLost)
		return lost
	})
}

// newLastHost returns a host that leads since 0.5 s; all others have left at 1 s.
func newLastHost(others int) *elector.Elector {
	host := &elector.Elector{
		Self: "entry-0", FailureDomain: "thu-duc", Cells: 1, OtherHosts: others, SettleTime: elector.DefaultSettleTime,
	}
	host.Tick(0, []elector.Input{elector.HostsChanged{FailureDomain: "thu-duc", Living: []identifier.HostID{"entry-0", "entry-1"}}})
	host.Tick(seconds(0.5), nil)
	host.Tick(seconds(1), []elector.Input{elector.HostsChanged{FailureDomain: "thu-duc", Living: []identifier.HostID{"entry-0"}}})
	return host
}

// TestLastHostIsCutOffAfterTheOthersHaveLeft guards against a last host that is cut off, keeps its
// cell and tells "failed" of a job that a host which has started again completes.
func TestLastHostIsCutOffAfterTheOthersHaveLeft(t *testing.T) {
	host := newLastHost(2)
	if lead, _ := host.Lead("thu-duc", 0); lead != "entry-0" {
		t.Fatalf("%q leads", lead)
	}
	host.Tick(seconds(2.5), []elector.Input{elector.ServerResponded{}})
	if gaveUp(host, seconds(4.4)) || host.NextDeadline() != seconds(4.5) {
		t.Errorf("it leads or not, next deadline %v", time.Duration(host.NextDeadline()))
	}
	if !gaveUp(host, seconds(4.5)) || !host.LostContact() {
		t.Error("it keeps its cell without any response")
	}
	host.Tick(seconds(10), []elector.Input{elector.ServerResponded{}})
	if lead, _ := host.Lead("thu-duc", 0); lead != "" || host.LostContact() {
		t.Errorf("%q leads before another lead could announce itself", lead)
	}
	host.Tick(seconds(10.3), nil)
	if lead, epoch := host.Lead("thu-duc", 0); lead != "entry-0" || epoch < 2 {
		t.Errorf("%q leads under epoch %d", lead, epoch)
	}
}

// TestLastHostInContactKeepsItsCell guards against a failure domain without a lead because its last
// host gives up its cell although it is not cut off, or although there is no other host.
func TestLastHostInContactKeepsItsCell(t *testing.T) {
	for name, test := range map[string]struct {
		others int
		inputs []elector.Input
	}{
		"backend servers respond":                   {2, []elector.Input{elector.ServerResponded{}}},
		"a host of another failure domain responds": {2, []elector.Input{elector.HostResponded{}}},
		"it is the only host of its settings":       {0, nil},
		"another host of its failure domain joins": {2, []elector.Input{
			elector.HostsChanged{FailureDomain: "thu-duc", Living: []identifier.HostID{"entry-0", "entry-1"}},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			host := newLastHost(test.others)
			for second := 2; second < 20; second++ {
				if gaveUp(host, seconds(float64(second)), test.inputs...) {
					t.Fatalf("it gave up its cell at %d s", second)
				}
			}
		})
	}
}
