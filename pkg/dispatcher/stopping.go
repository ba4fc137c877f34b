package dispatcher

import (
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// stop asks a backend server to stop a task.
func (dispatcher *Dispatcher) stop(server identifier.BackendServerID, key TaskKey) {
	batch := dispatcher.outputs.toServer(messenger.CellOf(key.Submission, dispatcher.Settings.Cells), server)
	batch.Cancels = append(batch.Cancels, key)
}

// stopOrphans takes over the tasks of a job that ended during a takeover: backend
// servers have reported them, and they were not matched with their job yet. Those
// that run are stopped.
func (dispatcher *Dispatcher) stopOrphans(cell *cell, job *job) {
	if cell == nil {
		return
	}
	found := cell.orphans[job.spec.Submission]
	if found == nil {
		return
	}
	delete(cell.orphans, job.spec.Submission)
	for index := range job.tasks {
		task := &job.tasks[index]
		if answer, answered := found.answers[task.spec.Task]; answered {
			task.state = taskAnswered
			task.server = answer.server
			continue
		}
		running := found.running[task.spec.Task]
		if server := dispatcher.servers.Get(serverKey{cell: cell.number, server: running.server}); server != nil {
			dispatcher.adoptRunning(cell, server, task.key())
		}
	}
}
