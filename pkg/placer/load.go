package placer

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// WorkerCapacity is the capacity of one worker and what is free of it.
type WorkerCapacity struct {
	Rack     identifier.RackID    `cbor:"1,keyasint,omitempty"`
	Capacity identifier.Resources `cbor:"2,keyasint,omitempty"`
	Free     identifier.Resources `cbor:"3,keyasint,omitempty"`
}

// Load is the running and waiting work of one urgency.
type Load struct {
	// Running is the number of running tasks, and Used the resources they are charged.
	Running int                  `cbor:"1,keyasint,omitempty"`
	Used    identifier.Resources `cbor:"2,keyasint,omitempty"`
	// Work is the estimated processor time of waiting tasks and the rest of running
	// ones, in milli-cpu seconds.
	Work int64 `cbor:"3,keyasint,omitempty"`
}

// WorkerCapacities returns the capacity of each worker. A worker that accepts no new tasks has
// nothing free.
func (placer *Placer[P]) WorkerCapacities() []WorkerCapacity {
	var capacities []WorkerCapacity
	for position := range placer.fleet.workers {
		workerState := &placer.fleet.workers[position]
		if !workerState.present {
			continue
		}
		worker := WorkerCapacity{Rack: workerState.worker.Rack, Capacity: workerState.worker.Capacity}
		if workerState.usable {
			worker.Free = placer.fleet.Free(position)
		}
		capacities = append(capacities, worker)
	}
	return capacities
}

// Loads returns the load of each urgency at now.
func (placer *Placer[P]) Loads(now identifier.Moment) [urgencies]Load {
	placer.prepare()
	var loads [urgencies]Load
	placer.running.Each(func(_ identifier.TaskID, running *running) bool {
		load := &loads[running.group.Urgency]
		load.Running++
		load.Used = load.Used.Add(running.charge)
		load.Work += work(running.charge, max(running.expectedEnd.Sub(now), 0))
		return true
	})
	placer.groups.Each(func(_ GroupID, group *group) bool {
		loads[group.Urgency].Work += int64(len(group.waiting)) * work(group.Need, group.RunTime)
		return true
	})
	return loads
}

func work(need identifier.Resources, runTime time.Duration) int64 {
	return int64(need.MilliCPU) * int64(runTime/time.Millisecond) / permille
}
