package forwarder

import (
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// Two hosts know each submission of the own failure domain: this one and its partner. When
// the partner dies, restarts without state or leaves, or when this host leaves, the record
// and the answer are copied to another host.
//
// Otherwise two losses some minutes apart would make a resend look new, and its tasks would
// run twice. The symptom is a task of one submission at two backend servers, with both
// losses in the log before it.

// ReplicaSettings limits the rate at which records are copied, so that the loss of a host with
// many records does not delay current jobs.
type ReplicaSettings struct {
	// BatchInterval is the time between two batches.
	BatchInterval time.Duration
	// BatchRecords and BatchBytes bound one batch in records and bytes; the first replica
	// always fits.
	BatchRecords int
	BatchBytes   int
	// Resend is how long to wait for a receipt before a replica is resent.
	Resend time.Duration
}

// DefaultReplicaSettings returns the defaults that the daemon starts from.
func DefaultReplicaSettings() ReplicaSettings {
	return ReplicaSettings{
		BatchInterval: 10 * time.Millisecond,
		BatchRecords:  500,
		BatchBytes:    256 << 10,
		Resend:        500 * time.Millisecond,
	}
}

// replication is a record that has still to be copied to another host.
type replication struct {
	to     identifier.HostID
	sentAt identifier.Moment
	sent   bool
}

// replicaOverhead is the approximate size in bytes of a record in a message without its
// answer.
const replicaOverhead = 96

// replicate schedules the copying of this host's record of a submission to another host.
func (forwarder *Forwarder) replicate(submission identifier.SubmissionID) {
	if known := forwarder.replications.Get(submission); known != nil {
		known.sent = false
	} else {
		forwarder.replications.Put(submission, &replication{})
	}
	forwarder.scheduleReplicas(forwarder.now.Add(forwarder.Settings.Replicas.BatchInterval))
}

// scheduleReplicas schedules the next batch, unless one is already scheduled no later.
func (forwarder *Forwarder) scheduleReplicas(due identifier.Moment) {
	if forwarder.nextBatchAt != 0 && forwarder.nextBatchAt <= due {
		return
	}
	forwarder.nextBatchAt = due
	forwarder.timers.Set(timerKey{kind: timerReplicas}, due)
}

// UnreplicatedRecords returns how many records have still to be copied to another host; zero if no
// other host of the failure domain lives.
func (forwarder *Forwarder) UnreplicatedRecords() int {
	if forwarder.replications == nil || forwarder.secondHost("") == "" {
		return 0
	}
	return forwarder.replications.Len()
}

// replicateAfterLoss copies again the records whose other holder is lost.
func (forwarder *Forwarder) replicateAfterLoss(lost func(identifier.HostID) bool) {
	forwarder.localSubmissions.Each(func(submission identifier.SubmissionID, localSubmission *localSubmission) bool {
		if forwarder.isRecordHolder(localSubmission) && lost(localSubmission.partner) {
			localSubmission.partner = ""
			forwarder.replicate(submission)
		}
		return true
	})
	forwarder.copies.Each(func(submission identifier.SubmissionID, held *heldCopy) bool {
		if lost(held.partner) {
			held.partner = ""
			forwarder.replicate(submission)
		}
		return true
	})
}

// isRecordHolder reports whether this host is one of the two that hold the record of a
// caller's submission. Until then, route ensures that there are two.
func (forwarder *Forwarder) isRecordHolder(localSubmission *localSubmission) bool {
	if localSubmission.job.Home() != forwarder.FailureDomain || !localSubmission.forwardedBefore {
		return false
	}
	return localSubmission.answer != nil || localSubmission.forwardedTo == forwarder.Self
}

// startLeaving copies all records before this host leaves.
func (forwarder *Forwarder) startLeaving() {
	forwarder.leaving = true
	forwarder.localSubmissions.Each(func(submission identifier.SubmissionID, localSubmission *localSubmission) bool {
		if localSubmission.forwardedBefore && localSubmission.job.Home() == forwarder.FailureDomain {
			forwarder.replicate(submission)
		}
		return true
	})
	forwarder.copies.Each(func(submission identifier.SubmissionID, _ *heldCopy) bool {
		forwarder.replicate(submission)
		return true
	})
}

// replicateIfLeaving copies a record that has changed while this host leaves.
func (forwarder *Forwarder) replicateIfLeaving(submission identifier.SubmissionID) {
	if forwarder.leaving {
		forwarder.replicate(submission)
	}
}

// sendReplicas sends the next batch to each host.
func (forwarder *Forwarder) sendReplicas() {
	forwarder.nextBatchAt = 0
	batches := make(map[identifier.HostID]*SendReplicas)
	count, size := 0, 0
	next := identifier.Never
	forwarder.replications.Each(func(submission identifier.SubmissionID, replication *replication) bool {
		if due := replication.sentAt.Add(forwarder.Settings.Replicas.Resend); replication.sent && !due.Due(forwarder.now) {
			next = identifier.Earlier(next, due)
			return true
		}
		if count >= forwarder.Settings.Replicas.BatchRecords || size >= forwarder.Settings.Replicas.BatchBytes {
			next = forwarder.now.Add(forwarder.Settings.Replicas.BatchInterval)
			return false
		}
		sent := forwarder.sendReplica(submission, replication, batches)
		if sent > 0 {
			count++
			size += sent
			next = identifier.Earlier(next, forwarder.now.Add(forwarder.Settings.Replicas.Resend))
		}
		return true
	})
	if next != identifier.Never {
		forwarder.scheduleReplicas(next)
	}
}

// sendReplica adds one replica to its host's batch and returns its size, or zero when there is
// nothing to send or no host to send it to. A record without a host waits in the table until
// one joins.
func (forwarder *Forwarder) sendReplica(submission identifier.SubmissionID, replication *replication, batches map[identifier.HostID]*SendReplicas) int {
	replica := forwarder.replicaOf(submission)
	if replica == nil {
		forwarder.replications.Remove(submission)
		return 0
	}
	to := forwarder.nextHolder(submission, replication.to)
	if to == "" {
		return 0
	}
	replication.to = to
	replication.sentAt = forwarder.now
	replication.sent = true
	batch := batches[to]
	if batch == nil {
		batch = &SendReplicas{To: to}
		batches[to] = batch
		forwarder.emit(batch)
	}
	batch.Replicas = append(batch.Replicas, *replica)
	return replicaOverhead + sizeOf(replica.Answer)
}

func sizeOf(answer *messenger.JobAnswer) int {
	if answer == nil {
		return 0
	}
	size := len(answer.Detail)
	for index := range answer.Answers {
		size += len(answer.Answers[index].Result)
	}
	return size
}

// nextHolder picks a host for a record: preferably one that does not have it yet, and another
// than the one tried before.
func (forwarder *Forwarder) nextHolder(submission identifier.SubmissionID, tried identifier.HostID) identifier.HostID {
	partners := forwarder.partnersOf(submission)
	// The lead is preferred, because it receives the requests for answers.
	lead := forwarder.leads.Get(cellKey{
		failureDomain: forwarder.FailureDomain, cell: messenger.CellOf(submission, forwarder.Settings.Cells),
	})
	if lead != nil && lead.host != tried && lead.host != forwarder.Self &&
		slices.Contains(forwarder.living, lead.host) && !slices.Contains(partners, lead.host) {
		return lead.host
	}
	var fallback identifier.HostID
	for _, host := range forwarder.living {
		if host == forwarder.Self {
			continue
		}
		if host != tried && !slices.Contains(partners, host) {
			return host
		}
		if fallback == "" || (fallback == tried && host != tried) {
			fallback = host
		}
	}
	return fallback
}

func (forwarder *Forwarder) partnersOf(submission identifier.SubmissionID) []identifier.HostID {
	var partners []identifier.HostID
	if localSubmission := forwarder.localSubmissions.Get(submission); localSubmission != nil && localSubmission.partner != "" {
		partners = append(partners, localSubmission.partner)
	}
	if held := forwarder.copies.Get(submission); held != nil && held.partner != "" {
		partners = append(partners, held.partner)
	}
	return partners
}

// replicaOf collects this host's record and answer of a submission of the own failure domain,
// or returns nil.
func (forwarder *Forwarder) replicaOf(submission identifier.SubmissionID) *messenger.Replica {
	localSubmission, held := forwarder.localSubmissions.Get(submission), forwarder.copies.Get(submission)
	isOwn := localSubmission != nil && localSubmission.forwardedBefore && localSubmission.job.Home() == forwarder.FailureDomain
	switch {
	case isOwn && (held == nil || held.answer == nil):
		answer := localSubmission.answer
		if answer != nil && answer.ClaimsNothing() {
			answer = nil
		}
		replica := &messenger.Replica{Record: forwarder.recordOf(localSubmission), Answer: answer}
		replica.Record.Answered = answer != nil
		if held != nil && held.record.SpilledTo != "" {
			replica.Record.SpilledTo = held.record.SpilledTo
		}
		return replica
	case held != nil:
		return &messenger.Replica{Record: forwarder.recordOfCopy(held), Answer: held.answer}
	default:
		return nil
	}
}

// storeReplicas stores records that another host cannot keep alone, and confirms them.
func (forwarder *Forwarder) storeReplicas(input *ReplicasArrived) {
	receipt := messenger.ReplicaReceipt{}
	for _, replica := range input.Replicas {
		submission := replica.Record.Submission
		if known := forwarder.differingAnswer(replica.Answer); known != nil {
			forwarder.emit(&SendAnswer{To: input.From, Answer: known})
			receipt.DifferingAnswers = append(receipt.DifferingAnswers, submission)
			continue
		}
		held := forwarder.copies.Get(submission)
		if held == nil {
			heldAt := forwarder.now.Add(-replica.Record.Age)
			held = &heldCopy{record: replica.Record, heldAt: heldAt, partner: input.From}
			forwarder.copies.Put(submission, held)
		}
		if replica.Record.SpilledTo != "" {
			held.record.SpilledTo = replica.Record.SpilledTo
		}
		if held.answer == nil {
			held.answer = replica.Answer
		}
		held.deadline = identifier.DeadlineFrom(forwarder.now, replica.Record.Remaining)
		forwarder.scheduleCopyExpiry(submission)
		forwarder.replicateIfLeaving(submission)
		if replica.Answer != nil {
			receipt.Answered = append(receipt.Answered, submission)
		} else {
			receipt.Submissions = append(receipt.Submissions, submission)
		}
	}
	forwarder.emit(&ConfirmReplicas{To: input.From, Receipt: receipt})
}

// differingAnswer returns the answer that this host holds of a submission if it differs from
// the one that another host wants held; else nil.
//
// A deposed lead that does not know of its loss may have an answer of its own. If that were
// confirmed, it would count as held by two hosts, and its callers would get another answer
// than those of the new lead.
func (forwarder *Forwarder) differingAnswer(answer *messenger.JobAnswer) *messenger.JobAnswer {
	if answer == nil {
		return nil
	}
	known := forwarder.keptAnswer(answer.Submission)
	if known == nil || known.ClaimsNothing() || known.Outcome == answer.Outcome {
		return nil
	}
	return known
}

// recordReplicasHeld records the new partner of each record. An answer that two hosts hold may
// be forgotten by the backend servers.
func (forwarder *Forwarder) recordReplicasHeld(input *ReplicasHeld) {
	for _, submission := range input.Receipt.Submissions {
		if replica := forwarder.replicaOf(submission); replica == nil || replica.Answer == nil {
			forwarder.endReplication(submission, input.From)
		}
	}
	for _, submission := range input.Receipt.DifferingAnswers {
		forwarder.endReplication(submission, input.From)
	}
	for _, submission := range input.Receipt.Answered {
		forwarder.endReplication(submission, input.From)
		forwarder.emit(&ConfirmAnswer{To: forwarder.Self, Submission: submission})
		forwarder.releaseWithheldAnswer(submission)
	}
}

func (forwarder *Forwarder) endReplication(submission identifier.SubmissionID, partner identifier.HostID) {
	forwarder.replications.Remove(submission)
	if localSubmission := forwarder.localSubmissions.Get(submission); localSubmission != nil {
		localSubmission.partner = partner
	}
	if held := forwarder.copies.Get(submission); held != nil {
		held.partner = partner
	}
}
