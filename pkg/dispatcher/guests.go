package dispatcher

import (
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// admitGuest accepts a guest: a job from the lead of its home in another failure domain. It runs
// like a job of this failure domain, but its answer goes to that lead.
func (dispatcher *Dispatcher) admitGuest(input *SpillArrived) {
	request := input.Request
	if dispatcher.fromDeposedLead(input) {
		return
	}
	cell := dispatcher.cells.Get(messenger.CellOf(request.Job.Submission, dispatcher.Settings.Cells))
	if cell == nil {
		// The sender retries once it learns who leads the cell now.
		return
	}
	if known := dispatcher.jobs.Get(request.Job.Submission); known != nil {
		dispatcher.answerHomeLead(known, input)
		return
	}
	if request.Mode == messenger.SpillQuery {
		dispatcher.outputs.add(&AnswerSpill{To: input.From, Answer: messenger.RefuseUnknown(
			request.Job.Submission, messenger.ReasonUnknownSubmission, "nothing is known of the submission here")})
		return
	}
	if input.SenderNotLive {
		// The job may have waited on the connection since before the sender was lost, and another
		// lead of the home, not yet known here, may have run it. Its tasks would start in two
		// failure domains, the second time right after a network cut ends. The job is not answered
		// either: a sender that still leads retries, and an answer could cross with the retry.
		return
	}
	job := dispatcher.newJob(cell, &JobForwarded{
		Job: request.Job, Deadline: input.Deadline, MayHaveEarlierStarts: request.MayHaveEarlierStarts, Age: request.Age,
	})
	job.homeLead = input.From
	job.recipients = nil
	// The home holds the claim of a not-repeatable job.
	job.claimed = true
	dispatcher.jobs.Put(job.spec.Submission, job)
	if cell.ready {
		dispatcher.settleRecovered(cell, job)
	}
}

// fromDeposedLead reports whether a job comes from a home lead that another one has replaced.
//
// Backend servers of the home refuse the starts of a deposed lead, which may be cut off and not
// know that it was replaced. Backend servers here follow this host's epoch instead. If this host
// accepted the job, it would run here although the new home lead has run it or will: one task
// would start in two failure domains. Nothing is answered, as the sender can't use an answer; it
// gives up its cell when it learns of the other lead.
func (dispatcher *Dispatcher) fromDeposedLead(input *SpillArrived) bool {
	job, epoch := input.Request.Job, input.Request.Epoch
	key := remoteKey{failureDomain: job.Home(), cell: messenger.CellOf(job.Submission, dispatcher.Settings.Cells)}
	return epoch != 0 && dispatcher.isDeposed(key, input.From, epoch)
}

// isDeposed reports whether another lead with a higher epoch than the sender's is known. A sender
// with the highest epoch so far is recorded.
func (dispatcher *Dispatcher) isDeposed(key remoteKey, from identifier.HostID, epoch identifier.Epoch) bool {
	known := dispatcher.remotes.Get(key)
	if known != nil && known.host != from && epoch < known.epoch {
		return true
	}
	if known == nil || known.epoch < epoch {
		dispatcher.recordRemoteLead(&RemoteLeadChanged{Notice: messenger.LeadNotice{
			FailureDomain: key.failureDomain, Cell: key.cell, Host: from, Epoch: epoch,
		}})
	}
	return false
}

// answerHomeLead answers a home lead, possibly a new one, that queries a job again.
func (dispatcher *Dispatcher) answerHomeLead(known *job, input *SpillArrived) {
	if known.homeLead == "" {
		// The submission is at home here: its id is in use for another request.
		dispatcher.outputs.add(&AnswerSpill{To: input.From, Answer: messenger.RefuseUnknown(
			known.spec.Submission, messenger.ReasonConflict, "the submission id is in use for another request")})
		return
	}
	known.homeLead = input.From
	if known.answer != nil {
		dispatcher.outputs.add(&AnswerSpill{To: input.From, Answer: known.answer})
	}
}

// refuseGuest returns a refusal for a guest that would have to wait here, or nil.
func (dispatcher *Dispatcher) refuseGuest(cell *cell, job *job) *messenger.JobAnswer {
	if job.homeLead == "" || (cell.queue.Tasks() == 0 && int(cell.free.slots()) >= len(job.tasks)) {
		return nil
	}
	return messenger.Refuse(job.spec.Submission, messenger.ReasonQueueFull, "no slots are free for jobs of other failure domains")
}
