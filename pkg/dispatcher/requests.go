package dispatcher

import "github.com/stoathitch/stoathitch/pkg/messenger"

// cancel ends a submission at the request of its own caller.
func (dispatcher *Dispatcher) cancel(input *CancelArrived) {
	job := dispatcher.jobs.Get(input.Cancel.Submission)
	if job == nil || job.spec.Caller != input.Cancel.Caller {
		return
	}
	if job.homeLead != "" && job.homeLead != input.From {
		// Its home cancels it here too if necessary.
		return
	}
	dispatcher.failJob(job, messenger.ReasonCancelled, "the caller cancelled the submission")
}

// beginClaimed starts a job that has its claim, or continues one that an earlier lead may have
// started.
func (dispatcher *Dispatcher) beginClaimed(cell *cell, job *job) {
	if job.mayHaveEarlierStarts {
		dispatcher.settleRecovered(cell, job)
		return
	}
	dispatcher.enqueueOrSpill(cell, job)
}

// decideClaim lets a not-repeatable job start or refuses it. If another submission holds the claim,
// or the claim is unavailable, the job may have run and the refusal does not say "not run".
func (dispatcher *Dispatcher) decideClaim(input *ClaimDecided) {
	job := dispatcher.jobs.Get(input.Submission)
	if job == nil || job.state != jobAwaitingClaim || job.claimHolder != "" {
		return
	}
	switch input.Verdict {
	case ClaimGranted:
		job.claimed = true
		// If the submission held the claim before, an earlier lead may have started it, even if that
		// lead and all hosts that knew of it are lost.
		job.mayHaveEarlierStarts = job.mayHaveEarlierStarts || input.Holder == input.Submission
		dispatcher.beginClaimed(dispatcher.cells.Get(job.cell), job)
	case ClaimHeld:
		dispatcher.awaitClaimHolder(job, input)
	case ClaimUnavailable:
		dispatcher.finish(job, messenger.RefuseUnknown(input.Submission, messenger.ReasonClaimUnavailable,
			"the claim of the not-repeatable job can't be had now; it is not known to have run"))
	}
}
