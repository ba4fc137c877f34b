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
	record := forwarder.recordOf(front)
	record.Epoch = forwarder.leads.Get(forwarder.cellOf(front.job)).epoch
	forwarder.add(&HoldCopies{To: second, Records: []messenger.CopyRecord{record}})
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
	last := forwarder.now
	if front.deadline != identifier.Never {
		last = max(last, front.deadline)
	}
	forwarder.timers.Set(timerKey{kind: timerAskAgain, submission: front.job.Submission}, last.Add(forwarder.Settings.AskAgain))
}

// askAgain forwards a job again whose answer is overdue. The answer may have been
// lost on its way from a third host, over a connection whose end told this host
// nothing about the lead; the caller would wait for ever. The lead, or the host
// that it asks, sends the one answer again.
func (forwarder *Forwarder) askAgain(submission identifier.SubmissionID) {
	if front := forwarder.fronts.Get(submission); front != nil && front.answer == nil {
		forwarder.route(front)
	}
}

// recordLead notes who leads a cell and forwards the unanswered jobs of the cell
// to a new lead.
func (forwarder *Forwarder) recordLead(input *LeadKnown) {
	key := cellKey{failureDomain: input.Notice.FailureDomain, cell: input.Notice.Cell}
	known := forwarder.leads.Get(key)
	if known != nil && known.epoch >= input.Notice.Epoch {
		return
	}
	learned := &lead{host: input.Notice.Host, epoch: input.Notice.Epoch}
	if known != nil {
		learned.promised = known.promised
	}
	forwarder.leads.Put(key, learned)
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

// recordReachability holds back the jobs of a lead that can't be reached, and
// forwards them again once it can; the lead knows a resend when it sees one.
func (forwarder *Forwarder) recordReachability(input *HostReachable) {
	forwarder.leads.Each(func(key cellKey, lead *lead) bool {
		if lead.host != input.Host || lead.unreachable == !input.Reachable {
			return true
		}
		lead.unreachable = !input.Reachable
		forwarder.routeCell(key)
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
	front.answer = trustedAnswer(input, front)
	submission := front.job.Submission
	forwarder.timers.Clear(timerKey{kind: timerHomeWait, submission: submission})
	forwarder.timers.Clear(timerKey{kind: timerCopyWait, submission: submission})
	forwarder.timers.Clear(timerKey{kind: timerAskAgain, submission: submission})
	forgetAt := forwarder.now.Add(forwarder.Settings.AnswerRetention)
	forwarder.timers.Set(timerKey{kind: timerForgetFront, submission: submission}, forgetAt)
	forwarder.confirmAnswer(input.From, front)
	if forwarder.mustSpreadFirst(input.From, front) {
		front.answerHeldBack = true
		due := forwarder.now.Add(forwarder.Settings.CopyWait)
		forwarder.timers.Set(timerKey{kind: timerCopyWait, submission: submission}, due)
		return
	}
	forwarder.answerWaiters(front)
}

// trustedAnswer takes the claim "not run" out of an answer that does not come from
// the lead which has the job now: a lead that was deposed can't know what the next
// one starts.
func trustedAnswer(input *AnswerArrived, front *front) *messenger.JobAnswer {
	if !input.Answer.NotRun || input.From == front.forwardedTo {
		return input.Answer
	}
	careful := *input.Answer
	careful.NotRun = false
	return &careful
}

// mustSpreadFirst tells whether another host must hold the answer before a caller
// hears it. That is so for failures where this host is the lead itself: if it died
// just after it had told the failure, the next lead could finish the job and a
// resend would hear that it is complete. It costs one message to a neighbour and
// back. A complete answer needs no such wait: its parts are kept by the backend
// servers, and the next lead puts the same answer together.
func (forwarder *Forwarder) mustSpreadFirst(from identifier.HostID, front *front) bool {
	return from == forwarder.Self && front.answer.Outcome == messenger.OutcomeFailed && !front.answerAlone
}

func (forwarder *Forwarder) answerWaiters(front *front) {
	front.answerHeldBack = false
	for _, waiter := range front.waiters {
		forwarder.add(&AnswerCaller{Waiter: waiter, Answer: front.answer})
	}
	front.waiters = nil
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
		forwarder.keepAnswerAlone(front)
		return
	}
	forwarder.add(&HoldAnswer{To: second, Answer: front.answer})
}

// keepAnswerAlone waits for a second host to hold the answer. Meanwhile the
// backend servers keep the answers of the tasks: if they forgot them at once and
// another host took the cell, it would find no trace of the submission and a
// resend would run again. The wait is bounded, because backend servers hold the
// answers of every job meanwhile.
func (forwarder *Forwarder) keepAnswerAlone(front *front) {
	front.answerAlone = true
	due := forwarder.now.Add(forwarder.Settings.LoneAnswerWait)
	forwarder.timers.Set(timerKey{kind: timerLoneAnswer, submission: front.job.Submission}, due)
}

// confirmLoneAnswer goes on without a second host once the wait is over.
func (forwarder *Forwarder) confirmLoneAnswer(submission identifier.SubmissionID) {
	front := forwarder.fronts.Get(submission)
	if front == nil || !front.answerAlone {
		return
	}
	front.answerAlone = false
	forwarder.add(&ConfirmAnswer{To: forwarder.Self, Submission: submission})
}

// spreadLoneAnswers has a host that has come hold the answers which stand here
// alone.
func (forwarder *Forwarder) spreadLoneAnswers() {
	second := forwarder.secondHost("")
	if second == "" {
		return
	}
	forwarder.fronts.Each(func(submission identifier.SubmissionID, front *front) bool {
		if front.answerAlone {
			front.answerAlone = false
			forwarder.timers.Clear(timerKey{kind: timerLoneAnswer, submission: submission})
			forwarder.add(&HoldAnswer{To: second, Answer: front.answer})
		}
		return true
	})
}

func (forwarder *Forwarder) recordAnswerCopyHeld(input *AnswerCopyHeld) {
	forwarder.add(&ConfirmAnswer{To: forwarder.Self, Submission: input.Submission})
	forwarder.releaseHeldBack(input.Submission)
}

// releaseHeldBack tells the callers an answer that waited for its second copy.
func (forwarder *Forwarder) releaseHeldBack(submission identifier.SubmissionID) {
	front := forwarder.fronts.Get(submission)
	if front != nil && front.answerHeldBack {
		forwarder.timers.Clear(timerKey{kind: timerCopyWait, submission: submission})
		forwarder.answerWaiters(front)
	}
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
	forwarder.answerWaiters(front)
	forgetAt := forwarder.now.Add(forwarder.Settings.AnswerRetention)
	forwarder.timers.Set(timerKey{kind: timerForgetFront, submission: front.job.Submission}, forgetAt)
}
