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
func (status *DomainStatus) capacity() identifier.Resources {
	var sum identifier.Resources
	for _, worker := range status.Workers {
		sum = sum.Add(worker.Capacity)
	}
	return sum
}

// fitNow returns how many tasks of a need fit into the free capacity.
func (status *DomainStatus) fitNow(need identifier.Resources) int {
	count := 0
	for _, worker := range status.Workers {
		count += need.CountIn(worker.Free)
	}
	return count
}

// fitEmpty returns how many tasks of a need would fit if nothing ran.
func (status *DomainStatus) fitEmpty(need identifier.Resources) int {
	count := 0
	for _, worker := range status.Workers {
		count += need.CountIn(worker.Capacity)
	}
	return count
}

// workAhead returns the work, in milli-cpu times seconds, that runs before a batch of an
// urgency.
func (status *DomainStatus) workAhead(urgency placer.Urgency) int64 {
	work := int64(0)
	for level, load := range status.Loads {
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
func (status *DomainStatus) preemptible(urgency placer.Urgency) placer.Load {
	var sum placer.Load
	if urgency < placer.UrgencyUrgent {
		return sum
	}
	for level := 0; level < min(int(urgency), len(status.Loads)); level++ {
		sum.Running += status.Loads[level].Running
		sum.Used = sum.Used.Add(status.Loads[level].Used)
	}
	return sum
}

// reserve subtracts the need of count tasks from the free capacity.
func (status *DomainStatus) reserve(need identifier.Resources, count int) {
	for position := range status.Workers {
		worker := &status.Workers[position]
		taken := min(need.CountIn(worker.Free), count)
		worker.Free = worker.Free.Sub(need.Times(taken))
		count -= taken
		if count == 0 {
			return
		}
	}
}

// byRack splits count tasks over the racks by how many fit in each.
func (status *DomainStatus) byRack(need identifier.Resources, count int) []RackCount {
	now := status.fitNow(need) >= count
	var racks []identifier.RackID
	var weights []int
	numbers := make(map[identifier.RackID]int)
	for _, worker := range status.Workers {
		number, known := numbers[worker.Rack]
		if !known {
			number = len(racks)
			numbers[worker.Rack] = number
			racks = append(racks, worker.Rack)
			weights = append(weights, 0)
		}
		if now {
			weights[number] += need.CountIn(worker.Free)
		} else {
			weights[number] += need.CountIn(worker.Capacity)
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
