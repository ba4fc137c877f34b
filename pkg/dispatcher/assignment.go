package dispatcher

import (
	"slices"
	"strings"

	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// enqueue puts all tasks of a fresh job into its cell's queue.
func (dispatcher *Dispatcher) enqueue(cell *cell, job *job) {
	job.state = jobRunning
	cell.queuedTasks += len(job.tasks)
	dispatcher.joinQueue(cell, job)
}

func (dispatcher *Dispatcher) joinQueue(cell *cell, job *job) {
	if job.firstQueued() == nil || slices.Contains(cell.queue, job) {
		return
	}
	cell.queue = append(cell.queue, job)
}

// firstQueued returns the job's first task that waits for a slot, or nil.
func (job *job) firstQueued() *task {
	for job.nextQueued < len(job.tasks) {
		task := &job.tasks[job.nextQueued]
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
	for len(cell.queue) > 0 {
		job := cell.queue[0]
		task := job.firstQueued()
		if task == nil {
			cell.queue = cell.queue[1:]
			continue
		}
		server := cell.free.most()
		if server == nil {
			return
		}
		dispatcher.start(cell, server, task)
	}
}

func (dispatcher *Dispatcher) start(cell *cell, server *server, task *task) {
	task.state = taskStarted
	task.server = server.id
	task.job.anyStarted = true
	cell.queuedTasks--
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

// returnToQueue puts a task back whose start is known not to have happened.
func (dispatcher *Dispatcher) returnToQueue(cell *cell, server *server, task *task) {
	delete(server.running, task.key())
	cell.free.update(server)
	if task.job.state == jobFinished {
		return
	}
	task.state = taskQueued
	task.server = ""
	task.job.nextQueued = 0
	cell.queuedTasks++
	dispatcher.joinQueue(cell, task.job)
}

// takeFromQueue removes a queued task that turned out to run already.
func (dispatcher *Dispatcher) takeFromQueue(cell *cell, job *job, _ *task) {
	if job.state == jobRunning {
		cell.queuedTasks--
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
