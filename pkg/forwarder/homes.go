package forwarder

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// handleDomainChanged records whether any host of a failure domain lives. Jobs that wait for a
// home without living hosts are refused after a shorter wait.
func (forwarder *Forwarder) handleDomainChanged(input *DomainChanged) {
	if forwarder.lostDomains[input.FailureDomain] == !input.Living {
		return
	}
	if input.Living {
		delete(forwarder.lostDomains, input.FailureDomain)
		return
	}
	forwarder.lostDomains[input.FailureDomain] = true
	forwarder.localSubmissions.Each(func(_ identifier.SubmissionID, localSubmission *localSubmission) bool {
		if localSubmission.answer == nil && localSubmission.job.Home() == input.FailureDomain {
			forwarder.route(localSubmission)
		}
		return true
	})
}

// homeWait returns how long a job may wait for a lead of its home.
func (forwarder *Forwarder) homeWait(home identifier.FailureDomain) time.Duration {
	if forwarder.lostDomains[home] {
		return forwarder.Settings.DeadHomeWait
	}
	return forwarder.Settings.HomeWait
}

// refuseHomeUnreachable refuses a job whose home has no reachable lead. An earlier submission
// may have reached the home, so the refusal does not claim "not run". No other failure domain
// runs the job instead: none can know what has started at the home, whose backend servers may
// still be working.
func (forwarder *Forwarder) refuseHomeUnreachable(key timerKey) {
	localSubmission := forwarder.localSubmissions.Get(key.submission)
	if localSubmission == nil || localSubmission.answer != nil {
		return
	}
	if localSubmission.deadline.Due(forwarder.now) {
		forwarder.refuseLate(localSubmission, "the deadline passed while no lead of the job's home could be reached")
		return
	}
	home := localSubmission.job.Home()
	detail := "no lead of the job's home failure domain " + string(home) + " can be reached"
	if forwarder.lostDomains[home] {
		detail = "no entry host of the job's home failure domain " + string(home) + " lives or can be reached"
	}
	refusal := messenger.RefuseUnknown(key.submission, messenger.ReasonHomeUnreachable,
		detail+"; submit it under a new id with another failure domain first")
	refusal.RetryAfter = forwarder.Settings.HomeWait
	forwarder.answerLocally(localSubmission, refusal)
}

// refuseLate ends a job whose deadline has passed while this host waited for others. Tasks of
// an earlier submission may have started, so it does not claim "not run".
func (forwarder *Forwarder) refuseLate(localSubmission *localSubmission, detail string) {
	forwarder.answerLocally(localSubmission, messenger.RefuseUnknown(localSubmission.job.Submission, messenger.ReasonDeadlinePassed, detail))
}

// isFull reports whether this host holds the maximum number of submissions. Held ones are
// never evicted early for new ones.
func (forwarder *Forwarder) isFull() bool {
	return forwarder.localSubmissions.Len()+forwarder.copies.Len() >= forwarder.Settings.MaxRecords
}

// refuseFull refuses a new submission. Another host may have received it earlier, so the
// refusal does not claim "not run".
func (forwarder *Forwarder) refuseFull(input *CallerSubmitted) {
	refusal := messenger.RefuseUnknown(input.Job.Submission, messenger.ReasonQueueFull,
		"this entry host remembers as many submissions as its settings allow; send it to another")
	refusal.RetryAfter = time.Second
	forwarder.emit(&AnswerCaller{Waiter: input.Waiter, Answer: refusal})
}
