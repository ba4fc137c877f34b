package dispatcher

import "github.com/stoathitch/stoathitch/pkg/messenger"

// admitGuest takes a job from the lead of its home in another failure domain. It
// runs like a job of this one, but the answer goes to that lead.
func (dispatcher *Dispatcher) admitGuest(input *SpillArrived) {
	request := input.Request
	cell := dispatcher.cells.Get(messenger.CellOf(request.Job.Submission, dispatcher.Settings.Cells))
	if cell == nil {
		// The sender asks again once it learns who leads the cell now.
		return
	}
	if known := dispatcher.jobs.Get(request.Job.Submission); known != nil {
		dispatcher.answerHomeLead(known, input)
		return
	}
	if request.Mode == messenger.SpillAsk {
		dispatcher.outputs.add(&AnswerSpill{To: input.From, Answer: messenger.RefuseUnknown(
			request.Job.Submission, messenger.ReasonUnknownSubmission, "nothing is known of the submission here")})
		return
	}
	job := dispatcher.newJob(cell, &JobForwarded{
		Job: request.Job, Deadline: input.Deadline, Again: request.Again, Age: request.Age,
	})
	job.guestOf = input.From
	job.holders = nil
	// The home has the claim of a not-repeatable job.
	job.claimed = true
	dispatcher.jobs.Put(job.spec.Submission, job)
	if cell.ready {
		dispatcher.settleRecovered(cell, job)
	}
}

// answerHomeLead answers a home lead that asks for a job again; it may be a new
// one.
func (dispatcher *Dispatcher) answerHomeLead(known *job, input *SpillArrived) {
	if known.guestOf == "" {
		// The submission is at home here: the id is in use for another request.
		dispatcher.outputs.add(&AnswerSpill{To: input.From, Answer: messenger.RefuseUnknown(
			known.spec.Submission, messenger.ReasonConflict, "the submission id is in use for another request")})
		return
	}
	known.guestOf = input.From
	if known.answer != nil {
		dispatcher.outputs.add(&AnswerSpill{To: input.From, Answer: known.answer})
	}
}

// refuseGuest refuses a guest that would wait here.
func (dispatcher *Dispatcher) refuseGuest(cell *cell, job *job) *messenger.JobAnswer {
	if job.guestOf == "" || (cell.queue.Tasks() == 0 && int(cell.free.slots()) >= len(job.tasks)) {
		return nil
	}
	return messenger.Refuse(job.spec.Submission, messenger.ReasonQueueFull, "no slots are free for jobs of other failure domains")
}
