package dispatcher

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// admit takes a job from the host that its caller is connected to. A submission
// that is known already is a resend and gets the answer of the first sending.
func (dispatcher *Dispatcher) admit(input *JobForwarded) {
	number := messenger.CellOf(input.Job.Submission, dispatcher.Settings.Cells)
	cell := dispatcher.cells.Get(number)
	if cell == nil {
		// The sender's view of the lead is old. It forwards again once it learns
		// who leads the cell now.
		return
	}
	if known := dispatcher.jobs.Get(input.Job.Submission); known != nil {
		dispatcher.joinResend(known, input)
		return
	}
	job := dispatcher.newJob(cell, input)
	dispatcher.jobs.Put(job.spec.Submission, job)
	if cell.ready {
		dispatcher.settleRecovered(cell, job)
	}
}

func (dispatcher *Dispatcher) newJob(cell *cell, input *JobForwarded) *job {
	created := &job{
		spec:           input.Job,
		cell:           cell.number,
		state:          jobRecovering,
		deadline:       input.Deadline,
		firstForwarded: dispatcher.now.Add(-input.Age),
		again:          input.Again,
		holders:        []identifier.HostID{input.From},
		tasks:          make([]task, len(input.Job.Tasks)),
		byID:           make(map[identifier.TaskID]*task, len(input.Job.Tasks)),
		unresolved:     len(input.Job.Tasks),
	}
	for index := range input.Job.Tasks {
		task := &created.tasks[index]
		task.job = created
		task.spec = &input.Job.Tasks[index]
		created.byID[task.spec.Task] = task
	}
	created.orderTasks()
	dispatcher.timers.Set(timerKey{kind: timerJobDeadline, submission: input.Job.Submission}, input.Deadline)
	return created
}

// joinResend lets the sender wait for the answer of a known submission.
func (dispatcher *Dispatcher) joinResend(known *job, input *JobForwarded) {
	if !known.spec.SameRequest(input.Job) {
		refusal := messenger.RefuseUnknown(input.Job.Submission, messenger.ReasonConflict,
			"the submission id is in use for another request")
		dispatcher.outputs.add(&JobAnswered{To: input.From, Answer: refusal})
		return
	}
	if known.answer != nil {
		dispatcher.outputs.add(&JobAnswered{To: input.From, Answer: known.answer})
		return
	}
	if !slices.Contains(known.holders, input.From) {
		known.holders = append(known.holders, input.From)
	}
}

// settleRecovered decides, once the cell is ready, what an admitted job may do:
// ask for the old answer, wait for tasks that run already, or start.
func (dispatcher *Dispatcher) settleRecovered(cell *cell, job *job) {
	recovered, known := cell.recovered[job.spec.Submission]
	found := cell.orphans[job.spec.Submission]
	delete(cell.orphans, job.spec.Submission)
	if known && recovered.record.Answered {
		dispatcher.askHolder(recovered, job)
		return
	}
	if known && recovered.knownSince < job.firstForwarded {
		job.firstForwarded = recovered.knownSince
	}
	mayHaveStarted := known || job.again || found != nil
	if !mayHaveStarted {
		dispatcher.beginFresh(cell, job)
		return
	}
	dispatcher.resume(cell, job, found)
}

// askHolder has the host that keeps the old answer send it to those who wait.
// The job itself is forgotten here: it must never start.
func (dispatcher *Dispatcher) askHolder(recovered recoveredRecord, job *job) {
	for _, holder := range job.holders {
		request := messenger.AnswerRequest{Submission: job.spec.Submission, ReplyTo: holder}
		dispatcher.outputs.add(&AnswerWanted{Holder: recovered.holder, Request: request})
	}
	dispatcher.forget(job)
}

// beginFresh starts a job that no lead has seen before.
func (dispatcher *Dispatcher) beginFresh(cell *cell, job *job) {
	dispatcher.measureJob(cell, job)
	if refusal := dispatcher.refuseAtAdmission(cell, job); refusal != nil {
		dispatcher.finish(job, refusal)
		return
	}
	if !job.spec.Repeatable {
		job.state = jobAwaitingClaim
		dispatcher.outputs.add(&ClaimWanted{Submission: job.spec.Submission, Caller: job.spec.Caller, Job: job.spec.Job})
		return
	}
	dispatcher.enqueue(cell, job)
}

// resume continues a job that an earlier lead may have started. Tasks that
// backend servers have are waited for. A task that nobody has was not started,
// unless a backend server that could have it has not reported.
func (dispatcher *Dispatcher) resume(cell *cell, job *job, found *orphan) {
	job.state = jobRunning
	job.again = true
	dispatcher.measureJob(cell, job)
	unaccounted := dispatcher.unaccountedSince(cell, job.firstForwarded)
	for index := range job.tasks {
		task := &job.tasks[index]
		dispatcher.resumeTask(cell, task, found, unaccounted)
		if job.answer != nil {
			return
		}
	}
	dispatcher.joinQueue(cell, job)
}

func (dispatcher *Dispatcher) resumeTask(cell *cell, task *task, found *orphan, unaccounted bool) {
	if found != nil {
		if answer, answered := found.answers[task.spec.Task]; answered {
			dispatcher.resolve(task, answer.server, answer.answer)
			return
		}
		if id, running := found.running[task.spec.Task]; running {
			task.state = taskStarted
			task.server = id
			if server := dispatcher.servers.Get(id); server != nil {
				server.running[task.key()] = task
				dispatcher.beginFlight(cell, task)
				cell.free.update(server)
			}
			return
		}
	}
	if unaccounted {
		dispatcher.markUnknown(task)
	}
}

// unaccountedSince tells whether a backend server that could have been given
// tasks after since has not reported under the current epoch.
func (dispatcher *Dispatcher) unaccountedSince(cell *cell, since identifier.Moment) bool {
	unaccounted := false
	dispatcher.servers.Each(func(_ identifier.BackendServerID, server *server) bool {
		if server.cell != cell.number || server.fenced {
			return true
		}
		if server.connected || server.lostAt >= since {
			unaccounted = true
		}
		return !unaccounted
	})
	return unaccounted
}
