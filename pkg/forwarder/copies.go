package forwarder

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// storeCopies stores copies of submissions for a lead and confirms them in one message.
func (forwarder *Forwarder) storeCopies(input *CopiesRequested) {
	held := make([]identifier.SubmissionID, 0, len(input.Records))
	for _, record := range input.Records {
		if forwarder.refuseStaleLead(input.From, record.Cell, record.Epoch) {
			continue
		}
		epoch := record.Epoch
		record.Epoch = 0
		if forwarder.copies.Get(record.Submission) == nil && forwarder.isFull() {
			continue
		}
		if forwarder.copies.Get(record.Submission) == nil {
			heldAt := forwarder.now.Add(-record.Age)
			forwarder.copies.Put(record.Submission, &heldCopy{
				record: record, heldAt: heldAt, partner: input.From, requestedEpoch: epoch,
				deadline: identifier.DeadlineFrom(forwarder.now, record.Remaining),
			})
		}
		if record.SpilledTo != "" {
			forwarder.copies.Get(record.Submission).record.SpilledTo = record.SpilledTo
		}
		forwarder.scheduleCopyExpiry(record.Submission)
		forwarder.replicateIfLeaving(record.Submission)
		held = append(held, record.Submission)
	}
	if len(held) > 0 {
		forwarder.emit(&ConfirmCopies{To: input.From, Submissions: held})
	}
}

// refuseStaleLead reports whether a copy is requested by a lead whose cell another host has
// acquired with this host's help, and notifies it of the new lead if that is known.
//
// This host's reply to the takeover query was complete only if nothing is added afterwards. If
// the old lead, which may not know of the takeover yet, still got its copy confirmed, it would
// start a submission that the new lead considers new when the caller resends it. An answer of
// the old lead could differ from the new lead's in the same way.
func (forwarder *Forwarder) refuseStaleLead(from identifier.HostID, cell messenger.CellNumber, epoch identifier.Epoch) bool {
	key := cellKey{failureDomain: forwarder.FailureDomain, cell: cell}
	known := forwarder.leads.Get(key)
	if known == nil || epoch >= max(known.epoch, known.promised) {
		return false
	}
	if known.epoch > epoch {
		notice := messenger.LeadNotice{FailureDomain: key.failureDomain, Cell: key.cell, Host: known.host, Epoch: known.epoch}
		forwarder.emit(&SendLeadNotice{To: from, Notice: notice})
	}
	return true
}

func (forwarder *Forwarder) promise(query messenger.TakeoverQuery) {
	key := cellKey{failureDomain: forwarder.FailureDomain, cell: query.Cell}
	known := forwarder.leads.Get(key)
	if known == nil {
		known = &lead{}
		forwarder.leads.Put(key, known)
	}
	known.promised = max(known.promised, query.Epoch)
}

func (forwarder *Forwarder) scheduleCopyExpiry(submission identifier.SubmissionID) {
	due := forwarder.now.Add(forwarder.Settings.AnswerRetention)
	held := forwarder.copies.Get(submission)
	if held != nil && held.answer == nil && held.deadline != identifier.Never {
		due = max(due, held.deadline.Add(forwarder.Settings.AnswerRetention))
	}
	forwarder.timers.Set(timerKey{kind: timerExpireCopy, submission: submission}, due)
}

// expireCopy forgets a copy at the end of its retention. An unanswered job without a deadline
// may still run, so its copy is kept for up to MaxJobDuration.
func (forwarder *Forwarder) expireCopy(submission identifier.SubmissionID) {
	held := forwarder.copies.Get(submission)
	if held == nil {
		return
	}
	mayRun := held.answer == nil && !held.record.Answered && held.deadline == identifier.Never
	if mayRun && forwarder.now.Sub(held.heldAt) < forwarder.Settings.MaxJobDuration {
		forwarder.scheduleCopyExpiry(submission)
		return
	}
	forwarder.copies.Remove(submission)
}

// recordCopiesHeld forwards the jobs whose second copy is confirmed.
func (forwarder *Forwarder) recordCopiesHeld(input *CopiesHeld) {
	for _, submission := range input.Submissions {
		forwarder.recordRelayCopy(submission, input.From)
		localSubmission := forwarder.localSubmissions.Get(submission)
		if localSubmission == nil || localSubmission.copyHeld || localSubmission.copyAt != input.From {
			continue
		}
		localSubmission.copyHeld = true
		localSubmission.partner = input.From
		forwarder.timers.Clear(timerKey{kind: timerCopyWait, submission: submission})
		if localSubmission.answer == nil {
			forwarder.route(localSubmission)
		}
	}
}

