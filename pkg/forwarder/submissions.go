package forwarder

import (
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// submit takes a job from a caller. A resend waits for, or gets, the answer of
// the first sending.
func (forwarder *Forwarder) submit(input *CallerSubmitted) {
	known := forwarder.fronts.Get(input.Job.Submission)
	if known == nil {
		forwarder.begin(input)
		return
	}
	if !known.job.SameRequest(input.Job) {
		forwarder.answerConflict(input)
		return
	}
	forwarder.join(known, input.Waiter)
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
	if front.answer != nil {
		forwarder.add(&AnswerCaller{Waiter: waiter, Answer: front.answer})
		return
	}
	front.waiters = append(front.waiters, waiter)
}

// route hands an unanswered job to the lead of its cell, or waits for one.
func (forwarder *Forwarder) route(front *front) {
	submission := front.job.Submission
	lead := forwarder.leads.Get(forwarder.cellOf(front.job))
	if lead == nil || lead.unreachable {
		front.forwardedTo = ""
		due := identifier.Earlier(forwarder.now.Add(forwarder.Settings.HomeWait), front.deadline)
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
	forwarder.add(&HoldCopies{To: second, Records: []messenger.CopyRecord{forwarder.recordOf(front)}})
	due := forwarder.now.Add(forwarder.Settings.CopyWait)
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
	front.forwardedTo = to
	front.forwardedBefore = true
	if front.cancelled {
		forwarder.forwardCancel(front)
	}
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
		forwarder.leads.Put(key, &lead{host: input.Notice.Host, epoch: input.Notice.Epoch})
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
		if front.answer == nil && forwarder.cellOf(front.job) == key {
			forwarder.route(front)
		}
		return true
	})
}

// recordAnswer takes the one answer of a submission. A second one is ignored.
func (forwarder *Forwarder) recordAnswer(input *AnswerArrived) {
	front := forwarder.fronts.Get(input.Answer.Submission)
	if front == nil {
		forwarder.answerQuestion(input)
		return
	}
	if front.answer != nil {
		forwarder.confirmAnswer(input.From, front)
		return
	}
	front.answer = input.Answer
	submission := front.job.Submission
	forwarder.timers.Clear(timerKey{kind: timerHomeWait, submission: submission})
	forwarder.timers.Clear(timerKey{kind: timerCopyWait, submission: submission})
	forgetAt := forwarder.now.Add(forwarder.Settings.AnswerRetention)
	forwarder.timers.Set(timerKey{kind: timerForgetFront, submission: submission}, forgetAt)
	for _, waiter := range front.waiters {
		forwarder.add(&AnswerCaller{Waiter: waiter, Answer: front.answer})
	}
	front.waiters = nil
	forwarder.confirmAnswer(input.From, front)
}

// confirmAnswer tells the lead that two hosts hold the answer. Where this host
// is the lead, another host must hold a copy first.
func (forwarder *Forwarder) confirmAnswer(from identifier.HostID, front *front) {
	if from != forwarder.Self {
		forwarder.add(&ConfirmAnswer{To: from, Submission: front.job.Submission})
		return
	}
	second := front.copyAt
	if second == "" {
		second = forwarder.secondHost("")
	}
	if second == "" {
		forwarder.add(&ConfirmAnswer{To: forwarder.Self, Submission: front.job.Submission})
		return
	}
	forwarder.add(&HoldAnswer{To: second, Answer: front.answer})
}

func (forwarder *Forwarder) recordAnswerCopyHeld(input *AnswerCopyHeld) {
	forwarder.add(&ConfirmAnswer{To: forwarder.Self, Submission: input.Submission})
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

func (forwarder *Forwarder) answerHere(front *front, answer *messenger.JobAnswer) {
	front.answer = answer
	for _, waiter := range front.waiters {
		forwarder.add(&AnswerCaller{Waiter: waiter, Answer: answer})
	}
	front.waiters = nil
	forgetAt := forwarder.now.Add(forwarder.Settings.AnswerRetention)
	forwarder.timers.Set(timerKey{kind: timerForgetFront, submission: front.job.Submission}, forgetAt)
}
