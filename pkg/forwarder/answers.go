package forwarder

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// recordAnswer records the one answer of a submission. A second one is ignored.
func (forwarder *Forwarder) recordAnswer(input *AnswerArrived) {
	localSubmission := forwarder.localSubmissions.Get(input.Answer.Submission)
	if localSubmission == nil {
		return
	}
	if localSubmission.answerWithheld && input.From != forwarder.Self {
		forwarder.replaceWithheldAnswer(input, localSubmission)
		return
	}
	if localSubmission.answer != nil {
		forwarder.confirmSameAnswer(input, localSubmission)
		return
	}
	localSubmission.answer = dropUntrustedNotRun(input, localSubmission)
	submission := localSubmission.job.Submission
	forwarder.replicateIfLeaving(submission)
	forwarder.timers.Clear(timerKey{kind: timerHomeWait, submission: submission})
	forwarder.timers.Clear(timerKey{kind: timerCopyWait, submission: submission})
	forwarder.timers.Clear(timerKey{kind: timerResend, submission: submission})
	forwarder.timers.Clear(timerKey{kind: timerCancel, submission: submission})
	expiresAt := forwarder.now.Add(forwarder.Settings.AnswerRetention)
	forwarder.timers.Set(timerKey{kind: timerExpireSubmission, submission: submission}, expiresAt)
	forwarder.confirmAnswer(input.From, localSubmission)
	if forwarder.mustReplicateFirst(input.From, localSubmission) {
		localSubmission.answerWithheld = true
		localSubmission.withheldAt = forwarder.now
		due := forwarder.now.Add(forwarder.Settings.CopyWait)
		forwarder.timers.Set(timerKey{kind: timerCopyWait, submission: submission}, due)
		return
	}
	forwarder.answerWaiters(localSubmission)
}

// confirmSameAnswer confirms an answer only if this host already has the same one.
//
// A deposed lead that does not know of its loss may have a different answer than the new lead.
// If this host confirmed it, the deposed lead would conclude that a second host holds its
// answer, and send it to its callers: a submission would have two answers. Unconfirmed, it
// queries its neighbours, which notify it of the new lead.
func (forwarder *Forwarder) confirmSameAnswer(input *AnswerArrived, localSubmission *localSubmission) {
	if input.From == forwarder.Self || input.Answer.Outcome == localSubmission.answer.Outcome {
		forwarder.confirmAnswer(input.From, localSubmission)
	}
}

// dropUntrustedNotRun removes the claim "not run" from an answer that does not come from the
// lead which has the job now: a deposed lead cannot know what the next one starts.
func dropUntrustedNotRun(input *AnswerArrived, localSubmission *localSubmission) *messenger.JobAnswer {
	if !input.Answer.NotRun || input.From == localSubmission.forwardedTo {
		return input.Answer
	}
	copied := *input.Answer
	copied.NotRun = false
	return &copied
}

// mustReplicateFirst reports whether another host must hold the answer before a caller gets
// it. That is so where this host is the lead itself, for failures and for answers that claim
// "not run": if it died just after it had sent them, the next lead could finish the job and
// answer a resend as complete. It costs one round trip to a neighbour, which takes place
// anyway. A complete answer needs no such wait: backend servers keep the answers of its tasks,
// and the next lead assembles the same answer.
func (forwarder *Forwarder) mustReplicateFirst(from identifier.HostID, localSubmission *localSubmission) bool {
	mayChange := localSubmission.answer.Outcome == messenger.OutcomeFailed || localSubmission.answer.NotRun
	return from == forwarder.Self && mayChange && !localSubmission.awaitsSecondHolder
}

// replicateWithheldAnswer requests that the next neighbour hold an answer that none has
// confirmed in time. If no neighbour confirms within HomeWait or none lives, this host may be
// cut off and another one may have acquired the cell. Then the caller gets the answer that the
// state of the job is unknown.
func (forwarder *Forwarder) replicateWithheldAnswer(submission identifier.SubmissionID) {
	localSubmission := forwarder.localSubmissions.Get(submission)
	if localSubmission == nil || !localSubmission.answerWithheld {
		return
	}
	second := forwarder.secondHost(localSubmission.answerCopyAt)
	if second == "" || forwarder.now.Sub(localSubmission.withheldAt) >= forwarder.Settings.HomeWait {
		localSubmission.answer = messenger.RefuseUnknown(submission, localSubmission.answer.Reason, localSubmission.answer.Detail)
		forwarder.answerWaiters(localSubmission)
		return
	}
	localSubmission.answerCopyAt = second
	forwarder.requestAnswerCopy(second, localSubmission)
	due := forwarder.now.Add(forwarder.Settings.CopyWait)
	forwarder.timers.Set(timerKey{kind: timerCopyWait, submission: submission}, due)
}

func (forwarder *Forwarder) answerWaiters(localSubmission *localSubmission) {
	localSubmission.answerWithheld = false
	localSubmission.job = localSubmission.job.WithoutTasks()
	for _, waiter := range localSubmission.waiters {
		forwarder.emit(&AnswerCaller{Waiter: waiter, Answer: localSubmission.answer})
	}
	localSubmission.waiters = nil
}

