package forwarder

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// holdCopies remembers submissions for a lead and confirms them in one message.
func (forwarder *Forwarder) holdCopies(input *CopiesWanted) {
	held := make([]identifier.SubmissionID, 0, len(input.Records))
	for _, record := range input.Records {
		if forwarder.refuseStaleLead(input.From, record.Cell, record.Epoch) {
			continue
		}
		asked := record.Epoch
		record.Epoch = 0
		if forwarder.copies.Get(record.Submission) == nil && forwarder.full() {
			continue
		}
		if forwarder.copies.Get(record.Submission) == nil {
			heldAt := forwarder.now.Add(-record.Age)
			forwarder.copies.Put(record.Submission, &heldCopy{
				record: record, heldAt: heldAt, partner: input.From, askedUnder: asked,
				deadline: identifier.DeadlineFrom(forwarder.now, record.Remaining),
			})
		}
		if record.SpilledTo != "" {
			forwarder.copies.Get(record.Submission).record.SpilledTo = record.SpilledTo
		}
		forwarder.expireCopyLater(record.Submission)
		forwarder.keepHandingOver(record.Submission)
		held = append(held, record.Submission)
	}
	if len(held) > 0 {
		forwarder.add(&ConfirmCopies{To: input.From, Submissions: held})
	}
}

