package dispatcher

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/explainer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// admit accepts a job from the host that its caller is connected to. A submission that is already
// known is a resubmission and gets the answer of the first one.
func (dispatcher *Dispatcher) admit(input *JobForwarded) {
	number := messenger.CellOf(input.Job.Submission, dispatcher.Settings.Cells)
	cell := dispatcher.cells.Get(number)
	if cell == nil {
		// The sender's view of the lead is outdated. It forwards the job again once it learns who
		// leads the cell now.
		return
	}
	if known := dispatcher.jobs.Get(input.Job.Submission); known != nil {
		dispatcher.attachResend(known, input)
		return
	}
	job := dispatcher.newJob(cell, input)
	dispatcher.jobs.Put(job.spec.Submission, job)
	dispatcher.recordJobStep(explainer.KindArrived, job.spec.Submission, string(input.From))
	if cell.ready {
		dispatcher.settleRecovered(cell, job)
	}
}

func (dispatcher *Dispatcher) newJob(cell *cell, input *JobForwarded) *job {
	created := &job{
		spec:                 input.Job,
		cell:                 cell.number,
		state:                jobRecovering,
		deadline:             input.Deadline,
		firstForwarded:       dispatcher.now.Add(-input.Age),
		mayHaveEarlierStarts: input.MayHaveEarlierStarts,
		recipients:           []identifier.HostID{input.From},
		tasks:                make([]task, len(input.Job.Tasks)),
		byID:                 make(map[identifier.TaskID]*task, len(input.Job.Tasks)),
		unresolved:           len(input.Job.Tasks),
	}
	for index := range input.Job.Tasks {
		task := &created.tasks[index]
		task.job = created
		task.spec = &input.Job.Tasks[index]
		created.byID[task.spec.Task] = task
	}
	created.forwardedAfter = created.firstForwarded.Add(-transitAllowance)
	created.orderTasks()
	dispatcher.timers.Set(timerKey{kind: timerJobDeadline, submission: input.Job.Submission}, input.Deadline)
	return created
}

// attachResend adds the sender to those that wait for the answer of a known submission.
func (dispatcher *Dispatcher) attachResend(known *job, input *JobForwarded) {
	if !known.spec.SameRequest(input.Job) {
		refusal := messenger.RefuseUnknown(input.Job.Submission, messenger.ReasonConflict,
			"the submission id is in use for another request")
		dispatcher.outputs.add(&JobAnswered{To: input.From, Answer: refusal})
		return
	}
	dispatcher.recordJobStep(explainer.KindResent, known.spec.Submission, string(input.From))
	if known.answer != nil {
		dispatcher.outputs.add(&JobAnswered{To: input.From, Answer: known.answer})
		return
	}
	if !slices.Contains(known.recipients, input.From) {
		known.recipients = append(known.recipients, input.From)
	}
}

// requestAnswerFromHolder has the host that keeps the old answer send it to the hosts that wait.
// The job itself is forgotten here, since no more of its tasks may start.
func (dispatcher *Dispatcher) requestAnswerFromHolder(recovered recoveredRecord, job *job) {
	for _, recipient := range job.recipients {
		request := messenger.AnswerRequest{Submission: job.spec.Submission, ReplyTo: recipient}
		dispatcher.outputs.add(&AnswerWanted{Holder: recovered.holder, Request: request})
	}
	dispatcher.leaveQueue(dispatcher.cells.Get(job.cell), job)
	dispatcher.stopRunning(job)
	dispatcher.forget(job)
}

// beginFresh starts a job that no lead has seen before.
func (dispatcher *Dispatcher) beginFresh(cell *cell, job *job) {
	dispatcher.estimateJob(cell, job)
	if refusal := dispatcher.refuseUnlessSpilled(cell, job); refusal != nil {
		dispatcher.finish(job, refusal)
		return
	}
	if !job.spec.Repeatable && !job.claimed {
		job.state = jobAwaitingClaim
		dispatcher.recordJobStep(explainer.KindClaimWanted, job.spec.Submission, "")
		dispatcher.outputs.add(&ClaimWanted{Submission: job.spec.Submission, Caller: job.spec.Caller, Job: job.spec.Job})
		return
	}
	dispatcher.enqueueOrSpill(cell, job)
}

// refuseUnlessSpilled returns a refusal for a fresh job that can be served neither here nor in
// another failure domain, or nil. A spilled job still counts toward its team's rate.
func (dispatcher *Dispatcher) refuseUnlessSpilled(cell *cell, job *job) *messenger.JobAnswer {
	if refusal := dispatcher.refuseGuest(cell, job); refusal != nil {
		return refusal
	}
	if dispatcher.spillTarget(cell, job) != nil {
		return dispatcher.refuseOverRate(cell, job)
	}
	return dispatcher.refuseAtAdmission(cell, job)
}
