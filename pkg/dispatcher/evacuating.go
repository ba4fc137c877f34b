package dispatcher

import (
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// handleEvacuations applies the operators' evacuations. Tasks that are running here continue.
func (dispatcher *Dispatcher) handleEvacuations(input *EvacuationsChanged) {
	dispatcher.evacuations = input.Evacuated
	dispatcher.servers.Each(func(_ serverKey, server *server) bool {
		server.evacuated = dispatcher.evacuated()
		dispatcher.refreshSlots(server)
		return true
	})
	dispatcher.markCapacityStale()
}

// evacuated reports whether nothing may start on the servers of this failure domain.
func (dispatcher *Dispatcher) evacuated() bool {
	return dispatcher.evacuations.Has(dispatcher.FailureDomain)
}

// evacuateQueue spills the jobs that wait in an evacuated failure domain. A job that no other
// failure domain accepts ends at once, as not run if none of its tasks can have started.
func (dispatcher *Dispatcher) evacuateQueue(cell *cell) {
	for entry := cell.queue.Next(); entry != nil; entry = cell.queue.Next() {
		job := entry.Payload
		if job.maySpill() && dispatcher.spillTarget(cell, job) != nil {
			cell.queue.Remove(&job.entry)
			dispatcher.enqueueOrSpill(cell, job)
			continue
		}
		dispatcher.failJob(job, messenger.ReasonNoBackendServer, dispatcher.noServerDetail())
	}
}

// maySpill reports whether no task of a job can have started.
func (job *job) maySpill() bool {
	if job.mayHaveEarlierStarts {
		return false
	}
	for index := range job.tasks {
		if job.tasks[index].state != taskQueued {
			return false
		}
	}
	return true
}
