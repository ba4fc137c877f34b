package allocator

import (
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// resize records that a backend server has another capacity. Its runs go on, and those that are
// being stopped count until they are over; nothing is placed beyond the new capacity from now on.
//
// The report of a server that has shrunk is broadcast to the other hosts of the failure domain:
// each of them may lead next, and would place by the capacity in the server's first report until
// its next heartbeat comes. For a server that has grown, its heartbeats reach the next lead soon
// enough. A server that keeps changing costs a message only when it is smaller than the other hosts
// know.
func (allocator *Allocator) resize(server *server) {
	allocator.retryPlacement = true
	shared := server.broadcastCapacity
	if !allocator.Leads() || shared.Min(server.report.Capacity) == shared {
		return
	}
	server.broadcastCapacity = shared.Min(server.report.Capacity)
	broadcast := server.report
	broadcast.Capacity = server.broadcastCapacity
	allocator.emit(&BroadcastReport{Report: broadcast})
	allocator.rejectNeverFitting()
}

// rejectNeverFitting rejects waiting jobs that no server can hold any more. They would wait until
// their deadline, and their callers with them.
func (allocator *Allocator) rejectNeverFitting() {
	for _, job := range append([]*job(nil), allocator.waiting...) {
		if job.granted || job.closed {
			continue
		}
		if detail, never := allocator.neverFits(job); never {
			allocator.reject(job, messenger.ReasonNeverRunnable, detail, 0)
		}
	}
}
