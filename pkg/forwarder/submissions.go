package forwarder

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// submit handles a job from a caller. A resend waits for, or gets, the answer of the first
// submission.
func (forwarder *Forwarder) submit(input *CallerSubmitted) {
	known := forwarder.localSubmissions.Get(input.Job.Submission)
	if known == nil && forwarder.isFull() {
		forwarder.refuseFull(input)
		return
	}
	if known == nil {
		forwarder.addSubmission(input)
		return
	}
	if !known.job.SameRequest(input.Job) {
		forwarder.answerConflict(input)
		return
	}
	if known.answer != nil && known.answer.ClaimsNothing() {
		forwarder.retryUnknown(known, input)
		return
	}
	forwarder.addWaiter(known, input.Waiter)
}

// retryUnknown forwards a submission again that was refused because its state was unknown. Its
// home may be reachable again.
func (forwarder *Forwarder) retryUnknown(known *localSubmission, input *CallerSubmitted) {
	known.answer = nil
	forwarder.stopAwaitingSecondHolder(known)
	known.job = input.Job
	known.deadline = input.Deadline
	known.forwardedTo = ""
	forwarder.timers.Clear(timerKey{kind: timerExpireSubmission, submission: input.Job.Submission})
	known.waiters = append(known.waiters, input.Waiter)
	forwarder.route(known)
}

func (forwarder *Forwarder) addSubmission(input *CallerSubmitted) {
	created := &localSubmission{
		job:       input.Job,
		deadline:  input.Deadline,
		waiters:   []WaiterID{input.Waiter},
		arrivedAt: forwarder.now,
	}
	forwarder.localSubmissions.Put(input.Job.Submission, created)
	forwarder.route(created)
}

func (forwarder *Forwarder) answerConflict(input *CallerSubmitted) {
	refusal := messenger.RefuseUnknown(input.Job.Submission, messenger.ReasonConflict,
		"the submission id is in use for another request")
	forwarder.emit(&AnswerCaller{Waiter: input.Waiter, Answer: refusal})
}

func (forwarder *Forwarder) addWaiter(localSubmission *localSubmission, waiter WaiterID) {
	if localSubmission.answer != nil && !localSubmission.answerWithheld {
		forwarder.emit(&AnswerCaller{Waiter: waiter, Answer: localSubmission.answer})
		return
	}
	localSubmission.waiters = append(localSubmission.waiters, waiter)
}

// route forwards an unanswered job to the lead of its cell, or waits for one.
func (forwarder *Forwarder) route(localSubmission *localSubmission) {
	submission := localSubmission.job.Submission
	lead := forwarder.leads.Get(forwarder.cellOf(localSubmission.job))
	if lead == nil || lead.host == "" || lead.unreachable {
		localSubmission.forwardedTo = ""
		due := identifier.Earlier(forwarder.now.Add(forwarder.homeWait(localSubmission.job.Home())), localSubmission.deadline)
		forwarder.timers.Set(timerKey{kind: timerHomeWait, submission: submission}, due)
		return
	}
	forwarder.timers.Clear(timerKey{kind: timerHomeWait, submission: submission})
	if lead.host == forwarder.Self && !localSubmission.copyHeld {
		forwarder.requestCopy(localSubmission)
		return
	}
	forwarder.forward(localSubmission, lead.host)
}

// requestCopy requests a copy of the submission at a second host before any of its tasks
// starts. Where no other host lives, the job is forwarded without a copy.
func (forwarder *Forwarder) requestCopy(localSubmission *localSubmission) {
	second := forwarder.secondHost(localSubmission.copyAt)
	if second == "" {
		localSubmission.copyHeld = true
		localSubmission.copyAt = ""
		forwarder.forward(localSubmission, forwarder.Self)
		return
	}
	localSubmission.copyAt = second
	record := forwarder.recordOf(localSubmission)
	record.Epoch = forwarder.leads.Get(forwarder.cellOf(localSubmission.job)).epoch
	forwarder.emit(&StoreCopies{To: second, Records: []messenger.CopyRecord{record}})
	due := identifier.Earlier(forwarder.now.Add(forwarder.Settings.CopyWait), localSubmission.deadline)
	forwarder.timers.Set(timerKey{kind: timerCopyWait, submission: localSubmission.job.Submission}, due)
}

