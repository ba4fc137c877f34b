package allocator_test

import (
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/allocator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// burstAt submits a number of urgent jobs at the same time.
func (load *load) burstAt(delay time.Duration, kind kind, jobs int) {
	for range jobs {
		load.at(0, delay, func() []allocator.Input { return load.submitKind(kind) })
	}
}

// TestUrgentBursts measures what bursts of urgent short jobs find under long tasks of a less urgent
// queue, and under the usual mix, and pins it: it guards against an order of waiting that keeps them
// out. docs/design/urgent-jobs.md has the figures of other orders.
func TestUrgentBursts(t *testing.T) {
	// Sixteen servers of two sizes run 36 tasks of the usual size at once.
	const slots = 36
	for _, test := range []struct {
		name string
		// share is the load of the less urgent work, as a part of the capacity; longOnly has long tasks
		// only.
		share    float64
		longOnly bool
		// burst is how many urgent jobs arrive together, once a second.
		burst          int
		urgent, others float64
	}{
		{"long tasks only, small bursts", 1.3, true, 2, 0.19, 0.69},
		{"long tasks only, large bursts", 1.3, true, 8, 0.07, 0.65},
		{"long tasks at 0.8, small bursts", 0.8, true, 2, 0.45, 0.88},
		{"usual mix at 0.8, small bursts", 0.8, false, 2, 0.64, 0.85},
		{"usual mix at 0.8, large bursts", 0.8, false, 8, 0.38, 0.84},
		{"usual mix at 1.1, small bursts", 1.1, false, 2, 0.45, 0.7},
	} {
		load := newLoad(16)
		urgent := usualKinds[0]
		urgent.queue = "urgent"
		load.urgencies = map[identifier.QueueName]int{"urgent": 0, "quick": 1, "lookup": 2, "large": 3}
		perJob := 0.244*8*0.06 + 0.044*4*0.9 + 0.712*2*0.2
		if test.longOnly {
			load.kinds = usualKinds[1:2]
			perJob = 4 * 0.9
		}
		const length = time.Minute
		for at := 2 * time.Second; at < length; at += time.Second {
			load.burstAt(at, urgent, test.burst)
		}
		load.simulate(test.share*slots/perJob, length)
		inTime := float64(load.inTime["urgent"]) / float64(load.arrived["urgent"])
		others := load.value()
		t.Logf("%s: %.3f of the urgent jobs in time, %.3f late; the others get %.3f", test.name, inTime, float64(load.late["urgent"])/float64(load.arrived["urgent"]), others)
		if inTime < test.urgent || others < test.others {
			t.Errorf("%s: urgent %.3f, want at least %.3f; others %.3f, want at least %.3f", test.name, inTime, test.urgent, others, test.others)
		}
	}
}