// refuseStaleLead tells whether a copy is asked for by a lead whose cell this
// host has already helped another to take.
//
// Its answer to the takeover was complete only if nothing is added afterwards. If
// the old lead, which may not know yet, still got its copy confirmed, it would
// start a submission that the new lead takes for new when the caller resends it.
// An answer of the old lead could differ in the same way from the new one's.
func (forwarder *Forwarder) refuseStaleLead(from identifier.HostID, cell messenger.CellNumber, epoch identifier.Epoch) bool {
	key := cellKey{failureDomain: forwarder.FailureDomain, cell: cell}
	known := forwarder.leads.Get(key)
	if known == nil || epoch >= max(known.epoch, known.promised) {
		return false
	}
	if known.epoch > epoch {
		notice := messenger.LeadNotice{FailureDomain: key.failureDomain, Cell: key.cell, Host: known.host, Epoch: known.epoch}
		forwarder.add(&TellLead{To: from, Notice: notice})
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

func (forwarder *Forwarder) expireCopyLater(submission identifier.SubmissionID) {
	due := forwarder.now.Add(forwarder.Settings.AnswerRetention)
	held := forwarder.copies.Get(submission)
	if held != nil && held.answer == nil && held.deadline != identifier.Never {
		due = max(due, held.deadline.Add(forwarder.Settings.AnswerRetention))
	}
	forwarder.timers.Set(timerKey{kind: timerForgetCopy, submission: submission}, due)
}

// forgetCopy forgets a copy whose retention is over. An unanswered job without a
// deadline may still run.
func (forwarder *Forwarder) forgetCopy(submission identifier.SubmissionID) {
	held := forwarder.copies.Get(submission)
	if held == nil {
		return
	}
	mayRun := held.answer == nil && !held.record.Answered && held.deadline == identifier.Never
	if mayRun && forwarder.now.Sub(held.heldAt) < forwarder.Settings.LongestJob {
		forwarder.expireCopyLater(submission)
		return
	}
	forwarder.copies.Remove(submission)
}

// recordCopiesHeld forwards the jobs whose second copy stands now.
func (forwarder *Forwarder) recordCopiesHeld(input *CopiesHeld) {
	for _, submission := range input.Submissions {
		forwarder.recordRelayCopy(submission, input.From)
		front := forwarder.fronts.Get(submission)
		if front == nil || front.copyHeld || front.copyAt != input.From {
			continue
		}
		front.copyHeld = true
		front.partner = input.From
		forwarder.timers.Clear(timerKey{kind: timerCopyWait, submission: submission})
		if front.answer == nil {
			forwarder.route(front)
		}
	}
}

// changeLiving brings the copies up to date when hosts come or go: what a host held
// that is gone goes to another one, and what stands here alone to one that has come.
func (forwarder *Forwarder) changeLiving(living []identifier.HostID) {
	forwarder.living = living
	forwarder.replaceLostCopyHolders()
	forwarder.spreadLoneAnswers()
	forwarder.replicateWith(func(partner identifier.HostID) bool { return !slices.Contains(living, partner) })
	if forwarder.replications.Len() > 0 {
		forwarder.flushReplicasAt(forwarder.now.Add(forwarder.Settings.Replicas.Pace))
	}
}

// replaceRestarted copies anew what the process before held.
func (forwarder *Forwarder) replaceRestarted(host identifier.HostID) {
	forwarder.replicateWith(func(partner identifier.HostID) bool { return partner == host })
	forwarder.askCopiesAgain(host)
}

// reconnect sends again what may have been lost with the connection before. A lead
// knows a resend when it sees one.
func (forwarder *Forwarder) reconnect(host identifier.HostID) {
	forwarder.routeToAgain(host)
	forwarder.askCopiesAgain(host)
	forwarder.replications.Each(func(submission identifier.SubmissionID, replication *replication) bool {
		if replication.to == host {
			forwarder.replicate(submission)
		}
		return true
	})
}

// askCopiesAgain asks a host again for copies that it has not confirmed.
func (forwarder *Forwarder) askCopiesAgain(host identifier.HostID) {
	forwarder.fronts.Each(func(_ identifier.SubmissionID, front *front) bool {
		if front.copyAt == host && !front.copyHeld && front.answer == nil {
			forwarder.route(front)
		}
		return true
	})
}

// replaceLostCopyHolders asks another host for the copies that a lost host was
// asked for and has not confirmed.
func (forwarder *Forwarder) replaceLostCopyHolders() {
	living := make(map[identifier.HostID]bool, len(forwarder.living))
	for _, host := range forwarder.living {
		living[host] = true
	}
	forwarder.fronts.Each(func(_ identifier.SubmissionID, front *front) bool {
		waiting := front.copyAt != "" && !front.copyHeld && front.answer == nil
		if waiting && !living[front.copyAt] {
			forwarder.route(front)
		}
		return true
	})
}

// learnRecords keeps what a new lead has heard at its takeover. With the old lead
// one of the two hosts that knew each submission is gone. If the new lead kept
// nothing, the loss of the other one would make a resend look new, and its tasks
// would run twice.
func (forwarder *Forwarder) learnRecords(input *RecordsLearned) {
	for _, record := range input.Records {
		known := forwarder.copies.Get(record.Submission)
		if record.Answered && record.AnswerAt == "" {
			record.AnswerAt = input.From
		}
		if known != nil && record.SpilledTo != "" {
			known.record.SpilledTo = record.SpilledTo
		}
		if known != nil && (known.record.Answered || !record.Answered) {
			continue
		}
		heldAt := forwarder.now.Add(-record.Age)
		learned := &heldCopy{
			record: record, heldAt: heldAt, partner: input.Partner,
			deadline: identifier.DeadlineFrom(forwarder.now, record.Remaining),
		}
		if known != nil {
			learned.answer = known.answer
		}
		forwarder.copies.Put(record.Submission, learned)
		forwarder.expireCopyLater(record.Submission)
		forwarder.keepHandingOver(record.Submission)
	}
}

// keepGivenAnswer keeps what this host answered as a lead, so that it still knows
// when it has lost the cell. A refusal that claims nothing is not the answer of
// the submission.
func (forwarder *Forwarder) keepGivenAnswer(answer *messenger.JobAnswer) {
	forwarder.spreadRelayAnswer(answer)
	held := forwarder.copies.Get(answer.Submission)
	claimsNothing := answer.Outcome == messenger.OutcomeRefused && !answer.NotRun
	if held == nil || held.answer != nil || claimsNothing {
		return
	}
	held.answer = answer
	forwarder.expireCopyLater(answer.Submission)
	forwarder.keepHandingOver(answer.Submission)
}

// holdAnswer keeps the second copy of an answer.
func (forwarder *Forwarder) holdAnswer(input *AnswerCopyArrived) {
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
		forwarder.add(&SendAnswer{To: input.From, Answer: held.answer})
		return
	}
	held.answer = input.Copy.Answer
	forwarder.expireCopyLater(submission)
	forwarder.keepHandingOver(submission)
	forwarder.add(&ConfirmAnswerCopy{To: input.From, Submission: submission})
}

// sendKeptAnswer sends an answer that this host keeps, or says that it is lost.
func (forwarder *Forwarder) sendKeptAnswer(input *AnswerRequested) {
	answer := forwarder.keptAnswer(input.Request.Submission)
	if input.Request.Question > 0 {
		reply := messenger.LookupReply{Question: input.Request.Question, Found: answer != nil, Answer: answer}
		forwarder.add(&AnswerQuestion{To: input.Request.ReplyTo, Reply: reply})
		return
	}
	if answer == nil {
		answer = messenger.RefuseUnknown(input.Request.Submission, messenger.ReasonAnswerLost,
			"the submission had ended, but its answer is no longer kept")
	}
	forwarder.add(&SendAnswer{To: input.Request.ReplyTo, Answer: answer})
}

func (forwarder *Forwarder) keptAnswer(submission identifier.SubmissionID) *messenger.JobAnswer {
	if front := forwarder.fronts.Get(submission); front != nil && front.answer != nil {
		return front.answer
	}
	if held := forwarder.copies.Get(submission); held != nil {
		return held.answer
	}
	return nil
}

// replyToTakeover lists the submissions of a cell of the own failure domain that
// this host knows as a caller's host or as the holder of a second copy.
func (forwarder *Forwarder) replyToTakeover(input *TakeoverQueried) {
	forwarder.promise(input.Query)
	reply := messenger.TakeoverReply{Cell: input.Query.Cell, Epoch: input.Query.Epoch}
	wanted := cellKey{failureDomain: forwarder.FailureDomain, cell: input.Query.Cell}
	forwarder.fronts.Each(func(_ identifier.SubmissionID, front *front) bool {
		if front.forwardedBefore && front.firstEpoch != input.Query.Epoch && forwarder.cellOf(front.job) == wanted {
			record := forwarder.recordOf(front)
			record.FirstHand = true
			reply.Records = append(reply.Records, record)
		}
		return true
	})
	forwarder.copies.Each(func(_ identifier.SubmissionID, held *heldCopy) bool {
		if messenger.CellOf(held.record.Submission, forwarder.Settings.Cells) == wanted.cell && !held.askedBy(input) {
			reply.Records = append(reply.Records, forwarder.recordOfCopy(held))
		}
		return true
	})
	forwarder.add(&ReplyTakeover{To: input.From, Reply: reply})
}

// askedBy tells whether the lead that queries asked for the copy itself, under the
// same epoch. A job that arrives in the moment of a takeover would else look as if
// an earlier lead could have started it, and fail as unknown though nothing ran.
func (held *heldCopy) askedBy(query *TakeoverQueried) bool {
	return held.askedUnder == query.Query.Epoch && held.partner == query.From && held.answer == nil
}

func (forwarder *Forwarder) recordOf(front *front) messenger.CopyRecord {
	return messenger.CopyRecord{
		Submission: front.job.Submission,
		Caller:     front.job.Caller,
		Job:        front.job.Job,
		Cell:       messenger.CellOf(front.job.Submission, forwarder.Settings.Cells),
		Age:        forwarder.now.Sub(front.arrivedAt),
		Answered:   front.answer != nil,
		SpilledTo:  front.spilledTo,
		Remaining:  front.deadline.Remaining(forwarder.now),
	}
}

func (forwarder *Forwarder) recordOfCopy(held *heldCopy) messenger.CopyRecord {
	record := held.record
	record.Age = forwarder.now.Sub(held.heldAt)
	record.Remaining = held.deadline.Remaining(forwarder.now)
	if held.answer != nil {
		record.Answered = true
		record.AnswerAt = ""
	}
	return record
}
