package dispatcher

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// ClaimHolderAnswerWanted requests the answer of the submission that holds the claim of a
// not-repeatable job.
type ClaimHolderAnswerWanted struct {
	Claimant identifier.SubmissionID
	Caller   identifier.CallerID
	Holder   identifier.SubmissionID
	Home     identifier.FailureDomain
}

// ClaimReleased releases the claim of a submission of which nothing has started or ever will.
type ClaimReleased struct {
	Submission identifier.SubmissionID
	Caller     identifier.CallerID
	Job        identifier.JobID
}

// ClaimHolderAnswered delivers the answer to a ClaimHolderAnswerWanted.
type ClaimHolderAnswered struct {
	Claimant identifier.SubmissionID
	Answer   *messenger.JobAnswer
}

// ClaimsGrantedLate lists submissions that were refused before their claims were granted.
type ClaimsGrantedLate struct {
	Submissions []identifier.SubmissionID
}

func (*ClaimHolderAnswerWanted) isDispatcherOutput() {}
func (*ClaimReleased) isDispatcherOutput()           {}
func (*ClaimHolderAnswered) isDispatcherInput()      {}
func (*ClaimsGrantedLate) isDispatcherInput()        {}

// awaitClaimHolder has a submission wait for the answer of the one that holds its claim.
func (dispatcher *Dispatcher) awaitClaimHolder(job *job, input *ClaimDecided) {
	job.mayHaveEarlierStarts = true
	job.claimHolder = input.Holder
	if input.Holder == "" {
		dispatcher.finish(job, messenger.RefuseUnknown(input.Submission, messenger.ReasonAlreadyClaimed,
			"an earlier submission had the claim of this not-repeatable job; its answer is no longer kept"))
		return
	}
	dispatcher.outputs.add(&ClaimHolderAnswerWanted{
		Claimant: input.Submission, Caller: job.spec.Caller, Holder: input.Holder, Home: input.HolderHome,
	})
}

// handleHolderAnswer answers a submission with the answer of the one that holds its claim.
func (dispatcher *Dispatcher) handleHolderAnswer(input *ClaimHolderAnswered) {
	job := dispatcher.jobs.Get(input.Claimant)
	if job == nil || job.state != jobAwaitingClaim || job.claimHolder != input.Answer.Submission {
		return
	}
	holder := "submission " + string(job.claimHolder)
	switch {
	case input.Answer.NotRun:
		refusal := messenger.RefuseUnknown(input.Claimant, messenger.ReasonAlreadyClaimed,
			holder+" had the claim of this not-repeatable job and was refused; its claim is given back soon")
		refusal.RetryAfter = 2 * claimReleaseDelay
		dispatcher.finish(job, refusal)
	case input.Answer.ClaimsNothing():
		dispatcher.finish(job, messenger.RefuseUnknown(input.Claimant, messenger.ReasonAlreadyClaimed,
			holder+" has the claim of this not-repeatable job, and its answer can't be found; it is not known to have run"))
	default:
		answer := *input.Answer
		answer.Submission = input.Claimant
		answer.Detail = "this is the answer of " + holder + ", which ran the not-repeatable job; " + answer.Detail
		dispatcher.finish(job, &answer)
	}
}

// failWithoutClaim ends a submission whose claim is undecided. Another submission of the job may
// have run, so the refusal does not say "not run".
func (dispatcher *Dispatcher) failWithoutClaim(job *job, reason messenger.Reason, detail string) {
	dispatcher.finish(job, messenger.RefuseUnknown(job.spec.Submission, reason,
		detail+"; another submission of this not-repeatable job may have run"))
}

// claimReleaseDelay is how long a claim is kept after its submission was refused. A lead that was
// replaced learns of it within this time.
const claimReleaseDelay = 3 * time.Second

// scheduleClaimRelease schedules the release of the claim of a refused submission, so that a
// resubmission can run. It is called before the job ends.
//
// If the claim were released although something had started, a resubmission would run the job a
// second time: two submissions of one job would have starts. That requires that another host leads
// the cell without this one knowing. The claim is therefore released only after this host would
// have learned of another lead, and only while every host of the failure domain can be reached.
func (dispatcher *Dispatcher) scheduleClaimRelease(cell *cell, job *job) {
	holds := job.claimed || job.state == jobAwaitingClaim
	if job.spec.Repeatable || job.homeLead != "" || job.claimHolder != "" || !holds {
		return
	}
	if cell == nil || cell.mayMissRecords() || job.mayHaveStarted() {
		return
	}
	job.releasable = true
	dispatcher.timers.Set(job.timer(timerRelease), dispatcher.now.Add(claimReleaseDelay))
}

// scheduleLateClaimReleases schedules the release of claims that were granted after their
// submissions had been refused. It waits the full delay, in which a replaced lead learns of its
// successor.
func (dispatcher *Dispatcher) scheduleLateClaimReleases(input *ClaimsGrantedLate) {
	for _, submission := range input.Submissions {
		if job := dispatcher.jobs.Get(submission); job != nil && job.releasable {
			dispatcher.timers.Set(job.timer(timerRelease), dispatcher.now.Add(claimReleaseDelay))
		}
	}
}

// releaseClaim releases the claim of a refused submission. It runs only while this host has led
// the cell without interruption: losing the lead removes the jobs and their timers.
func (dispatcher *Dispatcher) releaseClaim(submission identifier.SubmissionID) {
	job := dispatcher.jobs.Get(submission)
	if job == nil {
		return
	}
	cell := dispatcher.cells.Get(job.cell)
	if cell == nil || cell.deposed || len(cell.missingHosts) > 0 || len(dispatcher.lostHosts) > 0 {
		return
	}
	dispatcher.outputs.add(&ClaimReleased{Submission: submission, Caller: job.spec.Caller, Job: job.spec.Job})
}

// recordHostVisibility records whether a host of the failure domain can be reached.
func (dispatcher *Dispatcher) recordHostVisibility(host identifier.HostID, lost bool) {
	if lost {
		dispatcher.lostHosts[host] = true
		return
	}
	delete(dispatcher.lostHosts, host)
}
