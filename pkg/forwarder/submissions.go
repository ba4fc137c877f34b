package forwarder

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// submit takes a job from a caller. A resend waits for, or gets, the answer of
// the first sending.
func (forwarder *Forwarder) submit(input *CallerSubmitted) {
	known := forwarder.fronts.Get(input.Job.Submission)
	if known == nil && forwarder.full() {
		forwarder.refuseFull(input)
		return
	}
	if known == nil {
		forwarder.begin(input)
		return
	}
	if !known.job.SameRequest(input.Job) {
		forwarder.answerConflict(input)
		return
	}
	if known.answer != nil && known.answer.ClaimsNothing() {
		forwarder.beginAgain(known, input)
		return
	}
	forwarder.join(known, input.Waiter)
}

// beginAgain asks anew for a submission that was refused because nobody could tell
// what became of it. Its home may be back.
func (forwarder *Forwarder) beginAgain(known *front, input *CallerSubmitted) {
	known.answer = nil
	known.job = input.Job
	known.deadline = input.Deadline
	known.forwardedTo = ""
	forwarder.timers.Clear(timerKey{kind: timerForgetFront, submission: input.Job.Submission})
	known.waiters = append(known.waiters, input.Waiter)
	forwarder.route(known)
}

func (forwarder *Forwarder) begin(input *CallerSubmitted) {
	created := &front{
		job:       input.Job,
		deadline:  input.Deadline,
		waiters:   []WaiterID{input.Waiter},
		arrivedAt: forwarder.now,
	}
	forwarder.fronts.Put(input.Job.Submission, created)
	forwarder.route(created)
}

func (forwarder *Forwarder) answerConflict(input *CallerSubmitted) {
	refusal := messenger.RefuseUnknown(input.Job.Submission, messenger.ReasonConflict,
		"the submission id is in use for another request")
	forwarder.add(&AnswerCaller{Waiter: input.Waiter, Answer: refusal})
}

func (forwarder *Forwarder) join(front *front, waiter WaiterID) {
	if front.answer != nil && !front.answerHeldBack {
		forwarder.add(&AnswerCaller{Waiter: waiter, Answer: front.answer})
		return
	}
	front.waiters = append(front.waiters, waiter)
}

// route hands an unanswered job to the lead of its cell, or waits for one.
func (forwarder *Forwarder) route(front *front) {
	submission := front.job.Submission
	lead := forwarder.leads.Get(forwarder.cellOf(front.job))
	if lead == nil || lead.host == "" || lead.unreachable {
		front.forwardedTo = ""
		due := identifier.Earlier(forwarder.now.Add(forwarder.homeWait(front.job.Home())), front.deadline)
		forwarder.timers.Set(timerKey{kind: timerHomeWait, submission: submission}, due)
		return
	}
	forwarder.timers.Clear(timerKey{kind: timerHomeWait, submission: submission})
	if lead.host == forwarder.Self && !front.copyHeld {
		forwarder.requestCopy(front)
		return
	}
	forwarder.forward(front, lead.host)
}

// requestCopy asks a second host to remember the submission before anything of
// it starts. Where no other host lives, the job goes on without a copy.
func (forwarder *Forwarder) requestCopy(front *front) {
	second := forwarder.secondHost(front.copyAt)
	if second == "" {
		front.copyHeld = true
		front.copyAt = ""
		forwarder.forward(front, forwarder.Self)
		return
	}
	front.copyAt = second
	record := forwarder.recordOf(front)
	record.Epoch = forwarder.leads.Get(forwarder.cellOf(front.job)).epoch
	forwarder.add(&HoldCopies{To: second, Records: []messenger.CopyRecord{record}})
	due := identifier.Earlier(forwarder.now.Add(forwarder.Settings.CopyWait), front.deadline)
	forwarder.timers.Set(timerKey{kind: timerCopyWait, submission: front.job.Submission}, due)
}

// secondHost picks a living host of the failure domain other than this one, and
// other than the one tried before where there is a choice.
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

func (forwarder *Forwarder) forward(front *front, to identifier.HostID) {
	age := forwarder.now.Sub(front.arrivedAt)
	forwarder.add(&ForwardJob{
		To: to,
		Forward: messenger.Forward{
			Job:       front.job,
			Remaining: front.deadline.Remaining(forwarder.now),
			Again:     front.forwardedBefore,
			Age:       age,
		},
		Deadline: front.deadline,
	})
	if front.forwardedTo != to {
		front.resends = 0
	}
	front.forwardedTo = to
	if !front.forwardedBefore {
		front.firstEpoch = forwarder.leads.Get(forwarder.cellOf(front.job)).epoch
	}
	front.forwardedBefore = true
	if to != forwarder.Self {
		front.partner = to
	}
	if front.cancelled {
		forwarder.forwardCancel(front)
	}
	wait := forwarder.Settings.AskAgain << min(front.resends, mostDoublings)
	front.resends++
	due := forwarder.now.Add(wait)
	if latest := forwarder.latestAnswer(front); latest > forwarder.now {
		due = identifier.Earlier(due, latest)
	}
	forwarder.timers.Set(timerKey{kind: timerAskAgain, submission: front.job.Submission}, due)
}

