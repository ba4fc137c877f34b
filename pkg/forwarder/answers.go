package forwarder

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// recordAnswer takes the one answer of a submission. A second one is ignored.
func (forwarder *Forwarder) recordAnswer(input *AnswerArrived) {
	front := forwarder.fronts.Get(input.Answer.Submission)
	if front == nil {
		return
	}
	if front.answerHeldBack && input.From != forwarder.Self {
		forwarder.replaceHeldBack(input, front)
		return
	}
	if front.answer != nil {
		forwarder.confirmKnown(input, front)
		return
	}
	front.answer = trustedAnswer(input, front)
	submission := front.job.Submission
	forwarder.keepHandingOver(submission)
	forwarder.timers.Clear(timerKey{kind: timerHomeWait, submission: submission})
	forwarder.timers.Clear(timerKey{kind: timerCopyWait, submission: submission})
	forwarder.timers.Clear(timerKey{kind: timerAskAgain, submission: submission})
	forgetAt := forwarder.now.Add(forwarder.Settings.AnswerRetention)
	forwarder.timers.Set(timerKey{kind: timerForgetFront, submission: submission}, forgetAt)
	forwarder.confirmAnswer(input.From, front)
	if forwarder.mustSpreadFirst(input.From, front) {
		front.answerHeldBack = true
		front.heldBackAt = forwarder.now
		due := forwarder.now.Add(forwarder.Settings.CopyWait)
		forwarder.timers.Set(timerKey{kind: timerCopyWait, submission: submission}, due)
		return
	}
	forwarder.answerWaiters(front)
}

// confirmKnown confirms an answer that this host has already, and only that one.
//
// A lead that was deposed without knowing may have another answer than the new lead
// gave. If this host confirmed it, the deposed lead would take that for a second host
// that holds its answer, and tell its callers: a submission would have two. Unconfirmed,
// it asks its neighbours, which tell it who leads.
func (forwarder *Forwarder) confirmKnown(input *AnswerArrived, front *front) {
	if input.From == forwarder.Self || input.Answer.Outcome == front.answer.Outcome {
		forwarder.confirmAnswer(input.From, front)
	}
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
// hears it. That is so for failures, and for what did not run, where this host is
// the lead itself: if it died just after it had told them, the next lead could
// finish the job and a resend would hear that it is complete. It costs one message
// to a neighbour and back, which is sent anyway. A complete answer needs no such
// wait: its parts are kept by the backend servers, and the next lead puts the same
// answer together.
func (forwarder *Forwarder) mustSpreadFirst(from identifier.HostID, front *front) bool {
	mayChange := front.answer.Outcome == messenger.OutcomeFailed || front.answer.NotRun
	return from == forwarder.Self && mayChange && !front.answerAlone
}

// spreadHeldBack asks the next neighbour to hold an answer that none has confirmed
// in time. Where that goes on, this host may be cut off from the others, and one of
// them may have taken the cell: then the caller hears that nobody here can tell.
func (forwarder *Forwarder) spreadHeldBack(submission identifier.SubmissionID) {
	front := forwarder.fronts.Get(submission)
	if front == nil || !front.answerHeldBack {
		return
	}
	second := forwarder.secondHost(front.spreadTo)
	if second == "" || forwarder.now.Sub(front.heldBackAt) >= forwarder.Settings.HomeWait {
		front.answer = messenger.RefuseUnknown(submission, front.answer.Reason, front.answer.Detail)
		forwarder.answerWaiters(front)
		return
	}
	front.spreadTo = second
	forwarder.holdAnswerAt(second, front)
	due := forwarder.now.Add(forwarder.Settings.CopyWait)
	forwarder.timers.Set(timerKey{kind: timerCopyWait, submission: submission}, due)
}

func (forwarder *Forwarder) answerWaiters(front *front) {
	front.answerHeldBack = false
	front.job = front.job.WithoutTasks()
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
	if !slices.Contains(forwarder.living, second) {
		second = forwarder.secondHost("")
	}
	if second == "" {
		forwarder.keepAnswerAlone(front)
		return
	}
	front.spreadTo = second
	forwarder.holdAnswerAt(second, front)
}

// holdAnswerAt asks a neighbour to hold an answer of the lead's epoch.
func (forwarder *Forwarder) holdAnswerAt(neighbour identifier.HostID, front *front) {
	copied := messenger.AnswerCopy{Answer: front.answer}
	if known := forwarder.leads.Get(forwarder.cellOf(front.job)); known != nil {
		copied.Epoch = known.epoch
	}
	forwarder.add(&HoldAnswer{To: neighbour, Copy: copied})
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
			forwarder.add(&HoldAnswer{To: second, Copy: messenger.AnswerCopy{Answer: front.answer}})
		}
		return true
	})
}

func (forwarder *Forwarder) recordAnswerCopyHeld(input *AnswerCopyHeld) {
	if front := forwarder.fronts.Get(input.Submission); front != nil {
		front.partner = input.From
	}
	forwarder.add(&ConfirmAnswer{To: forwarder.Self, Submission: input.Submission})
	forwarder.releaseHeldBack(input.Submission)
}

// replaceHeldBack takes the answer that another host holds already in place of one
// that no caller has heard yet.
func (forwarder *Forwarder) replaceHeldBack(input *AnswerArrived, front *front) {
	front.answer = input.Answer
	forwarder.confirmAnswer(input.From, front)
	forwarder.releaseHeldBack(input.Answer.Submission)
}

func (forwarder *Forwarder) withdrawAnswer(front *front) {
	front.answer = nil
	front.answerHeldBack = false
	submission := front.job.Submission
	forwarder.timers.Clear(timerKey{kind: timerCopyWait, submission: submission})
	forwarder.timers.Clear(timerKey{kind: timerForgetFront, submission: submission})
}

// releaseHeldBack tells the callers an answer that waited for its second copy.
func (forwarder *Forwarder) releaseHeldBack(submission identifier.SubmissionID) {
	front := forwarder.fronts.Get(submission)
	if front != nil && front.answerHeldBack {
		forwarder.timers.Clear(timerKey{kind: timerCopyWait, submission: submission})
		forwarder.answerWaiters(front)
	}
}