// handleHostsChanged restores the second copies when hosts come or go: the records of a lost
// host are copied to another one, and answers that only this host holds to one that has
// joined.
func (forwarder *Forwarder) handleHostsChanged(living []identifier.HostID) {
	forwarder.living = living
	forwarder.replaceLostCopyHolders()
	forwarder.replicateLoneAnswers()
	forwarder.replicateAfterLoss(func(partner identifier.HostID) bool { return !slices.Contains(living, partner) })
	if forwarder.replications.Len() > 0 {
		forwarder.scheduleReplicas(forwarder.now.Add(forwarder.Settings.Replicas.BatchInterval))
	}
}

// handleHostRestarted copies again what the host's previous process held.
func (forwarder *Forwarder) handleHostRestarted(host identifier.HostID) {
	forwarder.replicateAfterLoss(func(partner identifier.HostID) bool { return partner == host })
	forwarder.requestCopiesAgain(host)
}

// handleReconnected sends again what may have been lost with the previous connection. A lead
// recognises a resend.
func (forwarder *Forwarder) handleReconnected(host identifier.HostID) {
	forwarder.rerouteToHost(host)
	forwarder.requestCopiesAgain(host)
	forwarder.replications.Each(func(submission identifier.SubmissionID, replication *replication) bool {
		if replication.to == host {
			forwarder.replicate(submission)
		}
		return true
	})
}

// requestCopiesAgain requests again the copies that a host has not confirmed.
func (forwarder *Forwarder) requestCopiesAgain(host identifier.HostID) {
	forwarder.localSubmissions.Each(func(_ identifier.SubmissionID, localSubmission *localSubmission) bool {
		if localSubmission.copyAt == host && !localSubmission.copyHeld && localSubmission.answer == nil {
			forwarder.route(localSubmission)
		}
		return true
	})
}

// replaceLostCopyHolders requests from another host the copies that a lost host has not
// confirmed.
func (forwarder *Forwarder) replaceLostCopyHolders() {
	living := make(map[identifier.HostID]bool, len(forwarder.living))
	for _, host := range forwarder.living {
		living[host] = true
	}
	forwarder.localSubmissions.Each(func(_ identifier.SubmissionID, localSubmission *localSubmission) bool {
		waiting := localSubmission.copyAt != "" && !localSubmission.copyHeld && localSubmission.answer == nil
		if waiting && !living[localSubmission.copyAt] {
			forwarder.route(localSubmission)
		}
		return true
	})
}

// addTakeoverRecords stores the records that a new lead has received at its takeover. With the
// old lead, one of the two hosts that knew each submission is gone. If the new lead stored
// nothing, the loss of the other one would make a resend look new, and its tasks would run
// twice.
func (forwarder *Forwarder) addTakeoverRecords(input *TakeoverRecordsArrived) {
	for _, record := range input.Records {
		known := forwarder.copies.Get(record.Submission)
		if record.Answered && record.AnswerHost == "" {
			record.AnswerHost = input.From
		}
		if known != nil && record.SpilledTo != "" {
			known.record.SpilledTo = record.SpilledTo
		}
		if known != nil && (known.record.Answered || !record.Answered) {
			continue
		}
		heldAt := forwarder.now.Add(-record.Age)
		added := &heldCopy{
			record: record, heldAt: heldAt, partner: input.Partner,
			deadline: identifier.DeadlineFrom(forwarder.now, record.Remaining),
		}
		if known != nil {
			added.answer = known.answer
		}
		forwarder.copies.Put(record.Submission, added)
		forwarder.scheduleCopyExpiry(record.Submission)
		forwarder.replicateIfLeaving(record.Submission)
	}
}

// keepOwnAnswer keeps an answer that this host sent as a lead, so that it still has it after
// it has lost the cell. A refusal that claims nothing is not the answer of the submission.
func (forwarder *Forwarder) keepOwnAnswer(answer *messenger.JobAnswer) {
	forwarder.replicateRelayAnswer(answer)
	held := forwarder.copies.Get(answer.Submission)
	claimsNothing := answer.Outcome == messenger.OutcomeRefused && !answer.NotRun
	if held == nil || held.answer != nil || claimsNothing {
		return
	}
	held.answer = answer
	forwarder.scheduleCopyExpiry(answer.Submission)
	forwarder.replicateIfLeaving(answer.Submission)
}

