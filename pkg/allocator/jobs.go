package allocator

import (
	"cmp"
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/budgeter"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// job is a job that a host has requested capacity for.
type job struct {
	request messenger.CapacityRequest
	from    identifier.HostID
	tasks   []task
	// arrivedAt is when the caller submitted the job, on this host's clock.
	arrivedAt identifier.Moment
	// dueAt is until when the answer is in time, startBy until when the longest task must have
	// started for that.
	dueAt   identifier.Moment
	startBy identifier.Moment
	// priorityTime orders the waiting jobs, the earliest first.
	priorityTime identifier.Moment
	// deadline is when the caller no longer waits.
	deadline identifier.Moment
	lastRun  identifier.RunNumber
	// grantedBefore is set if runs of an earlier submission were granted.
	grantedBefore bool
	// queued counts the tasks that wait for capacity.
	queued int
	// granted is set once some run of the job may have started.
	granted bool
	// closed is set once the job wants no more capacity; its record stays until all its runs are
	// over, so that a resubmission starts none of them twice at once.
	closed bool
	// handoffs are the tasks that were handed to other cells.
	handoffs []handoff
	// successor is a resubmission that waits until the runs are over.
	successor *CapacityRequested
}

// task is one task of a job.
type task struct {
	requested messenger.TaskRequest
	run       *run
	done      bool
	// queued is set while the task waits for capacity.
	queued bool
	// account counts the failures and crashes of its runs.
	account budgeter.Account
	// hung counts the runs that were stopped because they went on for far too long.
	hung int
	// avoid is the server on which the last run failed.
	avoid identifier.ServerIncarnation
	// earlierSettled is set once the unsettled start of an earlier run is settled or awaited.
	earlierSettled bool
}

func (job *job) task(index messenger.TaskIndex) *task {
	for position := range job.tasks {
		if job.tasks[position].requested.Task == index {
			return &job.tasks[position]
		}
	}
	return &task{}
}

func (job *job) hasTask(index messenger.TaskIndex) bool {
	return slices.ContainsFunc(job.tasks, func(task task) bool { return task.requested.Task == index })
}

func (server *server) runsInOrder() []*run {
	runs := make([]*run, 0, len(server.runs))
	for _, run := range server.runs {
		runs = append(runs, run)
	}
	slices.SortFunc(runs, func(first, second *run) int { return compareKeys(first.key, second.key) })
	return runs
}

func compareKeys(first, second messenger.RunKey) int {
	return cmp.Or(cmp.Compare(first.Job, second.Job), cmp.Compare(first.Task, second.Task), cmp.Compare(first.Run, second.Run))
}

// handleRequest handles a host's request for capacity.
func (allocator *Allocator) handleRequest(input *CapacityRequested) {
	if !allocator.Leads() {
		allocator.answer(input.From, messenger.CapacityAnswer{Job: input.Request.Job, Kind: messenger.CapacityAnswerNotLed, RequestNumber: input.Request.Number})
		return
	}
	known := allocator.jobs.Get(input.Request.Job)
	if known != nil && known.isSameRequest(input) && input.Request.Partial && !known.closed {
		allocator.requeueTasks(known, input.Request.Tasks)
		return
	}
	if known != nil {
		allocator.supersede(known, input)
		return
	}
	if unclaimed := allocator.unclaimedRunsOf(&input.Request); len(unclaimed) > 0 {
		allocator.endEarlierSubmission(input, unclaimed)
		return
	}
	created := allocator.newJob(input)
	if !allocator.rejectOverloaded(created, input) {
		allocator.admit(created)
	}
}

// supersede ends an earlier submission of a job that its caller has resubmitted, to this host or
// another, and no longer waits for. Its runs must be over first. The requesting host is notified of
// this: otherwise it would assume that this lead is down and request from another cell, which knows
// of no run.
func (allocator *Allocator) supersede(earlier *job, input *CapacityRequested) {
	earlier.successor = input
	allocator.close(earlier, "sent again")
	if earlier.successor == input {
		allocator.answer(input.From, messenger.CapacityAnswer{
			Job: input.Request.Job, Kind: messenger.CapacityAnswerWaiting, RequestNumber: input.Request.Number, GrantedBefore: earlier.lastRun > 0,
		})
	}
}

// requeueTasks queues tasks of a job that were requested from another cell's lead in vain.
func (allocator *Allocator) requeueTasks(job *job, tasks []messenger.TaskRequest) {
	for _, requested := range tasks {
		if !job.hasTask(requested.Task) {
			job.tasks = append(job.tasks, task{requested: requested, account: requested.Account})
		}
	}
	for index := range job.tasks {
		if task := &job.tasks[index]; task.run == nil {
			allocator.queueTask(job, task)
		}
	}
}

func (allocator *Allocator) newJob(input *CapacityRequested) *job {
	request := &input.Request
	created := &job{request: *request, from: input.From, arrivedAt: allocator.now.Add(-request.Elapsed), lastRun: allocator.lastRunOf(request)}
	created.grantedBefore = created.lastRun > 0
	created.deadline = allocator.now.Add(request.Remaining)
	for _, requested := range request.Tasks {
		created.tasks = append(created.tasks, task{requested: requested, account: allocator.accountOf(request.Job, requested)})
	}
	for _, activeRun := range request.ActiveRuns {
		created.tasks = append(created.tasks, task{requested: activeRun.TaskRequest, account: allocator.accountOf(request.Job, activeRun.TaskRequest)})
		created.lastRun = max(created.lastRun, activeRun.Run)
	}
	allocator.handoffArrived = allocator.handoffArrived || request.HandedOff
	allocator.schedule(created)
	allocator.jobs.Put(request.Job, created)
	allocator.timers.Clear(timerKey{kind: timerJobForget, job: request.Job})
	allocator.timers.Set(timerKey{kind: timerJobDeadline, job: request.Job}, created.deadline)
	return created
}

// isSameRequest reports whether a request belongs to the one that the job has, for more of its
// tasks.
func (job *job) isSameRequest(input *CapacityRequested) bool {
	return job.from == input.From && job.request.Number == input.Request.Number
}

// lastRunOf is the highest number that a run of a job may have had.
func (allocator *Allocator) lastRunOf(request *messenger.CapacityRequest) identifier.RunNumber {
	if last := allocator.lastRuns.Get(request.Job); last != nil {
		return max(request.HighestRun, *last)
	}
	return request.HighestRun
}

// schedule computes when the job is due, and sorts its tasks: the longest starts first, as the
// job's answer waits for it.
func (allocator *Allocator) schedule(job *job) {
	slices.SortStableFunc(job.tasks, func(first, second task) int {
		return cmp.Compare(second.requested.Declared, first.requested.Declared)
	})
	longest := time.Duration(0)
	for index := range job.tasks {
		longest = max(longest, allocator.estimates.expectedRunTime(job.request.Queue, job.tasks[index].requested.Declared))
	}
	objective := time.Duration(float64(longest)*job.request.Stretch) + job.request.Allowance
	job.dueAt = job.arrivedAt.Add(objective)
	job.startBy = job.dueAt.Add(-longest)
	job.priorityTime = job.arrivedAt.Add(spareTimeWeight * job.startBy.Sub(job.arrivedAt))
}

// spareTimeWeight is the weight of the time that a job can spare relative to the time since it
// arrived. With 1, the job that must start first goes first. With 2, jobs of short tasks overtake
// those that can spare more, which is better for both as long as not everything can be in time.
// Higher weights keep the long jobs out.
const spareTimeWeight = 2

// queueTask queues a task unless it is done or blocked, or its job is closed.
func (allocator *Allocator) queueTask(job *job, task *task) {
	if task.queued || task.done || job.closed || task.account.IsBlocked() {
		return
	}
	task.queued = true
	if job.queued == 0 {
		allocator.insert(job)
	}
	job.queued++
	allocator.waitingTasks++
	allocator.retryPlacement = true
}

// unqueueTask removes a task from the queue.
func (allocator *Allocator) unqueueTask(job *job, task *task) {
	if !task.queued {
		return
	}
	task.queued = false
	job.queued--
	allocator.waitingTasks--
	if job.queued == 0 {
		allocator.removeWaiting(job)
	}
}

// markGranted records that some run of the job may have started, which orders its waiting tasks
// before jobs of which nothing has started.
func (allocator *Allocator) markGranted(job *job) {
	allocator.timers.Clear(timerKey{kind: timerJobStart, job: job.request.Job})
	if job.granted {
		return
	}
	if job.queued == 0 {
		job.granted = true
		return
	}
	allocator.removeWaiting(job)
	job.granted = true
	allocator.insert(job)
}

// insert adds a job to the queue: jobs with started tasks come first, as their answer waits for the
// rest, then by priorityTime.
func (allocator *Allocator) insert(job *job) {
	position, _ := slices.BinarySearchFunc(allocator.waiting, job, compareWaiting)
	allocator.waiting = slices.Insert(allocator.waiting, position, job)
}

func compareWaiting(first, second *job) int {
	if first.granted != second.granted {
		if first.granted {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(first.priorityTime, second.priorityTime), cmp.Compare(first.request.Job, second.request.Job))
}

// unqueue removes all waiting tasks of a job from the queue.
func (allocator *Allocator) unqueue(job *job) {
	if job.queued == 0 {
		return
	}
	allocator.waitingTasks -= job.queued
	job.queued = 0
	for index := range job.tasks {
		job.tasks[index].queued = false
	}
	allocator.removeWaiting(job)
}

// answerJob sends an answer to the host of a job, with the number of the request that it answers.
func (allocator *Allocator) answerJob(job *job, answer messenger.CapacityAnswer) {
	answer.RequestNumber = job.request.Number
	answer.GrantedBefore = job.grantedBefore
	allocator.answer(job.from, answer)
}

func (allocator *Allocator) answer(to identifier.HostID, answer messenger.CapacityAnswer) {
	answer.Cell = allocator.Cell
	allocator.emit(&AnswerRequest{To: to, Answer: answer})
}
