package coordinator_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// A task ran twice at the same time. A lead stood still for seconds while a caller's job waited for
// it. The caller left and sent the job to another host, which leads by then and runs it. The former
// lead woke, took the job that had waited for the first one of its day, and granted it room at a
// backend server that the new lead had not reached; a moment later it heard that it leads no more:
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
	harsh.send(lead, "job", 2)
	harsh.resend("job", other, 0)
	network.advance(3 * time.Second)
	for _, problem := range world.problems {
		t.Error(problem)
	}
	if !world.begun["job"] {
		t.Error("the job did not start")
	}
	if t.Failed() {
		t.Log(strings.Join(world.history, "\n"))
	}
}