// storeAnswerCopy stores the second copy of an answer.
func (forwarder *Forwarder) storeAnswerCopy(input *AnswerCopyArrived) {
	if input.Copy.Answer == nil {
		// Another host's faulty message must not end this process.
		return
	}
	submission := input.Copy.Answer.Submission
	cell := messenger.CellOf(submission, forwarder.Settings.Cells)
	if input.Copy.Epoch > 0 && forwarder.refuseStaleLead(input.From, cell, input.Copy.Epoch) {
		return
	}
	held := forwarder.copies.Get(submission)
	if held == nil {
		held = &heldCopy{
			record: messenger.CopyRecord{Submission: submission, Cell: cell}, heldAt: forwarder.now, partner: input.From,
		}
		forwarder.copies.Put(submission, held)
	}
	if held.answer != nil && held.answer.Outcome != input.Copy.Answer.Outcome {
		// The sender was deposed without knowing it, and the new lead has answered.
		forwarder.emit(&SendAnswer{To: input.From, Answer: held.answer})
		return
	}
	held.answer = input.Copy.Answer
	forwarder.scheduleCopyExpiry(submission)
	forwarder.replicateIfLeaving(submission)
	forwarder.emit(&ConfirmAnswerCopy{To: input.From, Submission: submission})
}

// sendKeptAnswer sends an answer that this host keeps, or reports that it is lost.
func (forwarder *Forwarder) sendKeptAnswer(input *AnswerRequested) {
	answer := forwarder.keptAnswer(input.Request.Submission)
	if input.Request.LookupNumber > 0 {
		reply := messenger.LookupReply{Number: input.Request.LookupNumber, Found: answer != nil, Answer: answer}
		forwarder.emit(&ReplyLookup{To: input.Request.ReplyTo, Reply: reply})
		return
	}
	if answer == nil {
		answer = messenger.RefuseUnknown(input.Request.Submission, messenger.ReasonAnswerLost,
			"the submission had ended, but its answer is no longer kept")
	}
	forwarder.emit(&SendAnswer{To: input.Request.ReplyTo, Answer: answer})
}

func (forwarder *Forwarder) keptAnswer(submission identifier.SubmissionID) *messenger.JobAnswer {
	if localSubmission := forwarder.localSubmissions.Get(submission); localSubmission != nil && localSubmission.answer != nil {
		return localSubmission.answer
	}
	if held := forwarder.copies.Get(submission); held != nil {
		return held.answer
	}
	return nil
}

// replyToTakeover lists the submissions of a cell of the own failure domain that this host
// knows, either from its callers or as the holder of a second copy.
func (forwarder *Forwarder) replyToTakeover(input *TakeoverQueried) {
	forwarder.promise(input.Query)
	reply := messenger.TakeoverReply{Cell: input.Query.Cell, Epoch: input.Query.Epoch}
	wanted := cellKey{failureDomain: forwarder.FailureDomain, cell: input.Query.Cell}
	forwarder.localSubmissions.Each(func(_ identifier.SubmissionID, localSubmission *localSubmission) bool {
		if localSubmission.forwardedBefore && localSubmission.firstEpoch != input.Query.Epoch && forwarder.cellOf(localSubmission.job) == wanted {
			record := forwarder.recordOf(localSubmission)
			record.FromCallerHost = true
			reply.Records = append(reply.Records, record)
		}
		return true
	})
	forwarder.copies.Each(func(_ identifier.SubmissionID, held *heldCopy) bool {
		if messenger.CellOf(held.record.Submission, forwarder.Settings.Cells) == wanted.cell && !held.requestedBy(input) {
			reply.Records = append(reply.Records, forwarder.recordOfCopy(held))
		}
		return true
	})
	forwarder.emit(&ReplyTakeover{To: input.From, Reply: reply})
}

// requestedBy reports whether the querying lead requested the copy itself, under the same
// epoch. Otherwise a job that arrives at the moment of a takeover would look as if an earlier
// lead could have started it, and fail as unknown though nothing ran.
func (held *heldCopy) requestedBy(query *TakeoverQueried) bool {
	return held.requestedEpoch == query.Query.Epoch && held.partner == query.From && held.answer == nil
}

func (forwarder *Forwarder) recordOf(localSubmission *localSubmission) messenger.CopyRecord {
	return messenger.CopyRecord{
		Submission: localSubmission.job.Submission,
		Caller:     localSubmission.job.Caller,
		Job:        localSubmission.job.Job,
		Cell:       messenger.CellOf(localSubmission.job.Submission, forwarder.Settings.Cells),
		Age:        forwarder.now.Sub(localSubmission.arrivedAt),
		Answered:   localSubmission.answer != nil,
		SpilledTo:  localSubmission.spilledTo,
		Remaining:  localSubmission.deadline.Remaining(forwarder.now),
	}
}

func (forwarder *Forwarder) recordOfCopy(held *heldCopy) messenger.CopyRecord {
	record := held.record
	record.Age = forwarder.now.Sub(held.heldAt)
	record.Remaining = held.deadline.Remaining(forwarder.now)
	if held.answer != nil {
		record.Answered = true
		record.AnswerHost = ""
	}
	return record
}
