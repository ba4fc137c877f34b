package dispatcher

import (
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/estimator"
	"github.com/stoathitch/stoathitch/pkg/queuer"
)

// measure is what a job is expected to take.
type measure struct {
	// work is the slot time of all tasks, longest that of the longest task.
	work    time.Duration
	longest time.Duration
	// ideal is the time that the job takes when all slots are its own.
	ideal time.Duration
	// learned tells that the estimates rest on observed answers.
	learned bool
	class   ClassLimits
}

// measureJob estimates a job and gives its queue entry its due moment and its cost.
func (dispatcher *Dispatcher) measureJob(cell *cell, job *job) {
	spec := job.spec
	model := dispatcher.estimator.Model(estimator.Key{Team: spec.Team, Class: spec.Class})
	measured := measure{class: dispatcher.classes[spec.Class]}
	for index := range job.tasks {
		estimate := model.Estimate(job.tasks[index].spec.DeclaredRunTime)
		measured.work += estimate.Mean
		measured.longest = max(measured.longest, estimate.Typical)
		measured.learned = estimate.Learned
	}
	slots := dispatcher.capacity(cell)
	measured.ideal = max(measured.longest, measured.work/time.Duration(max(slots, 1)))
	job.measured = measured
	job.entry.Payload = job
	job.entry.Team = spec.Team
	job.entry.ClassWeight = measured.class.Weight
	job.entry.Cost = measured.work / time.Duration(max(len(job.tasks), 1))
	job.entry.Urgent = measured.class.Urgent
	job.entry.Due = cell.queue.Order.Due(job.shape())
}

func (job *job) shape() queuer.Shape {
	return queuer.Shape{
		ArrivedAt: job.firstForwarded,
		Deadline:  job.deadline,
		Ideal:     job.measured.ideal,
		Tasks:     len(job.tasks),
	}
}

// orderTasks has the tasks that were declared to run longest start first: a job
// is as slow as its last task.
func (job *job) orderTasks() {
	declared := func(index int) time.Duration { return job.tasks[index].spec.DeclaredRunTime }
	sorted := true
	for index := 1; index < len(job.tasks) && sorted; index++ {
		sorted = declared(index) <= declared(index-1)
	}
	if sorted {
		return
	}
	job.startOrder = make([]int, len(job.tasks))
	for index := range job.startOrder {
		job.startOrder[index] = index
	}
	slices.SortStableFunc(job.startOrder, func(first, second int) int {
		return int(min(max(declared(second)-declared(first), -1), 1))
	})
}

// taskAt returns the task that starts as the number-th.
func (job *job) taskAt(number int) *task {
	if job.startOrder == nil {
		return &job.tasks[number]
	}
	return &job.tasks[job.startOrder[number]]
}

// noteStart charges a task that leaves the queue for a slot.
func (dispatcher *Dispatcher) noteStart(cell *cell, task *task) {
	cell.queue.Serve(dispatcher.now, &task.job.entry)
	dispatcher.beginFlight(cell, task)
}

// beginFlight counts a task as running for its team.
func (dispatcher *Dispatcher) beginFlight(cell *cell, task *task) {
	if task.inFlight {
		return
	}
	task.inFlight = true
	team := task.job.spec.Team
	cell.queue.SetPaused(team, !cell.limiter.Start(dispatcher.now, team, task.refusals == 0))
}

// endFlight takes a task out of its team's count, once.
func (dispatcher *Dispatcher) endFlight(task *task) {
	cell := dispatcher.cells.Get(task.job.cell)
	if cell == nil || !task.inFlight {
		return
	}
	task.inFlight = false
	team := task.job.spec.Team
	cell.queue.SetPaused(team, !cell.limiter.End(dispatcher.now, team))
}

// endLostFlights takes the tasks of a finished job out of its team's count that
// no connected backend server will tell the end of.
func (dispatcher *Dispatcher) endLostFlights(job *job) {
	for index := range job.tasks {
		task := &job.tasks[index]
		if !task.inFlight {
			continue
		}
		server := dispatcher.servers.Get(serverKey{cell: job.cell, server: task.server})
		if task.state == taskUnknown || server == nil || server.running[task.key()] != task {
			dispatcher.endFlight(task)
		}
	}
}

// noteAnswer learns from the answer of a task that ran here, whether its job
// still waits for it or not.
func (dispatcher *Dispatcher) noteAnswer(cell *cell, task *task, answer ServerAnswer) {
	if task == nil {
		return
	}
	dispatcher.endFlight(task)
	if answer.RunTime <= 0 {
		return
	}
	spec := task.job.spec
	entry := &task.job.entry
	cell.queue.Correct(spec.Team, answer.RunTime-entry.Cost, entry.ClassWeight)
	if answer.Failed || answer.Cancelled {
		return
	}
	key := estimator.Key{Team: spec.Team, Class: spec.Class}
	dispatcher.estimator.Observe(key, task.spec.DeclaredRunTime, answer.RunTime)
}
