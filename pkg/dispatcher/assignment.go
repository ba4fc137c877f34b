package dispatcher

import (
	"slices"
	"strings"

	"github.com/stoathitch/stoathitch/pkg/explainer"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// enqueue adds all tasks of a fresh job to its cell's queue.
func (dispatcher *Dispatcher) enqueue(cell *cell, job *job) {
	job.state = jobRunning
	dispatcher.pushTasks(cell, job, len(job.tasks))
}

// joinQueue adds the queued tasks of a resumed job to its cell's queue.
func (dispatcher *Dispatcher) joinQueue(cell *cell, job *job) {
	queued := 0
	for index := range job.tasks {
		if job.tasks[index].state == taskQueued {
			queued++
		}
	}
	dispatcher.pushTasks(cell, job, queued)
}

func (dispatcher *Dispatcher) pushTasks(cell *cell, job *job, tasks int) {
	team := job.spec.Team
	cell.queue.Push(dispatcher.now, &job.entry, tasks, cell.limiter.Weight(dispatcher.now, team))
	cell.queue.SetPaused(team, !cell.limiter.MayStart(dispatcher.now, team))
}

// firstQueued returns the job's first task that waits for a slot, or nil.
func (job *job) firstQueued() *task {
	for job.nextQueued < len(job.tasks) {
		task := job.taskAt(job.nextQueued)
		if task.state == taskQueued {
			return task
		}
		job.nextQueued++
	}
	return nil
}

// assign starts queued tasks while slots are free.
func (dispatcher *Dispatcher) assign() {
	dispatcher.cells.Each(func(_ messenger.CellNumber, cell *cell) bool {
		if cell.ready && !cell.deposed {
			dispatcher.assignCell(cell)
		}
		return true
	})
}

func (dispatcher *Dispatcher) assignCell(cell *cell) {
	if dispatcher.evacuated() {
		dispatcher.evacuateQueue(cell)
		return
	}
	if cell.queue.Tasks() > 0 && dispatcher.noServerForLong(cell) {
		dispatcher.refuseQueued(cell)
	}
	for entry := cell.queue.Next(); entry != nil; entry = cell.queue.Next() {
		server := cell.free.pick()
		if server == nil {
			return
		}
		dispatcher.start(cell, server, entry.Payload.firstQueued())
	}
}

func (dispatcher *Dispatcher) start(cell *cell, server *server, task *task) {
	task.state = taskStarted
	task.server = server.id
	dispatcher.recordDigest(task.job, messenger.DigestStarted)
	dispatcher.recordStart(cell, task)
	dispatcher.recordTaskStep(explainer.KindStarted, task, "")
	key := task.key()
	server.running[key] = task
	cell.free.update(server)
	batch := dispatcher.outputs.toServer(cell.number, server.id)
	batch.Starts = append(batch.Starts, Start{
		TaskKey:  key,
		Job:      task.job.spec.Job,
		Cell:     cell.number,
		Epoch:    cell.epoch,
		Payload:  task.spec.Payload,
		Deadline: task.job.deadline,
	})
}

// requeue puts a task back into the queue whose start provably did not happen.
func (dispatcher *Dispatcher) requeue(cell *cell, server *server, task *task) {
	dispatcher.undoStart(cell, server, task)
	if task.job.state != jobFinished {
		dispatcher.retryStart(cell, task)
	}
}

// undoStart records that a start provably did not happen.
func (dispatcher *Dispatcher) undoStart(cell *cell, server *server, task *task) {
	delete(server.running, task.key())
	cell.free.update(server)
	dispatcher.removeInFlight(task)
	if task.job.state != jobFinished {
		task.state = taskQueued
		task.server = ""
	}
}

// removeFromQueue removes a queued task that turned out to be running already.
func (dispatcher *Dispatcher) removeFromQueue(cell *cell, job *job, task *task) {
	if task.state == taskQueued {
		cell.queue.Withdraw(&job.entry, 1)
	}
}

func sortTasks(tasks []*task) {
	slices.SortFunc(tasks, func(first, second *task) int {
		if order := strings.Compare(string(first.job.spec.Submission), string(second.job.spec.Submission)); order != 0 {
			return order
		}
		return strings.Compare(string(first.spec.Task), string(second.spec.Task))
	})
}
