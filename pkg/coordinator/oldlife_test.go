package coordinator_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Symptom: a task runs twice at the same time, on two backend servers that live.
// Sequence: a backend server announces itself to a host that stands still. Its life ends,
// another one stands at its address. The lead is started anew, hears of the new life alone
// and starts a run there. The host wakes and passes the old announcement on to the lead.
// Cause: the lead takes the later announcement for the later life, counts the new life as
// replaced and its run as over, though it goes on.
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
