package coordinator_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// TestWokenLeadGrantsNothing guards against a task that runs twice at the same time. A lead was
// paused for seconds while a caller's job waited for it. The caller left and submitted the job to
// another host, which by then leads and runs it. The former lead resumed, handled the job that had
// waited as if it were its first submission, and granted it capacity at a backend server that the
// new lead had not reached; a moment later it was notified that it no longer leads:
//
//	8.80075s called-0-1 RUNS job-12/1 run 2 epoch 8341296327
//	8.85s leuven-host-1 wakes
//	8.85s leuven-host-1 starts job-12/1 run 2 on called-1-1 epoch 6197262787
//	8.8505s leuven-host-1 lead changed
func TestWokenLeadGrantsNothing(t *testing.T) {
	network := newNetwork([]identifier.FailureDomain{"leuven"}, 3, 0, 0)
	world := newCalledWorld(network, nil, 2)
	harsh := newHarshFaults(world, harshKinds{resends: true})
	network.advance(2200 * time.Millisecond)
	lead := network.leadOf("leuven")
	other := network.hosts[0]
	if other == lead {
		other = network.hosts[1]
	}
	harsh.cutOff(network.hosts[:2], 1, 4*time.Second, true, true, true)
	harsh.freeze(lead, 1500*time.Millisecond, false)
	harsh.submit(lead, "job", 2)
	harsh.resubmit("job", other, 0)
	network.advance(3 * time.Second)
	for _, problem := range world.problems {
		t.Error(problem)
	}
	if !world.started["job"] {
		t.Error("the job did not start")
	}
	if t.Failed() {
		t.Log(strings.Join(world.history, "\n"))
	}
}
