package forwarder

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// changeDomain notes whether any host of a failure domain lives. Jobs that wait for
// a home of which nobody lives are refused soon.
func (forwarder *Forwarder) changeDomain(input *DomainChanged) {
	if forwarder.lostDomains[input.FailureDomain] == !input.Living {
		return
	}
	if input.Living {
		delete(forwarder.lostDomains, input.FailureDomain)
		return
	}
	forwarder.lostDomains[input.FailureDomain] = true
	forwarder.fronts.Each(func(_ identifier.SubmissionID, front *front) bool {
		if front.answer == nil && front.job.Home() == input.FailureDomain {
			forwarder.route(front)
		}
		return true
	})
}

// homeWait returns how long a job may wait for a lead of its home.
func (forwarder *Forwarder) homeWait(home identifier.FailureDomain) time.Duration {
	if forwarder.lostDomains[home] {
		return forwarder.Settings.LostHomeWait
	}
	return forwarder.Settings.HomeWait
}

// giveUpHome refuses a job whose home has no reachable lead. An earlier sending
// may have reached the home, so the refusal does not say "not run". No other failure
// domain takes the job in its place: none can know what has started at the home,
// whose backend servers may still be at work.
func (forwarder *Forwarder) giveUpHome(key timerKey) {
	front := forwarder.fronts.Get(key.submission)
	if front == nil || front.answer != nil {
		return
	}
	if front.deadline.Due(forwarder.now) {
		forwarder.refuseLate(front, "the deadline passed while no lead of the job's home could be reached")
		return
	}
	home := front.job.Home()
	detail := "no lead of the job's home failure domain " + string(home) + " can be reached"
	if forwarder.lostDomains[home] {
		detail = "no entry host of the job's home failure domain " + string(home) + " lives or can be reached"
	}
	refusal := messenger.RefuseUnknown(key.submission, messenger.ReasonHomeUnreachable,
		detail+"; submit it under a new id with another failure domain first")
	refusal.RetryAfter = forwarder.Settings.HomeWait
	forwarder.answerHere(front, refusal)
}

// refuseLate ends a job whose deadline has passed while this host waited for others.
// An earlier sending may have started, so it does not say "not run".
func (forwarder *Forwarder) refuseLate(front *front, detail string) {
	forwarder.answerHere(front, messenger.RefuseUnknown(front.job.Submission, messenger.ReasonDeadlinePassed, detail))
}

// full tells whether this host remembers as many submissions as it may. What it
// remembers is never dropped early for new ones.
func (forwarder *Forwarder) full() bool {
	return forwarder.fronts.Len()+forwarder.copies.Len() >= forwarder.Settings.Records
}

// refuseFull refuses a new submission. Another host may have had it earlier, so the
// refusal does not say "not run".
func (forwarder *Forwarder) refuseFull(input *CallerSubmitted) {
	refusal := messenger.RefuseUnknown(input.Job.Submission, messenger.ReasonQueueFull,
		"this entry host remembers as many submissions as its settings allow; send it to another")
	refusal.RetryAfter = time.Second
	forwarder.add(&AnswerCaller{Waiter: input.Waiter, Answer: refusal})
}
