package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// TestResendWhileTheHomeLeadIsSilent guards against a job that is resubmitted to a host which can't
// reach one other host for a moment. If that host leads the job's home, the receiving host requests
// another cell, which knows nothing of the first submission's runs, and each task runs twice.
func TestResendWhileTheHomeLeadIsSilent(t *testing.T) {
	settings := coordinator.DefaultSettings()
	settings.Dispatcher.Cells = 2
	network := newNetworkWith([]identifier.FailureDomain{"leuven"}, 3, settings)
	world := newCalledWorld(network, nil, 6)
	network.advance(3 * time.Second)
	for number := range 24 {
		first := network.hosts[number%3]
		again := network.hosts[(number+1)%3]
		unreached := network.hosts[(number+2*(number/3%2))%3]
		if unreached == again {
			unreached = first
		}
		id := identifier.JobID(fmt.Sprintf("job-%d", number))
		world.resent[id] = true
		world.submit(first, id, 2)
		network.advance(5 * time.Millisecond)
		network.disconnectHosts(again, unreached)
		network.at(300*time.Millisecond, func() { network.connectHosts(again, unreached) })
		world.submit(again, id, 2)
		network.advance(5 * time.Second)
	}
	for _, problem := range world.problems {
		t.Error(problem)
	}
}
