package dispatcher

import (
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/estimator"
	"github.com/stoathitch/stoathitch/pkg/queuer"
)

// jobEstimate is the expected run time of a job.
type jobEstimate struct {
	// work is the slot time of all tasks, longest that of the longest task.
	work    time.Duration
	longest time.Duration
	// ideal is the time that the job takes if it has all slots to itself.
	ideal time.Duration
	// learned reports whether the estimates are based on observed answers.
	learned bool
	class   ClassLimits
}

// estimateJob estimates a job and sets the due time and the cost of its queue entry.
func (dispatcher *Dispatcher) estimateJob(cell *cell, job *job) {
	spec := job.spec
	model := dispatcher.estimator.Model(estimator.Key{Team: spec.Team, Class: spec.Class})
	estimate := jobEstimate{class: dispatcher.classes[spec.Class]}
	for index := range job.tasks {
		taskEstimate := model.Estimate(job.tasks[index].spec.DeclaredRunTime)
		estimate.work += taskEstimate.Mean
		estimate.longest = max(estimate.longest, taskEstimate.Typical)
		estimate.learned = taskEstimate.Learned
	}
	slots := dispatcher.capacity(cell)
	estimate.ideal = max(estimate.longest, estimate.work/time.Duration(max(slots, 1)))
	job.estimate = estimate
	job.entry.Payload = job
	job.entry.Team = spec.Team
	job.entry.ClassWeight = estimate.class.Weight
	job.entry.Cost = estimate.work / time.Duration(max(len(job.tasks), 1))
	job.entry.Urgent = estimate.class.Urgent
	job.entry.Due = cell.queue.Order.Due(job.shape())
}

func (job *job) shape() queuer.Shape {
	return queuer.Shape{
		ArrivedAt: job.firstForwarded,
		Deadline:  job.deadline,
		Ideal:     job.estimate.ideal,
		Tasks:     len(job.tasks),
	}
}

// orderTasks sorts the tasks by declared run time, longest first: a job is as slow as its last
// task.
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

// taskAt returns the task at a position of the start order.
func (job *job) taskAt(number int) *task {
	if job.startOrder == nil {
		return &job.tasks[number]
	}
	return &job.tasks[job.startOrder[number]]
}

// recordStart charges a task that leaves the queue for a slot.
func (dispatcher *Dispatcher) recordStart(cell *cell, task *task) {
	cell.queue.Serve(dispatcher.now, &task.job.entry)
	dispatcher.addInFlight(cell, task)
}

// addInFlight counts a task as running for its team.
func (dispatcher *Dispatcher) addInFlight(cell *cell, task *task) {
	if task.inFlight {
		return
	}
	task.inFlight = true
	team := task.job.spec.Team
	cell.queue.SetPaused(team, !cell.limiter.Start(dispatcher.now, team, task.refusals == 0))
}

// removeInFlight removes a task from its team's count of running tasks. Further calls do nothing.
func (dispatcher *Dispatcher) removeInFlight(task *task) {
	cell := dispatcher.cells.Get(task.job.cell)
	if cell == nil || !task.inFlight {
		return
	}
	task.inFlight = false
	team := task.job.spec.Team
	cell.queue.SetPaused(team, !cell.limiter.End(dispatcher.now, team))
}

// removeLostInFlight removes the tasks of a finished job from its team's count whose end no
// connected backend server will report.
func (dispatcher *Dispatcher) removeLostInFlight(job *job) {
	for index := range job.tasks {
		task := &job.tasks[index]
		if !task.inFlight {
			continue
		}
		server := dispatcher.servers.Get(serverKey{cell: job.cell, server: task.server})
		if task.state == taskUnknown || server == nil || server.running[task.key()] != task {
			dispatcher.removeInFlight(task)
		}
	}
}

// recordTaskEnd updates the queue and the estimator with the answer of a task that ran here, even
// if its job no longer waits for it.
func (dispatcher *Dispatcher) recordTaskEnd(cell *cell, task *task, answer ServerAnswer) {
	if task == nil {
		return
	}
	dispatcher.removeInFlight(task)
	if answer.RunTime <= 0 {
		return
	}
	spec := task.job.spec
	entry := &task.job.entry
	cell.queue.AdjustCharge(spec.Team, answer.RunTime-entry.Cost, entry.ClassWeight)
	if answer.Failed || answer.Cancelled {
		return
	}
	key := estimator.Key{Team: spec.Team, Class: spec.Class}
	dispatcher.estimator.Observe(key, task.spec.DeclaredRunTime, answer.RunTime)
}
