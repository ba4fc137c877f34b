package planner

import (
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/placer"
)

// DomainStatus holds the capacities and loads of a failure domain's workers. Its Driver reports
// it, and plans are based on it.
type DomainStatus struct {
	FailureDomain identifier.FailureDomain `cbor:"1,keyasint,omitempty"`
	Workers       []placer.WorkerCapacity  `cbor:"2,keyasint,omitempty"`
	// Loads holds the load of each urgency, indexed by urgency.
	Loads []placer.Load `cbor:"3,keyasint,omitempty"`
	// WorkersUnknown reports whether the lead is new and may not know all its workers yet. Capacity
	// that is missing now may then appear soon.
	WorkersUnknown bool `cbor:"4,keyasint,omitempty"`
}

// capacity returns the total capacity of all workers.
func (picture *DomainStatus) capacity() identifier.Resources {
	var sum identifier.Resources
	for _, room := range picture.Workers {
		sum = sum.Add(room.Capacity)
	}
	return sum
}

// fitNow returns how many tasks of a need fit into the free capacity.
func (picture *DomainStatus) fitNow(need identifier.Resources) int {
	count := 0
	for _, room := range picture.Workers {
		count += need.CountIn(room.Free)
	}
	return count
}

// fitEmpty returns how many tasks of a need would fit if nothing ran.
func (picture *DomainStatus) fitEmpty(need identifier.Resources) int {
	count := 0
	for _, room := range picture.Workers {
		count += need.CountIn(room.Capacity)
	}
	return count
}

// workAhead returns the work, in milli-cpu times seconds, that runs before a batch of an
// urgency.
func (picture *DomainStatus) workAhead(urgency placer.Urgency) int64 {
	work := int64(0)
	for level, load := range picture.Loads {
		switch {
		case level >= int(urgency):
			work += load.Work
		case urgency < placer.UrgencyUrgent:
			// Running tasks keep their capacity until they end: on average for half of their work.
			work += load.Work / 2
		}
	}
	return work
}

// preemptible returns the load that a batch of an urgency may preempt.
func (picture *DomainStatus) preemptible(urgency placer.Urgency) placer.Load {
	var sum placer.Load
	if urgency < placer.UrgencyUrgent {
		return sum
	}
	for level := 0; level < min(int(urgency), len(picture.Loads)); level++ {
		sum.Running += picture.Loads[level].Running
		sum.Used = sum.Used.Add(picture.Loads[level].Used)
	}
	return sum
}

// reserve subtracts the need of count tasks from the free capacity.
func (picture *DomainStatus) reserve(need identifier.Resources, count int) {
	for position := range picture.Workers {
		room := &picture.Workers[position]
		taken := min(need.CountIn(room.Free), count)
		room.Free = room.Free.Sub(need.Times(taken))
		count -= taken
		if count == 0 {
			return
		}
	}
}

// byRack splits count tasks over the racks by how many fit in each.
func (picture *DomainStatus) byRack(need identifier.Resources, count int) []RackCount {
	now := picture.fitNow(need) >= count
	var racks []identifier.RackID
	var weights []int
	numbers := make(map[identifier.RackID]int)
	for _, room := range picture.Workers {
		number, known := numbers[room.Rack]
		if !known {
			number = len(racks)
			numbers[room.Rack] = number
			racks = append(racks, room.Rack)
			weights = append(weights, 0)
		}
		if now {
			weights[number] += need.CountIn(room.Free)
		} else {
			weights[number] += need.CountIn(room.Capacity)
		}
	}
	var counts []RackCount
	for number, part := range split(count, weights) {
		if part > 0 {
			counts = append(counts, RackCount{Rack: racks[number], Count: part})
		}
	}
	return counts
}

// split divides count in proportion to weights. The remainder goes to the parts with the
// largest fractions, on ties to the first ones. If all weights are 0, so are all parts.
func split(count int, weights []int) []int {
	parts := make([]int, len(weights))
	remainders := make([]int, len(weights))
	sum := 0
	for _, weight := range weights {
		sum += weight
	}
	if sum == 0 {
		return parts
	}
	left := count
	for position, weight := range weights {
		parts[position] = count * weight / sum
		remainders[position] = count * weight % sum
		left -= parts[position]
	}
	for ; left > 0; left-- {
		largest := 0
		for position, remainder := range remainders {
			if remainder > remainders[largest] {
				largest = position
			}
		}
		parts[largest]++
		remainders[largest] = -1
	}
	return parts
}