// latestAnswer is when the lead's answer must be here: it comes with the deadline,
// if the lead can be reached.
func (forwarder *Forwarder) latestAnswer(front *front) identifier.Moment {
	if front.deadline == identifier.Never {
		return identifier.Never
	}
	return front.deadline.Add(forwarder.Settings.HomeWait)
}

// mostDoublings bounds how rare the resends of an unanswered job become.
const mostDoublings = 4

// askAgain forwards a job again that has no answer yet. The job, or its answer from
// a third host, may have been lost with a connection whose end told this host
// nothing; the caller would wait for ever. The lead knows the submission and sends
// the one answer again, or has the host send it that keeps it.
func (forwarder *Forwarder) askAgain(submission identifier.SubmissionID) {
	front := forwarder.fronts.Get(submission)
	if front == nil || front.answer != nil {
		return
	}
	if forwarder.latestAnswer(front).Due(forwarder.now) {
		forwarder.refuseLate(front, "the deadline passed and the lead of the job's home does not answer")
		return
	}
	forwarder.route(front)
}

// recordLead notes who leads a cell and forwards the unanswered jobs of the cell
// to a new lead. A notice without a host tells that no living host leads it.
func (forwarder *Forwarder) recordLead(input *LeadKnown) {
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
		forwarder.routeCell(key)
	case input.Notice.Epoch == known.epoch && known.unreachable:
		// The same lead can be reached again. It knows a job that it has already.
		known.unreachable = false
		forwarder.routeCell(key)
	}
}

// replacedBy tells whether another host leads under the same epoch. Two hosts that
// start together may both take the first epoch; the elector then settles on one.
func (lead *lead) replacedBy(notice messenger.LeadNotice) bool {
	return notice.Epoch == lead.epoch && notice.Host != lead.host
}

// markUnreachable holds the unanswered jobs of a cell back until it has a lead.
func (forwarder *Forwarder) markUnreachable(key cellKey, known *lead) {
	if known == nil || known.unreachable {
		return
	}
	known.unreachable = true
	forwarder.routeCell(key)
}

// routeCell forwards the unanswered jobs of a cell anew.
func (forwarder *Forwarder) routeCell(key cellKey) {
	forwarder.fronts.Each(func(_ identifier.SubmissionID, front *front) bool {
		if forwarder.cellOf(front.job) != key {
			return true
		}
		if front.answerHeldBack {
			// Nobody has heard this answer, and the new lead may give another.
			forwarder.withdrawAnswer(front)
		}
		if front.answer == nil {
			forwarder.route(front)
		}
		return true
	})
}

// routeToAgain forwards the unanswered jobs of a lead again to which a new
// connection stands: what was under way on the old one may be lost. The lead knows
// a resend when it sees one.
func (forwarder *Forwarder) routeToAgain(host identifier.HostID) {
	forwarder.leads.Each(func(key cellKey, lead *lead) bool {
		if lead.host == host && !lead.unreachable {
			forwarder.routeCell(key)
		}
		return true
	})
}

// cancel hands a cancellation to the lead of the caller's own submission.
func (forwarder *Forwarder) cancel(input *CallerCancelled) {
	front := forwarder.fronts.Get(input.Submission)
	if front == nil || front.job.Caller != input.Caller {
		forwarder.cancelElsewhere(input)
		return
	}
	forwarder.join(front, input.Waiter)
	if front.answer != nil {
		return
	}
	if front.forwardedTo == "" {
		forwarder.cancelUnforwarded(front)
		return
	}
	front.cancelled = true
	forwarder.forwardCancel(front)
}

func (forwarder *Forwarder) forwardCancel(front *front) {
	cancel := messenger.Cancel{Submission: front.job.Submission, Caller: front.job.Caller}
	forwarder.add(&ForwardCancel{To: front.forwardedTo, Cancel: cancel})
}

// cancelUnforwarded ends a job that no lead has had from this host. Another host
// may have had an earlier sending, so the answer does not claim "not run".
func (forwarder *Forwarder) cancelUnforwarded(front *front) {
	forwarder.answerHere(front, messenger.RefuseUnknown(front.job.Submission, messenger.ReasonCancelled,
		"the caller cancelled before the job reached its lead"))
}

// askElsewhere is when a caller whose host ended before its job may ask for it elsewhere: by then
// the next host has what was known of the job.
const askElsewhere = time.Second

// endAll answers every caller that still waits when this host must end. A shutdown that just
// closed the connections would leave them to guess whether their jobs run. The jobs go on at their
// leads, and other hosts hold their records: a resend to one of them gets the one answer.
func (forwarder *Forwarder) endAll() {
	forwarder.fronts.Each(func(submission identifier.SubmissionID, front *front) bool {
		if front.answer != nil && !front.answerHeldBack {
			return true
		}
		refusal := messenger.RefuseUnknown(submission, messenger.ReasonShuttingDown,
			"this host ends before the job; ask another host of failure domain "+string(front.job.Home())+" for its answer")
		refusal.RetryAfter = askElsewhere
		forwarder.answerHere(front, refusal)
		return true
	})
	forwarder.endQuestions()
}

func (forwarder *Forwarder) answerHere(front *front, answer *messenger.JobAnswer) {
	front.answer = answer
	forwarder.answerWaiters(front)
	forgetAt := forwarder.now.Add(forwarder.Settings.AnswerRetention)
	forwarder.timers.Set(timerKey{kind: timerForgetFront, submission: front.job.Submission}, forgetAt)
}
