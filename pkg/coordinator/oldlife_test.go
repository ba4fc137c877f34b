package coordinator_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// A task ran twice at the same time, on two backend servers that lived. A backend server had
// announced itself to a host that stood still. Its life ended, and another one stood at its
// address. The lead was started anew, heard of the new life alone and had a run started there.
// The host woke and passed the old announcement on to the lead, which took the life that it
// heard of last for the newer one:
//
//	11.20025s server-gone called-0-2 reason replaced
//	11.20025s run-over job/0 run 1 reason server gone
//	11.20025s starts job/0 run 5 on called-1-1
//	11.22025s called-0-2 ENDS job/0 run 1 done
func TestAnnouncementOfAnEndedLifeEndsNoRun(t *testing.T) {
	network := newNetwork([]identifier.FailureDomain{"leuven"}, 2, 0, 0)
	world := newCalledWorld(network, nil, 2)
	harsh := newHarshFaults(world, harshKinds{lateCards: true})
	network.advance(2200 * time.Millisecond)
	lead := network.leadOf("leuven")
	other := network.hosts[0]
	if other == lead {
		other = network.hosts[1]
	}
	harsh.freeze(other, 4*time.Second, true)
	old := world.servers["called-0-1"]
	network.tick(other, &coordinator.CardAnnounced{Card: old.card})
	harsh.end(old, false, 100*time.Millisecond, 2)
	harsh.crash(lead)
	harsh.start(lead)
	network.advance(3700 * time.Millisecond)
	harsh.send(lead, "job", 4)
	network.advance(time.Second)
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
