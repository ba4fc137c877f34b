package dispatcher

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// RecordsReplicated brings what another host can't keep alone any more, or hands
// over because it leaves.
type RecordsReplicated struct {
	Replicas []messenger.Replica
}

func (*RecordsReplicated) isDispatcherInput() {}

// SecondHolderWanted asks that another host of the failure domain holds the answer
// of a submission.
type SecondHolderWanted struct {
	Submission identifier.SubmissionID
}

func (*SecondHolderWanted) isDispatcherOutput() {}

// awaitHolder sees to it that a second host holds the answer of a finished job. The
// answer, the receipt or the host that waited for it may be lost; backend servers
// would keep the answers of the tasks for ever.
func (dispatcher *Dispatcher) awaitHolder(job *job) {
	dispatcher.timers.Set(job.timer(timerConfirm), dispatcher.now.Add(dispatcher.Settings.AnswerResend))
}

// confirmAgain sends an unconfirmed answer again, and has another host hold it. A
// host that stays alone does without in the end.
func (dispatcher *Dispatcher) confirmAgain(submission identifier.SubmissionID) {
	job := dispatcher.jobs.Get(submission)
	if job == nil || job.state != jobFinished || job.answerHeld {
		return
	}
	if job.finishedAt.Add(dispatcher.Settings.LoneAnswerWait).Due(dispatcher.now) {
		dispatcher.releaseAnswers(&AnswerHeld{Submission: submission})
		return
	}
	for _, holder := range job.holders {
		dispatcher.outputs.add(&JobAnswered{To: holder, Answer: job.answer})
	}
	if job.guestOf != "" {
		dispatcher.outputs.add(&AnswerSpill{To: job.guestOf, Answer: job.answer})
	}
	dispatcher.outputs.add(&SecondHolderWanted{Submission: submission})
	dispatcher.awaitHolder(job)
}

// learnReplicas lets a lead know at once what has come to its host. A resend may
// come while the host that knew of it is gone.
func (dispatcher *Dispatcher) learnReplicas(input *RecordsReplicated) {
	for _, replica := range input.Replicas {
		cell := dispatcher.cells.Get(messenger.CellOf(replica.Record.Submission, dispatcher.Settings.Cells))
		if cell == nil || dispatcher.jobs.Get(replica.Record.Submission) != nil {
			continue
		}
		record := replica.Record
		record.Answered = replica.Answer != nil
		dispatcher.mergeRecord(cell, dispatcher.Self, record)
	}
}

// mostTakeoverAttempts bounds how long a new lead waits for a host that lives by the
// membership and does not answer. It is longer than a loss takes to be noticed.
const mostTakeoverAttempts = 6

// retryTakeover asks the hosts again that have not told what they know. A query or
// a reply may be lost with a connection while both hosts live; a lead that went on
// without would take the submissions of that host for new.
func (dispatcher *Dispatcher) retryTakeover(cell *cell) {
	cell.takeoverAttempts++
	asked := cell.wantsAcknowledged
	if cell.takeoverAttempts >= mostTakeoverAttempts {
		for host := range cell.awaitedHosts {
			cell.missingHosts[host] = true
		}
		clear(cell.awaitedHosts)
	}
	dispatcher.askGuestsAgain(cell)
	justAsked := !asked && cell.wantsAcknowledged && len(cell.awaitedServers) > 0
	if len(cell.awaitedHosts) == 0 && len(cell.awaitedDomains) == 0 && !justAsked {
		dispatcher.finishTakeover(cell)
		return
	}
	for _, host := range sortedHosts(cell.awaitedHosts) {
		query := messenger.TakeoverQuery{Cell: cell.number, Epoch: cell.epoch}
		dispatcher.outputs.add(&TakeoverWanted{To: host, Query: query})
	}
	timeout := dispatcher.now.Add(dispatcher.Settings.TakeoverTimeout)
	dispatcher.timers.Set(timerKey{kind: timerTakeover, cell: cell.number}, timeout)
}

func sortedHosts(hosts map[identifier.HostID]bool) []identifier.HostID {
	sorted := make([]identifier.HostID, 0, len(hosts))
	for host := range hosts {
		sorted = append(sorted, host)
	}
	slices.Sort(sorted)
	return sorted
}