// confirmAnswer confirms to the lead that two hosts hold the answer. Where this host is the
// lead, another host must hold a copy first.
func (forwarder *Forwarder) confirmAnswer(from identifier.HostID, localSubmission *localSubmission) {
	if from != forwarder.Self {
		forwarder.emit(&ConfirmAnswer{To: from, Submission: localSubmission.job.Submission})
		return
	}
	second := localSubmission.copyAt
	if !slices.Contains(forwarder.living, second) {
		second = forwarder.secondHost("")
	}
	if second == "" {
		forwarder.awaitSecondHolder(localSubmission)
		return
	}
	localSubmission.answerCopyAt = second
	forwarder.requestAnswerCopy(second, localSubmission)
}

// requestAnswerCopy requests that a neighbour hold an answer, under the lead's epoch.
func (forwarder *Forwarder) requestAnswerCopy(neighbour identifier.HostID, localSubmission *localSubmission) {
	copied := messenger.AnswerCopy{Answer: localSubmission.answer}
	if known := forwarder.leads.Get(forwarder.cellOf(localSubmission.job)); known != nil {
		copied.Epoch = known.epoch
	}
	forwarder.emit(&StoreAnswerCopy{To: neighbour, Copy: copied})
}

// awaitSecondHolder waits for a second host to hold the answer. Meanwhile the backend servers
// keep the answers of the tasks: if they forgot them at once and another host acquired the
// cell, it would find no trace of the submission and a resend would run again. The wait is
// bounded, because backend servers hold the answers of every job meanwhile.
func (forwarder *Forwarder) awaitSecondHolder(localSubmission *localSubmission) {
	localSubmission.awaitsSecondHolder = true
	due := forwarder.now.Add(forwarder.Settings.UnreplicatedAnswerWait)
	forwarder.timers.Set(timerKey{kind: timerSecondHolder, submission: localSubmission.job.Submission}, due)
}

// stopAwaitingSecondHolder ends the wait of awaitSecondHolder. It must end with the answer that it
// is for: a copy without an answer would crash the host that is to hold it.
func (forwarder *Forwarder) stopAwaitingSecondHolder(localSubmission *localSubmission) {
	localSubmission.awaitsSecondHolder = false
	forwarder.timers.Clear(timerKey{kind: timerSecondHolder, submission: localSubmission.job.Submission})
}

// confirmWithoutSecondHolder confirms the answer without a second host once the wait is over.
func (forwarder *Forwarder) confirmWithoutSecondHolder(submission identifier.SubmissionID) {
	localSubmission := forwarder.localSubmissions.Get(submission)
	if localSubmission == nil || !localSubmission.awaitsSecondHolder {
		return
	}
	localSubmission.awaitsSecondHolder = false
	forwarder.emit(&ConfirmAnswer{To: forwarder.Self, Submission: submission})
}

// replicateLoneAnswers requests that a host which has joined hold the answers that only this
// host holds.
func (forwarder *Forwarder) replicateLoneAnswers() {
	second := forwarder.secondHost("")
	if second == "" {
		return
	}
	forwarder.localSubmissions.Each(func(_ identifier.SubmissionID, localSubmission *localSubmission) bool {
		if localSubmission.awaitsSecondHolder {
			forwarder.stopAwaitingSecondHolder(localSubmission)
			forwarder.emit(&StoreAnswerCopy{To: second, Copy: messenger.AnswerCopy{Answer: localSubmission.answer}})
		}
		return true
	})
}

func (forwarder *Forwarder) recordAnswerCopyHeld(input *AnswerCopyHeld) {
	if localSubmission := forwarder.localSubmissions.Get(input.Submission); localSubmission != nil {
		localSubmission.partner = input.From
	}
	forwarder.emit(&ConfirmAnswer{To: forwarder.Self, Submission: input.Submission})
	forwarder.releaseWithheldAnswer(input.Submission)
}

// replaceWithheldAnswer replaces an answer that no caller has received yet by the one that
// another host already holds.
func (forwarder *Forwarder) replaceWithheldAnswer(input *AnswerArrived, localSubmission *localSubmission) {
	localSubmission.answer = input.Answer
	forwarder.stopAwaitingSecondHolder(localSubmission)
	forwarder.confirmAnswer(input.From, localSubmission)
	forwarder.releaseWithheldAnswer(input.Answer.Submission)
}

func (forwarder *Forwarder) withdrawAnswer(localSubmission *localSubmission) {
	localSubmission.answer = nil
	localSubmission.answerWithheld = false
	forwarder.stopAwaitingSecondHolder(localSubmission)
	submission := localSubmission.job.Submission
	forwarder.timers.Clear(timerKey{kind: timerCopyWait, submission: submission})
	forwarder.timers.Clear(timerKey{kind: timerExpireSubmission, submission: submission})
}

// releaseWithheldAnswer sends callers an answer that waited for its second copy.
func (forwarder *Forwarder) releaseWithheldAnswer(submission identifier.SubmissionID) {
	localSubmission := forwarder.localSubmissions.Get(submission)
	if localSubmission != nil && localSubmission.answerWithheld {
		forwarder.timers.Clear(timerKey{kind: timerCopyWait, submission: submission})
		forwarder.answerWaiters(localSubmission)
	}
}