// secondHost picks a living host of the failure domain other than this one, and other than the
// one tried before where there is a choice.
func (forwarder *Forwarder) secondHost(tried identifier.HostID) identifier.HostID {
	var fallback identifier.HostID
	for _, host := range forwarder.living {
		if host == forwarder.Self {
			continue
		}
		if host != tried {
			return host
		}
		fallback = host
	}
	return fallback
}

func (forwarder *Forwarder) forward(localSubmission *localSubmission, to identifier.HostID) {
	age := forwarder.now.Sub(localSubmission.arrivedAt)
	forwarder.emit(&ForwardJob{
		To: to,
		Forward: messenger.Forward{
			Job:                  localSubmission.job,
			Remaining:            localSubmission.deadline.Remaining(forwarder.now),
			MayHaveEarlierStarts: localSubmission.forwardedBefore,
			Age:                  age,
		},
		Deadline: localSubmission.deadline,
	})
	if localSubmission.forwardedTo != to {
		localSubmission.resends = 0
	}
	localSubmission.forwardedTo = to
	if !localSubmission.forwardedBefore {
		localSubmission.firstEpoch = forwarder.leads.Get(forwarder.cellOf(localSubmission.job)).epoch
	}
	localSubmission.forwardedBefore = true
	if to != forwarder.Self {
		localSubmission.partner = to
	}
	if localSubmission.cancelled {
		forwarder.forwardCancel(localSubmission)
	}
	wait := forwarder.Settings.ResendInterval << min(localSubmission.resends, maxResendDoublings)
	localSubmission.resends++
	due := forwarder.now.Add(wait)
	if latest := forwarder.answerDueAt(localSubmission); latest > forwarder.now {
		due = identifier.Earlier(due, latest)
	}
	forwarder.timers.Set(timerKey{kind: timerResend, submission: localSubmission.job.Submission}, due)
}

// answerDueAt returns when the lead's answer must have arrived: it is sent at the deadline at
// the latest and, if the lead is reachable, arrives within HomeWait.
func (forwarder *Forwarder) answerDueAt(localSubmission *localSubmission) identifier.Moment {
	if localSubmission.deadline == identifier.Never {
		return identifier.Never
	}
	return localSubmission.deadline.Add(forwarder.Settings.HomeWait)
}

// maxResendDoublings bounds the backoff between resends of an unanswered job.
const maxResendDoublings = 4

// resend forwards a job again that has no answer yet. The job, or its answer from a third
// host, may have been lost with a connection whose end this host did not notice, and the
// caller would wait for ever. The lead recognises the submission and sends the one answer
// again, or makes the host that keeps it send it.
func (forwarder *Forwarder) resend(submission identifier.SubmissionID) {
	localSubmission := forwarder.localSubmissions.Get(submission)
	if localSubmission == nil || localSubmission.answer != nil {
		return
	}
	if forwarder.answerDueAt(localSubmission).Due(forwarder.now) {
		forwarder.refuseLate(localSubmission, "the deadline passed and the lead of the job's home does not answer")
		return
	}
	forwarder.route(localSubmission)
}

// recordLead records which host leads a cell and forwards the unanswered jobs of the cell to a
// new lead. A notice without a host means that no living host leads the cell.
func (forwarder *Forwarder) recordLead(input *LeadChanged) {
	key := cellKey{failureDomain: input.Notice.FailureDomain, cell: input.Notice.Cell}
	known := forwarder.leads.Get(key)
	switch {
	case input.Notice.Host == "":
		forwarder.markUnreachable(key, known)
	case known == nil || input.Notice.Epoch > known.epoch, known.replacedBy(input.Notice):
		learned := &lead{host: input.Notice.Host, epoch: input.Notice.Epoch}
		if known != nil {
			learned.promised = known.promised
		}
		forwarder.leads.Put(key, learned)
		forwarder.rerouteCell(key)
	case input.Notice.Epoch == known.epoch && known.unreachable:
		// The same lead is reachable again. It recognises a job that it already has.
		known.unreachable = false
		forwarder.rerouteCell(key)
	}
}

