package dispatcher

import (
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// takeEvacuations follows the operators' orders. What runs here goes on to its end.
func (dispatcher *Dispatcher) takeEvacuations(input *EvacuationsKnown) {
	dispatcher.evacuations = input.Evacuated
	dispatcher.servers.Each(func(_ serverKey, server *server) bool {
		server.evacuated = dispatcher.evacuated()
		dispatcher.refreshSlots(server)
		return true
	})
	dispatcher.markCapacityStale()
}

// evacuated tells whether nothing may start on the servers of this failure domain.
func (dispatcher *Dispatcher) evacuated() bool {
	return dispatcher.evacuations.Has(dispatcher.FailureDomain)
}

// clearQueue hands the jobs over that wait in an evacuated failure domain. One that no other
// failure domain takes ends at once, as not run where nothing of it can have started.
func (dispatcher *Dispatcher) clearQueue(cell *cell) {
	for entry := cell.queue.Next(); entry != nil; entry = cell.queue.Next() {
		job := entry.Payload
		if job.mayLeave() && dispatcher.spillTarget(cell, job) != nil {
			cell.queue.Remove(&job.entry)
			dispatcher.place(cell, job)
			continue
		}
		dispatcher.failJob(job, messenger.ReasonNoBackendServer, dispatcher.noServerDetail())
	}
}

// mayLeave tells whether nothing of a job can have started.
func (job *job) mayLeave() bool {
	if job.again {
		return false
	}
	for index := range job.tasks {
		if job.tasks[index].state != taskQueued {
			return false
		}
	}
	return true
}
