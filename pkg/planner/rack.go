package planner

import (
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// RackStatusChanged reports that at least half of a rack's workers are lost or in quarantine,
// or that this is over. It points to a common cause, such as a switch.
type RackStatusChanged struct {
	Rack identifier.RackID
	// Unavailable is the number of workers that are lost or in quarantine, out of Workers.
	Unavailable int
	Workers     int
	// Recovered reports whether fewer than half are unavailable again.
	Recovered bool
}

func (RackStatusChanged) isOutput() {}

// minRackWorkers is the minimum number of workers of a rack that is reported.
const minRackWorkers = 3

// rackCount counts the workers of a rack.
type rackCount struct {
	rack        identifier.RackID
	unavailable int
	workers     int
}

// reportRacks emits the racks whose status has changed.
func (driver *Driver[P]) reportRacks() {
	for _, count := range driver.countRacks() {
		bad := count.workers >= minRackWorkers && 2*count.unavailable >= count.workers
		if bad == driver.badRacks[count.rack] {
			continue
		}
		if driver.badRacks == nil {
			driver.badRacks = make(map[identifier.RackID]bool)
		}
		driver.badRacks[count.rack] = bad
		driver.emit(RackStatusChanged{Rack: count.rack, Unavailable: count.unavailable, Workers: count.workers, Recovered: !bad})
	}
}

// countRacks counts the workers by rack, in the order in which the racks first appear.
func (driver *Driver[P]) countRacks() []rackCount {
	var counts []rackCount
	positions := make(map[identifier.RackID]int)
	driver.workers.Each(func(_ identifier.WorkerID, worker *driverWorker) bool {
		position, known := positions[worker.worker.Rack]
		if !known {
			position = len(counts)
			positions[worker.worker.Rack] = position
			counts = append(counts, rackCount{rack: worker.worker.Rack})
		}
		counts[position].workers++
		if worker.lost || worker.quarantinedUntil != 0 {
			counts[position].unavailable++
		}
		return true
	})
	return counts
}
