package coordinator_test

import (
	"slices"
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

// TestStoredCellsFollowTheirServers guards against a keeper whose stored cell lacks a backend server,
// or keeps one that has left, after it missed updates while it was gone or cut off.
func TestStoredCellsFollowTheirServers(t *testing.T) {
	network := newNetwork([]identifier.FailureDomain{"leuven", "geel"}, 3, 0, 0)
	network.makeKeepers()
	network.advance(3 * time.Second)
	world := newCalledWorld(network, nil, 8)
	network.advance(2 * time.Second)
	network.checkStoredCells(t, world, "after the start")

	gone := network.hosts[4]
	network.crashHost(gone)
	network.advance(2 * time.Second)
	world.leave(0)
	world.startServer(8, 1)
	network.advance(2 * time.Second)
	network.checkStoredCells(t, world, "while a keeper is gone")

	network.startHost(gone)
	network.tick(gone, &coordinator.CellsRestored{Cells: gone.cells})
	network.advance(2 * time.Second)
	world.leave(1)
	world.startServer(9, 1)
	network.advance(2 * time.Second)
	network.checkStoredCells(t, world, "after it came back")

	for _, host := range network.hosts[:5] {
		network.disconnectHosts(host, network.hosts[5])
	}
	world.leave(2)
	world.startServer(10, 1)
	network.advance(500 * time.Millisecond)
	for _, host := range network.hosts[:5] {
		network.connectHosts(host, network.hosts[5])
	}
	network.advance(3 * time.Second)
	network.checkStoredCells(t, world, "after a keeper was cut off")
}

// leave has a server announce its end.
func (world *calledWorld) leave(index int) {
	server := world.servers[world.incarnationOf(index, 1)]
	server.report.Gone = true
	server.announce()
	server.crash()
}

// checkStoredCells checks that the holders of each cell store the reports of just the running
// servers. Only the keepers that store the newest epoch of a cell count as its holders.
func (network *network) checkStoredCells(t *testing.T, world *calledWorld, when string) {
	t.Helper()
	for _, domain := range []identifier.FailureDomain{"leuven", "geel"} {
		var want []string
		for id, server := range world.servers {
			if !server.dead && server.report.FailureDomain == domain {
				want = append(want, string(id))
			}
		}
		slices.Sort(want)
		complete := 0
		for _, host := range network.hosts {
			if host.coordinator != nil && slices.Equal(host.storedServers(domain), want) {
				complete++
			}
		}
		if copies := coordinator.DefaultSettings().CellCopies; complete < copies-1 {
			t.Errorf("%s: %d keepers store the servers of %s, want %d or the lead and %d", when, complete, domain, copies, copies-1)
		}
	}
}

// storedServers lists the backend servers of a failure domain that a keeper stores.
func (host *fakeHost) storedServers(domain identifier.FailureDomain) []string {
	var servers []string
	for _, storedCell := range host.cells {
		if storedCell.Cell.FailureDomain != domain {
			continue
		}
		for index := range storedCell.Reports {
			servers = append(servers, string(storedCell.Reports[index].Server))
		}
	}
	slices.Sort(servers)
	return servers
}
