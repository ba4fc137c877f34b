package dispatcher

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// RecordsReplicated delivers records that another host can't keep as their only holder, or that it
// hands over because it leaves.
type RecordsReplicated struct {
	Replicas []messenger.Replica
}

func (*RecordsReplicated) isDispatcherInput() {}

// AnswerReplicationRequested requests that another host of the failure domain hold the answer of a
// submission.
type AnswerReplicationRequested struct {
	Submission identifier.SubmissionID
}

func (*AnswerReplicationRequested) isDispatcherOutput() {}

// awaitSecondHolder sets the timer that retries until a second host holds the answer of a finished
// job. The answer, its receipt or the waiting host may be lost, and backend servers would
// otherwise keep the task answers for ever.
func (dispatcher *Dispatcher) awaitSecondHolder(job *job) {
	dispatcher.timers.Set(job.timer(timerConfirm), dispatcher.now.Add(dispatcher.Settings.AnswerResend))
}

// resendUnconfirmedAnswer resends an answer whose replication is not confirmed and requests that
// another host hold it. After UnreplicatedAnswerWait it goes on without a second holder.
func (dispatcher *Dispatcher) resendUnconfirmedAnswer(submission identifier.SubmissionID) {
	job := dispatcher.jobs.Get(submission)
	if job == nil || job.state != jobFinished || job.answerReplicated {
		return
	}
	if job.finishedAt.Add(dispatcher.Settings.UnreplicatedAnswerWait).Due(dispatcher.now) {
		dispatcher.releaseAnswers(&AnswerReplicated{Submission: submission})
		return
	}
	for _, recipient := range job.recipients {
		dispatcher.outputs.add(&JobAnswered{To: recipient, Answer: job.answer})
	}
	if job.homeLead != "" {
		dispatcher.outputs.add(&AnswerSpill{To: job.homeLead, Answer: job.answer})
	}
	dispatcher.outputs.add(&AnswerReplicationRequested{Submission: submission})
	dispatcher.awaitSecondHolder(job)
}

// recordReplicas makes records that have reached this host known to the lead at once. A
// resubmission may arrive while the host that knew of the first one is gone.
func (dispatcher *Dispatcher) recordReplicas(input *RecordsReplicated) {
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

// maxTakeoverAttempts bounds how long a new lead waits for a host that is live according to the
// membership and does not reply. The wait is longer than the detection of a lost host takes.
const maxTakeoverAttempts = 6

// retryTakeover queries the hosts again that have not replied. A query or a reply may be lost with
// a connection while both hosts live. A lead that went on without the reply would mistake the
// submissions of that host for new ones.
func (dispatcher *Dispatcher) retryTakeover(cell *cell) {
	cell.takeoverAttempts++
	alreadyRequested := cell.acknowledgedRequested
	if cell.takeoverAttempts >= maxTakeoverAttempts {
		for host := range cell.awaitedHosts {
			cell.missingHosts[host] = true
		}
		clear(cell.awaitedHosts)
	}
	dispatcher.retryGuestQueries(cell)
	justRequested := !alreadyRequested && cell.acknowledgedRequested && len(cell.awaitedServers) > 0
	if len(cell.awaitedHosts) == 0 && len(cell.awaitedDomains) == 0 && !justRequested {
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
