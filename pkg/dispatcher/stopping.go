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

// stopUnmatched handles the unmatched tasks of a job that ended during a takeover: backend servers
// have reported them before they were matched with their job. Those that run are stopped.
func (dispatcher *Dispatcher) stopUnmatched(cell *cell, job *job) {
	if cell == nil {
		return
	}
	unmatched := cell.unmatched[job.spec.Submission]
	if unmatched == nil {
		return
	}
	delete(cell.unmatched, job.spec.Submission)
	for index := range job.tasks {
		task := &job.tasks[index]
		if answer, answered := unmatched.answers[task.spec.Task]; answered {
			task.state = taskAnswered
			task.server = answer.server
			continue
		}
		running := unmatched.running[task.spec.Task]
		if server := dispatcher.servers.Get(serverKey{cell: cell.number, server: running.server}); server != nil {
			dispatcher.adoptRunning(cell, server, task.key())
		}
	}
}
