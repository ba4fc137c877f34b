package allocator

import (
	"cmp"
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/budgeter"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// job is a job that a host has asked room for.
type job struct {
	request messenger.RoomRequest
	from    identifier.HostID
	tasks   []task
	// arrivedAt is when the caller sent the job, on this host's clock.
	arrivedAt identifier.Moment
	// dueAt is until when the answer is in time, startBy until when the longest task
	// must have started for that.
	dueAt   identifier.Moment
	startBy identifier.Moment
	// turn orders waiting jobs.
	turn identifier.Moment
	// deadline is when the caller no longer waits.
	deadline identifier.Moment
	lastRun  identifier.RunNumber
	// begunBefore tells that runs of an earlier sending were granted.
	begunBefore bool
	// queued counts the tasks that have neither room nor an end.
	queued int
	// granted tells that some run of the job may have started.
	granted bool
	// closed tells that the job wants no more room; its record stays until all its
	// runs are over, so that a resend starts none of them twice at once.
	closed bool
	// given are the tasks that other cells were asked for.
	given []share
	// successor is a resend that waits for that.
	successor *RoomRequested
}

// task is one task of a job.
type task struct {
	room messenger.RoomTask
	run  *run
	done bool
	// queued tells that the task waits for room.
	queued bool
	// account is what is known of its runs.
	account budgeter.Account
	// hung counts the runs that were stopped because they went on for far too long.
	hung int
	// avoid is the server on which the last run failed.
	avoid identifier.ServerIncarnation
}

func (job *job) task(index messenger.TaskIndex) *task {
	for position := range job.tasks {
		if job.tasks[position].room.Task == index {
			return &job.tasks[position]
		}
	}
	return &task{}
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

// request takes a request for room.
func (allocator *Allocator) request(input *RoomRequested) {
	if !allocator.Leads() {
		allocator.answer(input.From, messenger.RoomAnswer{Job: input.Request.Job, Kind: messenger.RoomAnswerNotLed, Ask: input.Request.Ask})
		return
	}
	known := allocator.jobs.Get(input.Request.Job)
	if known != nil && known.isRequest(input) && input.Request.Part && !known.closed {
		allocator.takeBack(known, input.Request.Tasks)
		return
	}
	if known != nil {
		allocator.succeed(known, input)
		return
	}
	if orphans := allocator.orphansOf(&input.Request); len(orphans) > 0 {
		allocator.endEarlierSending(input, orphans)
		return
	}
	allocator.admit(allocator.newJob(input))
}

// succeed ends an earlier sending of a job that its caller has sent again, to this host or
// another, and is no longer waited for. Its runs must be over first. The host that asks is told
// so: it would else take this lead for silent and ask another cell, which knows of no run.
func (allocator *Allocator) succeed(earlier *job, input *RoomRequested) {
	earlier.successor = input
	allocator.close(earlier, "sent again")
	if earlier.successor == input {
		allocator.answer(input.From, messenger.RoomAnswer{
			Job: input.Request.Job, Kind: messenger.RoomAnswerWaiting, Ask: input.Request.Ask, Begun: earlier.lastRun > 0,
		})
	}
}

// takeBack takes tasks of a job in that another cell's lead was asked for in vain.
func (allocator *Allocator) takeBack(job *job, rooms []messenger.RoomTask) {
	for _, room := range rooms {
		if !slices.ContainsFunc(job.tasks, func(task task) bool { return task.room.Task == room.Task }) {
			job.tasks = append(job.tasks, task{room: room, account: room.Account})
		}
	}
	for index := range job.tasks {
		if task := &job.tasks[index]; task.run == nil {
			allocator.queueTask(job, task)
		}
	}
}

func (allocator *Allocator) newJob(input *RoomRequested) *job {
	request := &input.Request
	created := &job{request: *request, from: input.From, arrivedAt: allocator.now.Add(-request.Elapsed), lastRun: allocator.lastRunOf(request)}
	created.begunBefore = created.lastRun > 0
	created.deadline = allocator.now.Add(request.Remaining)
	for _, room := range request.Tasks {
		created.tasks = append(created.tasks, task{room: room, account: allocator.accountOf(request.Job, room)})
	}
	for _, held := range request.Held {
		created.tasks = append(created.tasks, task{room: held.RoomTask, account: allocator.accountOf(request.Job, held.RoomTask)})
		created.lastRun = max(created.lastRun, held.Run)
	}
	allocator.schedule(created)
	allocator.jobs.Put(request.Job, created)
	allocator.timers.Clear(timerKey{kind: timerJobForget, job: request.Job})
	allocator.timers.Set(timerKey{kind: timerJobDeadline, job: request.Job}, created.deadline)
	return created
}

// isRequest tells whether a request is the one that the job has, for more of its tasks.
func (job *job) isRequest(input *RoomRequested) bool {
	return job.from == input.From && job.request.Ask == input.Request.Ask
}

// lastRunOf is the highest number that a run of a job may have had.
func (allocator *Allocator) lastRunOf(request *messenger.RoomRequest) identifier.RunNumber {
	if last := allocator.lastRuns.Get(request.Job); last != nil {
		return max(request.RunsBelow, *last)
	}
	return request.RunsBelow
}

// schedule works out when the job is due, and sorts its tasks: the longest starts
// first, as the answer waits for it.
func (allocator *Allocator) schedule(job *job) {
	slices.SortStableFunc(job.tasks, func(first, second task) int {
		return cmp.Compare(second.room.Declared, first.room.Declared)
	})
	longest := time.Duration(0)
	for index := range job.tasks {
		longest = max(longest, allocator.estimates.runTime(job.request.Queue, job.tasks[index].room.Declared))
	}
	objective := time.Duration(float64(longest)*job.request.Stretch) + job.request.Allowance
	job.dueAt = job.arrivedAt.Add(objective)
	job.startBy = job.dueAt.Add(-longest)
	job.turn = job.arrivedAt.Add(slackWeight * job.startBy.Sub(job.arrivedAt))
}

// slackWeight is how much the time that a job can spare counts against the time since it
// arrived. With 1, the job that must start first goes first; with 2, jobs of short tasks
// pass those that can spare more, which is better for both as long as not everything can
// be in time. Higher weights keep the long jobs out.
const slackWeight = 2

// queueTask lets a task wait for room.
func (allocator *Allocator) queueTask(job *job, task *task) {
	if task.queued || task.done || job.closed || task.account.Held() {
		return
	}
	task.queued = true
	if job.queued == 0 {
		allocator.insert(job)
	}
	job.queued++
	allocator.waitingTasks++
	allocator.changed = true
}

// unqueueTask takes a task out that waits here no more.
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

// markGranted notes that some run of the job may have started, which puts what waits of it
// before jobs of which nothing has.
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

// insert puts a job into the waiting ones: jobs with started tasks first, as their
// answer waits for the rest, then by their turn.
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
	return cmp.Or(cmp.Compare(first.turn, second.turn), cmp.Compare(first.request.Job, second.request.Job))
}

// unqueue takes all waiting tasks of a job out.
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

// answerJob answers the host of a job.
func (allocator *Allocator) answerJob(job *job, answer messenger.RoomAnswer) {
	answer.Ask = job.request.Ask
	answer.Begun = job.begunBefore
	allocator.answer(job.from, answer)
}

func (allocator *Allocator) answer(to identifier.HostID, answer messenger.RoomAnswer) {
	answer.Cell = allocator.Cell
	allocator.emit(&AnswerRoom{To: to, Answer: answer})
}
