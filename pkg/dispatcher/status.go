package dispatcher

import (
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// ServerStatus is a backend server as this host sees it. Only the lead of the cell knows what runs
// there.
type ServerStatus struct {
	Server identifier.BackendServerID `json:"backend-server"`
	Rack   identifier.RackID          `json:"rack,omitempty"`
	Cell   messenger.CellNumber       `json:"cell"`
	Slots  identifier.Slots           `json:"slots"`
	// Running counts the tasks that this host started there and that have no answer.
	Running   int  `json:"running"`
	Connected bool `json:"connected"`
	// Silent is set while heartbeats are missing although the stream is open.
	Silent  bool `json:"silent"`
	Leaving bool `json:"leaving"`
}

// WorkStatus counts the jobs and tasks of the cells that this host leads.
type WorkStatus struct {
	// Jobs counts the jobs without an answer.
	Jobs int `json:"jobs"`
	// Queued counts the tasks that wait for a slot.
	Queued int `json:"queued"`
	// Running counts the tasks whose start was sent to a backend server.
	Running int `json:"running"`
	// Unknown counts the tasks whose state can't be determined.
	Unknown int `json:"unknown"`
}

// Servers lists the backend servers that this host knows, in the order of their first announcement.
func (dispatcher *Dispatcher) Servers() []ServerStatus {
	statuses := []ServerStatus{}
	for _, server := range valuesOf(dispatcher.servers) {
		statuses = append(statuses, ServerStatus{
			Server:    server.id,
			Rack:      server.rack,
			Cell:      server.cell,
			Slots:     server.slots,
			Running:   len(server.running),
			Connected: server.connected,
			Silent:    server.silent,
			Leaving:   server.leaving,
		})
	}
	return statuses
}

// Work counts the jobs and tasks of the cells that this host leads.
func (dispatcher *Dispatcher) Work() WorkStatus {
	var status WorkStatus
	for _, job := range valuesOf(dispatcher.jobs) {
		if job.state == jobFinished {
			continue
		}
		status.Jobs++
		for position := range job.tasks {
			status.count(job.tasks[position].state)
		}
	}
	return status
}

func (status *WorkStatus) count(state taskState) {
	switch state {
	case taskQueued:
		status.Queued++
	case taskStarted:
		status.Running++
	case taskUnknown:
		status.Unknown++
	}
}

// valuesOf lists the values of a table, which is nil before the first tick.
func valuesOf[K comparable, V any](table *tabulator.Table[K, V]) []*V {
	if table == nil {
		return nil
	}
	values := make([]*V, 0, table.Len())
	table.Each(func(_ K, value *V) bool {
		values = append(values, value)
		return true
	})
	return values
}
