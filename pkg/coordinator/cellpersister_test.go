package coordinator_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Symptom: after all hosts lose power together, callers are refused for up to two heartbeats while
// backend servers are idle.
// Sequence: every host of a failure domain crashes and restarts; the backend servers keep running
// and send reports only with their next heartbeats, which go to a former lead's address first; jobs
// arrive meanwhile.
// Cause: backend servers were known only in the memory of the hosts that had crashed.
func TestKeepersRememberBackendServers(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		network := newNetwork([]identifier.FailureDomain{"leuven"}, 3, 0, 0)
		network.makeKeepers()
		world := newCalledWorld(network, draw, 3)
		network.advance(3 * time.Second)
		for _, server := range world.servers {
			server.unannounced = true
		}
		for _, host := range network.hosts {
			network.crashHost(host)
		}
		network.advance(time.Second)
		for _, host := range network.hosts {
			network.startHost(host)
			network.tick(host, &coordinator.CellsRestored{Cells: host.cells})
		}
		network.advance(2 * time.Second)
		world.submit(network.hosts[0], "job-after-the-loss", 2)
		network.advance(5 * time.Second)
		if !world.started["job-after-the-loss"] {
			draw.Error("no task was started on backend servers that the keepers had stored")
		}
		for _, problem := range world.problems {
			draw.Error(problem)
		}
	})
}
