package planner

import (
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// RackNoticed says that half of a rack's workers or more are lost or in quarantine,
// or that this is over: one cause, such as a switch, rather than many.
type RackNoticed struct {
	Rack identifier.RackID
	// Out of Workers are lost or in quarantine.
	Out     int
	Workers int
	// Over tells that fewer than half are out again.
	Over bool
}

func (RackNoticed) isOutput() {}

// leastRack is the number of workers from which a rack is noticed as one.
const leastRack = 3

// rackCount counts the workers of a rack.
type rackCount struct {
	rack    identifier.RackID
	out     int
	workers int
}

// noticeRacks compares the racks with what was noticed before.
func (driver *Driver[P]) noticeRacks() {
	for _, count := range driver.countRacks() {
		bad := count.workers >= leastRack && 2*count.out >= count.workers
		if bad == driver.badRacks[count.rack] {
			continue
		}
		if driver.badRacks == nil {
			driver.badRacks = make(map[identifier.RackID]bool)
		}
		driver.badRacks[count.rack] = bad
		driver.emit(RackNoticed{Rack: count.rack, Out: count.out, Workers: count.workers, Over: !bad})
	}
}

// countRacks counts by rack, in the order in which the racks were first seen.
func (driver *Driver[P]) countRacks() []rackCount {
	var counts []rackCount
	positions := make(map[identifier.RackID]int)
	driver.workers.Each(func(_ identifier.WorkerID, worker *driveWorker) bool {
		position, known := positions[worker.worker.Rack]
		if !known {
			position = len(counts)
			positions[worker.worker.Rack] = position
			counts = append(counts, rackCount{rack: worker.worker.Rack})
		}
		counts[position].workers++
		if worker.lost || worker.quarantinedUntil != 0 {
			counts[position].out++
		}
		return true
	})
	return counts
}
