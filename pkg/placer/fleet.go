package placer

import "github.com/stoathitch/stoathitch/pkg/identifier"

// Worker is a machine that tasks are placed on.
type Worker struct {
	ID            identifier.WorkerID
	Rack          identifier.RackID
	FailureDomain identifier.FailureDomain
	Capacity      identifier.Resources
}

// Fleet keeps the workers with their room, found by an index. Positions of
// workers that left are used again.
type Fleet struct {
	seats     []seat
	positions map[identifier.WorkerID]int
	vacant    []int
	racks     map[identifier.RackID]int
	free      maxTree
	capacity  maxTree
	total     identifier.Resources
	used      identifier.Resources
}

// seat is the state of one position.
type seat struct {
	worker  Worker
	present bool
	usable  bool
	rack    int
	used    identifier.Resources
	running []*running
	// held is the reservation on this worker, if any.
	held *reservation
}

// Len returns the number of positions, vacant ones included.
func (fleet *Fleet) Len() int { return len(fleet.seats) }

// Racks returns the number of racks ever seen.
func (fleet *Fleet) Racks() int { return len(fleet.racks) }

// Free returns the room at a position.
func (fleet *Fleet) Free(position int) identifier.Resources {
	seat := &fleet.seats[position]
	return seat.worker.Capacity.Sub(seat.used)
}

// Capacity returns what the worker at a position offers in all.
func (fleet *Fleet) Capacity(position int) identifier.Resources {
	return fleet.seats[position].worker.Capacity
}

// Rack returns the number of the rack of a position.
func (fleet *Fleet) Rack(position int) int { return fleet.seats[position].rack }

// Next returns the first usable position from from on, around the end, with room
// for need that accept agrees to, or -1.
func (fleet *Fleet) Next(from int, need identifier.Resources, accept func(position int) bool) int {
	if found := fleet.free.next(from, need, accept); found >= 0 || from == 0 {
		return found
	}
	return fleet.free.next(0, need, accept)
}

// add puts a worker on a position. A worker that is there already keeps its
// tasks and takes the new capacity.
func (fleet *Fleet) add(worker Worker) {
	fleet.prepare()
	position, known := fleet.positions[worker.ID]
	if !known {
		position = fleet.vacancy()
		fleet.positions[worker.ID] = position
	} else {
		fleet.total = fleet.total.Sub(fleet.seats[position].worker.Capacity)
	}
	seat := &fleet.seats[position]
	seat.worker = worker
	seat.present = true
	seat.usable = true
	seat.rack = fleet.rackNumber(worker.Rack)
	fleet.total = fleet.total.Add(worker.Capacity)
	fleet.index(position)
}

// remove takes a worker away; its tasks must have been ended before.
func (fleet *Fleet) remove(position int) {
	gone := &fleet.seats[position]
	delete(fleet.positions, gone.worker.ID)
	fleet.total = fleet.total.Sub(gone.worker.Capacity)
	fleet.seats[position] = seat{}
	fleet.vacant = append(fleet.vacant, position)
	fleet.index(position)
}

// charge changes what is used at a position.
func (fleet *Fleet) charge(position int, change identifier.Resources) {
	fleet.seats[position].used = fleet.seats[position].used.Add(change)
	fleet.used = fleet.used.Add(change)
	fleet.index(position)
}

// countOf returns the tasks of a batch at a position.
func (fleet *Fleet) countOf(group *group, position int) int {
	count := 0
	for _, running := range fleet.seats[position].running {
		if running.group == group {
			count++
		}
	}
	return count
}

// index brings the trees up to date with a position.
func (fleet *Fleet) index(position int) {
	seat := &fleet.seats[position]
	if !seat.present || !seat.usable {
		fleet.free.set(position, nothing)
		fleet.capacity.set(position, nothing)
		return
	}
	fleet.free.set(position, fleet.Free(position))
	fleet.capacity.set(position, seat.worker.Capacity)
}

func (fleet *Fleet) vacancy() int {
	if last := len(fleet.vacant) - 1; last >= 0 {
		position := fleet.vacant[last]
		fleet.vacant = fleet.vacant[:last]
		return position
	}
	fleet.seats = append(fleet.seats, seat{})
	return len(fleet.seats) - 1
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
