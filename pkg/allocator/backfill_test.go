package allocator_test

import (
	"testing"
	"time"
)

// shiftedKinds are job kinds where long jobs make up more of the work than usual.
var shiftedKinds = []kind{
	{"quick", 0.236, 8, 60 * time.Millisecond},
	{"large", 0.075, 4, 900 * time.Millisecond},
	{"lookup", 0.689, 2, 200 * time.Millisecond},
}

// TestCapacityBehindTasksThatFitNowhere guards against capacity that stays free because the first
// waiting jobs fit nowhere: 58 servers get load of up to a fifth more than their capacity, of tasks
// that fill half of a server or a third, and the sizes vary by a fifth.
func TestCapacityBehindTasksThatFitNowhere(t *testing.T) {
	const perJob = 0.236*8*0.06 + 0.075*4*0.9 + 0.689*2*0.2
	const servers, tasksPerServer = 58, 7.0 / 3
	for _, want := range []struct{ share, worth float64 }{{1.0, 0.895}, {1.2, 0.805}} {
		load := newLoad(servers)
		load.kinds = shiftedKinds
		load.simulate(want.share*servers*tasksPerServer/perJob, 12*time.Second)
		t.Logf("at %.1f of the capacity: %.3f, %d of %d rejected", want.share, load.value(), load.rejected, load.jobs)
		if load.value() < want.worth {
			t.Errorf("at %.1f of the capacity users get %.3f, want at least %.3f", want.share, load.value(), want.worth)
		}
	}
}
