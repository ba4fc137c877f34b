package dispatcher

import "github.com/stoathitch/stoathitch/pkg/messenger"

// cancel ends a submission at the wish of its own caller.
func (dispatcher *Dispatcher) cancel(input *CancelArrived) {
	job := dispatcher.jobs.Get(input.Cancel.Submission)
	if job == nil || job.spec.Caller != input.Cancel.Caller {
		return
	}
	dispatcher.failJob(job, messenger.ReasonCancelled, "the caller cancelled the submission")
}

// lookUp answers a host that asks for a submission, for its own caller only. A
// submission that still runs is answered when it ends.
func (dispatcher *Dispatcher) lookUp(input *LookupArrived) {
	job := dispatcher.jobs.Get(input.Lookup.Submission)
	if job == nil || job.spec.Caller != input.Lookup.Caller {
		answer := messenger.RefuseUnknown(input.Lookup.Submission, messenger.ReasonUnknownSubmission,
			"nothing is known of the submission here")
		dispatcher.outputs.add(&JobAnswered{To: input.From, Answer: answer})
		return
	}
	if job.answer == nil {
		job.holders = append(job.holders, input.From)
		return
	}
	dispatcher.outputs.add(&JobAnswered{To: input.From, Answer: job.answer})
}

// beginClaimed starts a job that has its claim, or goes on with one that an
// earlier lead may have started.
func (dispatcher *Dispatcher) beginClaimed(cell *cell, job *job) {
	if job.again {
		dispatcher.settleRecovered(cell, job)
		return
	}
	dispatcher.place(cell, job)
}

// decideClaim lets a not-repeatable job start, or refuses it truthfully: where
// another submission holds the claim, or nobody can tell, the job may have run.
func (dispatcher *Dispatcher) decideClaim(input *ClaimDecided) {
	job := dispatcher.jobs.Get(input.Submission)
	if job == nil || job.state != jobAwaitingClaim {
		return
	}
	switch input.Verdict {
	case ClaimGranted:
		job.claimed = true
		dispatcher.beginClaimed(dispatcher.cells.Get(job.cell), job)
	case ClaimHeld:
		dispatcher.finish(job, messenger.RefuseUnknown(input.Submission, messenger.ReasonAlreadyClaimed,
			"submission "+string(input.Holder)+" has the claim of this not-repeatable job; ask for its answer"))
	case ClaimUnavailable:
		dispatcher.finish(job, messenger.RefuseUnknown(input.Submission, messenger.ReasonClaimUnavailable,
			"the claim of the not-repeatable job can't be had now; it is not known to have run"))
	}
}
