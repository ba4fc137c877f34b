package coordinator_test

import (
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// TestSpeedsComeFromTheLead guards against a speed that a backend server states itself, or that a host
// sends which does not lead its cell, and against the loss of the lead's speeds with the lead: the next
// one has them, and the keepers.
func TestSpeedsComeFromTheLead(t *testing.T) {
	network := newNetwork([]identifier.FailureDomain{"leuven"}, 4, 0, 0)
	network.makeKeepers()
	world := newCalledWorld(network, nil, 3)
	network.advance(2 * time.Second)
	lead := network.leadOf("leuven")
	told := map[identifier.ServerIncarnation]identifier.Speed{world.incarnationOf(0, 1): 1500, world.incarnationOf(1, 1): 500}
	for _, follower := range network.hosts {
		if follower == lead {
			continue
		}
		stating := world.servers[world.incarnationOf(2, 1)].report
		stating.Speed = 2000
		network.tick(follower, &coordinator.ServerReportAnnounced{Report: stating})
		for _, sender := range network.hosts {
			index := 1
			if sender == lead {
				index = 0
			}
			if sender == follower {
				continue
			}
			report := world.servers[world.incarnationOf(index, 1)].report
			report.Speed = told[report.Server]
			message := coordinator.PeerMessage{ServerReports: []messenger.ServerReport{report}}
			network.tick(follower, &coordinator.PeerBatchArrived{From: sender.id, Batch: coordinator.PeerBatch{Messages: []coordinator.PeerMessage{message}}})
		}
	}
	network.crashHost(lead)
	network.advance(4 * time.Second)
	newest := identifier.Epoch(0)
	for _, host := range network.hosts {
		for _, cell := range host.cells {
			newest = max(newest, cell.Epoch)
		}
	}
	checked := 0
	for _, host := range network.hosts {
		for _, cell := range host.cells {
			for _, report := range cell.Reports {
				if cell.Epoch != newest || host == lead {
					continue
				}
				checked++
				want := identifier.Speed(0)
				if report.Server == world.incarnationOf(0, 1) {
					want = 1500
				}
				if report.Speed != want {
					t.Errorf("%s stores the speed %d of %s, want %d", host.id, report.Speed, report.Server, want)
				}
			}
		}
	}
	if checked == 0 {
		t.Error("no keeper stores a report")
	}
}
