package placer

import "github.com/stoathitch/stoathitch/pkg/identifier"

// Worker describes a machine that runs tasks.
type Worker struct {
	ID            identifier.WorkerID
	Rack          identifier.RackID
	FailureDomain identifier.FailureDomain
	Capacity      identifier.Resources
}

// Fleet holds the workers, each at a position, with indexes of their free resources and
// capacity. Positions of removed workers are reused.
type Fleet struct {
	workers       []workerState
	positions     map[identifier.WorkerID]int
	freePositions []int
	racks         map[identifier.RackID]int
	free          maxTree
	capacity      maxTree
	total         identifier.Resources
	used          identifier.Resources
}

// workerState is the worker at one position with its tasks; it is zero if the position is
// vacant.
type workerState struct {
	worker     Worker
	present    bool
	usable     bool
	rackNumber int
	used       identifier.Resources
	running    []*running
	// reservation is nil if the worker is not reserved.
	reservation *reservation
}

// Len returns the number of positions, vacant ones included.
func (fleet *Fleet) Len() int { return len(fleet.workers) }

// Racks returns the number of racks ever seen, including those without workers now.
func (fleet *Fleet) Racks() int { return len(fleet.racks) }

// Free returns the free resources of the worker at a position; they are negative where it
// is overcommitted.
func (fleet *Fleet) Free(position int) identifier.Resources {
	workerState := &fleet.workers[position]
	return workerState.worker.Capacity.Sub(workerState.used)
}

// Capacity returns the total resources of the worker at a position.
func (fleet *Fleet) Capacity(position int) identifier.Resources {
	return fleet.workers[position].worker.Capacity
}

// Rack returns the number of the rack of a position.
func (fleet *Fleet) Rack(position int) int { return fleet.workers[position].rackNumber }

// Next returns the first usable position, searching from from and wrapping around at the
// end, that has need free and that accept returns true for, or -1.
func (fleet *Fleet) Next(from int, need identifier.Resources, accept func(position int) bool) int {
	if found := fleet.free.next(from, need, accept); found >= 0 || from == 0 {
		return found
	}
	return fleet.free.next(0, need, accept)
}

// add assigns a worker to a position. A known worker keeps its position and tasks, and gets
// the new capacity.
func (fleet *Fleet) add(worker Worker) {
	fleet.prepare()
	position, known := fleet.positions[worker.ID]
	if !known {
		position = fleet.allocatePosition()
		fleet.positions[worker.ID] = position
	} else {
		fleet.total = fleet.total.Sub(fleet.workers[position].worker.Capacity)
	}
	workerState := &fleet.workers[position]
	workerState.worker = worker
	workerState.present = true
	workerState.usable = true
	workerState.rackNumber = fleet.rackNumber(worker.Rack)
	fleet.total = fleet.total.Add(worker.Capacity)
	fleet.updateIndex(position)
}

// remove vacates a position; the worker's tasks must have been ended before.
func (fleet *Fleet) remove(position int) {
	removed := &fleet.workers[position]
	delete(fleet.positions, removed.worker.ID)
	fleet.total = fleet.total.Sub(removed.worker.Capacity)
	fleet.workers[position] = workerState{}
	fleet.freePositions = append(fleet.freePositions, position)
	fleet.updateIndex(position)
}

// charge adds change, which may be negative, to the resources used at a position.
func (fleet *Fleet) charge(position int, change identifier.Resources) {
	fleet.workers[position].used = fleet.workers[position].used.Add(change)
	fleet.used = fleet.used.Add(change)
	fleet.updateIndex(position)
}

// countTasks returns the number of running tasks of a batch at a position.
func (fleet *Fleet) countTasks(group *group, position int) int {
	count := 0
	for _, running := range fleet.workers[position].running {
		if running.group == group {
			count++
		}
	}
	return count
}

// updateIndex updates the search trees for a position.
func (fleet *Fleet) updateIndex(position int) {
	workerState := &fleet.workers[position]
	if !workerState.present || !workerState.usable {
		fleet.free.set(position, unavailable)
		fleet.capacity.set(position, unavailable)
		return
	}
	fleet.free.set(position, fleet.Free(position))
	fleet.capacity.set(position, workerState.worker.Capacity)
}

func (fleet *Fleet) allocatePosition() int {
	if last := len(fleet.freePositions) - 1; last >= 0 {
		position := fleet.freePositions[last]
		fleet.freePositions = fleet.freePositions[:last]
		return position
	}
	fleet.workers = append(fleet.workers, workerState{})
	return len(fleet.workers) - 1
}

func (fleet *Fleet) rackNumber(rack identifier.RackID) int {
	number, known := fleet.racks[rack]
	if !known {
		number = len(fleet.racks)
		fleet.racks[rack] = number
	}
	return number
}

func (fleet *Fleet) prepare() {
	if fleet.positions == nil {
		fleet.positions = make(map[identifier.WorkerID]int)
		fleet.racks = make(map[identifier.RackID]int)
	}
}
