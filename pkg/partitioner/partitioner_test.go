package partitioner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

type hostCapacities = map[identifier.HostID]identifier.HostCapacity

func hostsOf(processors ...identifier.MilliCPU) hostCapacities {
	hosts := make(hostCapacities)
	for index, processor := range processors {
		hosts[identifier.HostID(fmt.Sprint("entry-", index))] = identifier.HostCapacity{MilliCPU: processor}
	}
	return hosts
}

// TestCellsFor guards against a small host that has to lead a whole failure domain, and against a
// layout that is decided without knowing any host's size.
func TestCellsFor(t *testing.T) {
	for _, test := range []struct {
		processors []identifier.MilliCPU
		cells      int
		stated     bool
	}{
		{processors: []identifier.MilliCPU{480, 144, 480}, cells: 2, stated: true},
		{processors: []identifier.MilliCPU{299}, cells: 2, stated: true},
		{processors: []identifier.MilliCPU{300, 0, 640}, cells: 1, stated: true},
		{processors: []identifier.MilliCPU{0, -5}, cells: 1},
		{cells: 1},
	} {
		if cells, stated := CellsFor(hostsOf(test.processors...)); cells != test.cells || stated != test.stated {
			t.Errorf("%v: %d cells, stated %v; want %d, %v", test.processors, cells, stated, test.cells, test.stated)
		}
	}
}

// TestLayoutWaitsForTheHosts guards against a layout that counts only the first hosts of a start, and
// against one that never comes while hosts come and go.
func TestLayoutWaitsForTheHosts(t *testing.T) {
	second := identifier.Moment(time.Second)
	var settling, unsteady Partitioner
	for step := range identifier.Moment(70) {
		now := step * second / 10
		processors := []identifier.MilliCPU{480, 480, 144}[:min(1+step/10, 3)]
		settling.Observe(now, map[identifier.FailureDomain]hostCapacities{"leuven": hostsOf(processors...), "geel": hostsOf(0)})
		unsteady.Observe(now, map[identifier.FailureDomain]hostCapacities{"leuven": hostsOf(480, 480+identifier.MilliCPU(step))})
		// The last host is known from 2 s on.
		if decided, want := settling.Decided(now), now >= 4*second; len(decided) > 0 != want || want && (len(decided) != 1 || decided[0].Cells != 2) {
			t.Fatalf("after %v: %v", time.Duration(now), decided)
		}
		if decided, want := unsteady.Decided(now), now >= 6*second; len(decided) > 0 != want {
			t.Fatalf("with unsteady hosts after %v: %v", time.Duration(now), decided)
		}
	}
}