// replacedBy reports whether another host leads under the same epoch. Two hosts that start
// together may both acquire the first epoch; the elector then settles on one.
func (lead *lead) replacedBy(notice messenger.LeadNotice) bool {
	return notice.Epoch == lead.epoch && notice.Host != lead.host
}

// markUnreachable makes the unanswered jobs of a cell wait until it has a lead.
func (forwarder *Forwarder) markUnreachable(key cellKey, known *lead) {
	if known == nil || known.unreachable {
		return
	}
	known.unreachable = true
	forwarder.rerouteCell(key)
}

// rerouteCell routes the unanswered jobs of a cell again.
func (forwarder *Forwarder) rerouteCell(key cellKey) {
	forwarder.localSubmissions.Each(func(_ identifier.SubmissionID, localSubmission *localSubmission) bool {
		if forwarder.cellOf(localSubmission.job) != key {
			return true
		}
		if localSubmission.answerWithheld {
			// No caller has received this answer, and the new lead may send another.
			forwarder.withdrawAnswer(localSubmission)
		}
		if localSubmission.answer == nil {
			forwarder.route(localSubmission)
		}
		return true
	})
}

// rerouteToHost forwards the unanswered jobs of a lead again after a new connection to it:
// messages in flight on the old one may be lost. The lead recognises a resend.
func (forwarder *Forwarder) rerouteToHost(host identifier.HostID) {
	forwarder.leads.Each(func(key cellKey, lead *lead) bool {
		if lead.host == host && !lead.unreachable {
			forwarder.rerouteCell(key)
		}
		return true
	})
}

// cancelUnforwarded ends a job that this host has forwarded to no lead. Another host may have
// received an earlier submission, so the answer does not claim "not run".
func (forwarder *Forwarder) cancelUnforwarded(localSubmission *localSubmission) {
	forwarder.answerLocally(localSubmission, messenger.RefuseUnknown(localSubmission.job.Submission, messenger.ReasonCancelled,
		"the caller cancelled before the job reached its lead"))
}

// shutdownRetryAfter is how long a caller whose host stopped before its job ended should wait
// before it queries another host, which has the records of the job by then.
const shutdownRetryAfter = time.Second

// answerAllOnShutdown answers every caller that still waits when this host must stop. If the
// connections were just closed, callers could not know whether their jobs run. The jobs
// continue at their leads, and other hosts hold their records: a resend to one of them gets
// the one answer.
func (forwarder *Forwarder) answerAllOnShutdown() {
	forwarder.localSubmissions.Each(func(submission identifier.SubmissionID, localSubmission *localSubmission) bool {
		if localSubmission.answer != nil && !localSubmission.answerWithheld {
			return true
		}
		refusal := messenger.RefuseUnknown(submission, messenger.ReasonShuttingDown,
			"this host ends before the job; ask another host of failure domain "+string(localSubmission.job.Home())+" for its answer")
		refusal.RetryAfter = shutdownRetryAfter
		forwarder.answerLocally(localSubmission, refusal)
		return true
	})
	forwarder.refuseAllLookups()
}

func (forwarder *Forwarder) answerLocally(localSubmission *localSubmission, answer *messenger.JobAnswer) {
	localSubmission.answer = answer
	forwarder.answerWaiters(localSubmission)
	expiresAt := forwarder.now.Add(forwarder.Settings.AnswerRetention)
	forwarder.timers.Set(timerKey{kind: timerExpireSubmission, submission: localSubmission.job.Submission}, expiresAt)
}
