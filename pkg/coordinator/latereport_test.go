package coordinator_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// TestAnnouncementOfAnEndedLifeEndsNoRun guards against a task that runs twice at the same time, on
// two running backend servers. A backend server sent a report to a paused host. Its process ended,
// and another incarnation started at its address. The lead was restarted, received reports of the
// new incarnation only and had a run started there. The paused host resumed and passed the old
// report on to the lead, which considered the incarnation of the last report to be the newer one:
//
//	11.20025s server-gone called-0-2 reason replaced
//	11.20025s run-over job/0 run 1 reason server gone
//	11.20025s starts job/0 run 5 on called-1-1
//	11.22025s called-0-2 ENDS job/0 run 1 done
func TestAnnouncementOfAnEndedLifeEndsNoRun(t *testing.T) {
	network := newNetwork([]identifier.FailureDomain{"leuven"}, 2, 0, 0)
	world := newCalledWorld(network, nil, 2)
	harsh := newHarshFaults(world, harshKinds{lateReports: true})
	network.advance(2200 * time.Millisecond)
	lead := network.leadOf("leuven")
	other := network.hosts[0]
	if other == lead {
		other = network.hosts[1]
	}
	harsh.freeze(other, 4*time.Second, true)
	old := world.servers["called-0-1"]
	network.tick(other, &coordinator.ServerReportAnnounced{Report: old.report})
	harsh.endIncarnation(old, false, 100*time.Millisecond, 2)
	harsh.crash(lead)
	harsh.start(lead)
	network.advance(3700 * time.Millisecond)
	harsh.submit(lead, "job", 4)
	network.advance(time.Second)
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
