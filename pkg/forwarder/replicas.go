package forwarder

import (
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// A submission of the own failure domain is known to two hosts: this one and its
// partner. When the partner dies, restarts without its memory or leaves, or when
// this host leaves, the record and the answer go to another host.
//
// Without that, two losses some minutes apart would make a resend look new, and its
// tasks would run twice. It would show as a task of one submission at two backend
// servers, with both losses in the log before it.

// ReplicaSettings paces the copying of records, so that the loss of a host with many
// records does not hold up the jobs of the day.
type ReplicaSettings struct {
	// Pace is the time between two batches.
	Pace time.Duration
	// Batch and BatchBytes bound one batch; the first replica always fits.
	Batch      int
	BatchBytes int
	// Resend is how long a receipt is waited for.
	Resend time.Duration
}

// DefaultReplicaSettings returns the settings that the daemon starts from.
func DefaultReplicaSettings() ReplicaSettings {
	return ReplicaSettings{
		Pace:       10 * time.Millisecond,
		Batch:      500,
		BatchBytes: 256 << 10,
		Resend:     500 * time.Millisecond,
	}
}

// replication is a record that has still to reach another host.
type replication struct {
	to     identifier.HostID
	sentAt identifier.Moment
	sent   bool
}

// replicaOverhead is about what a record takes in a message without its answer.
const replicaOverhead = 96

// replicate has another host hold what this one knows of a submission.
func (forwarder *Forwarder) replicate(submission identifier.SubmissionID) {
	if known := forwarder.replications.Get(submission); known != nil {
		known.sent = false
	} else {
		forwarder.replications.Put(submission, &replication{})
	}
	forwarder.flushReplicasAt(forwarder.now.Add(forwarder.Settings.Replicas.Pace))
}

// flushReplicasAt plans the next batch, unless an earlier one is planned.
func (forwarder *Forwarder) flushReplicasAt(due identifier.Moment) {
	if forwarder.nextReplicas != 0 && forwarder.nextReplicas <= due {
		return
	}
	forwarder.nextReplicas = due
	forwarder.timers.Set(timerKey{kind: timerReplicas}, due)
}

// Unhanded returns how many records have still to reach another host, as far as
// there is one.
func (forwarder *Forwarder) Unhanded() int {
	if forwarder.replications == nil || forwarder.secondHost("") == "" {
		return 0
	}
	return forwarder.replications.Len()
}

// replicateWith copies the records anew that the lost hosts shared with this one.
func (forwarder *Forwarder) replicateWith(lost func(identifier.HostID) bool) {
	forwarder.fronts.Each(func(submission identifier.SubmissionID, front *front) bool {
		if forwarder.sharesRecord(front) && lost(front.partner) {
			front.partner = ""
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

// sharesRecord tells whether this host is one of the two that keep the record of a
// caller's submission. Before that is so, route sees to it.
func (forwarder *Forwarder) sharesRecord(front *front) bool {
	if front.job.Home() != forwarder.FailureDomain || !front.forwardedBefore {
		return false
	}
	return front.answer != nil || front.forwardedTo == forwarder.Self
}

// handOver copies all records before this host leaves.
func (forwarder *Forwarder) handOver() {
	forwarder.leaving = true
	forwarder.fronts.Each(func(submission identifier.SubmissionID, front *front) bool {
		if front.forwardedBefore && front.job.Home() == forwarder.FailureDomain {
			forwarder.replicate(submission)
		}
		return true
	})
	forwarder.copies.Each(func(submission identifier.SubmissionID, _ *heldCopy) bool {
		forwarder.replicate(submission)
		return true
	})
}

// keepHandingOver copies what has become known while this host leaves.
func (forwarder *Forwarder) keepHandingOver(submission identifier.SubmissionID) {
	if forwarder.leaving {
		forwarder.replicate(submission)
	}
}

// sendReplicas sends the next batch to each host.
func (forwarder *Forwarder) sendReplicas() {
	forwarder.nextReplicas = 0
	batches := make(map[identifier.HostID]*SendReplicas)
	count, size := 0, 0
	next := identifier.Never
	forwarder.replications.Each(func(submission identifier.SubmissionID, replication *replication) bool {
		if due := replication.sentAt.Add(forwarder.Settings.Replicas.Resend); replication.sent && !due.Due(forwarder.now) {
			next = identifier.Earlier(next, due)
			return true
		}
		if count >= forwarder.Settings.Replicas.Batch || size >= forwarder.Settings.Replicas.BatchBytes {
			next = forwarder.now.Add(forwarder.Settings.Replicas.Pace)
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
		forwarder.flushReplicasAt(next)
	}
}

// sendReplica puts one replica into its host's batch and returns its size; zero
// when there is nothing to send or nobody to send it to. What has nobody waits in
// the table until a host comes.
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
		forwarder.add(batch)
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

// nextHolder picks a host for a record: rather one that does not have it yet, and
// another than the one tried before.
func (forwarder *Forwarder) nextHolder(submission identifier.SubmissionID, tried identifier.HostID) identifier.HostID {
	partners := forwarder.partnersOf(submission)
	// The lead is asked for answers, so it had better be the one that has them.
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
	if front := forwarder.fronts.Get(submission); front != nil && front.partner != "" {
		partners = append(partners, front.partner)
	}
	if held := forwarder.copies.Get(submission); held != nil && held.partner != "" {
		partners = append(partners, held.partner)
	}
	return partners
}

// replicaOf gathers what this host knows of a submission of the own failure
// domain, or nil.
func (forwarder *Forwarder) replicaOf(submission identifier.SubmissionID) *messenger.Replica {
	front, held := forwarder.fronts.Get(submission), forwarder.copies.Get(submission)
	ownFront := front != nil && front.forwardedBefore && front.job.Home() == forwarder.FailureDomain
	switch {
	case ownFront && (held == nil || held.answer == nil):
		answer := front.answer
		if answer != nil && answer.ClaimsNothing() {
			answer = nil
		}
		replica := &messenger.Replica{Record: forwarder.recordOf(front), Answer: answer}
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

// holdReplicas keeps what another host can't keep alone, and confirms it.
func (forwarder *Forwarder) holdReplicas(input *ReplicasArrived) {
	receipt := messenger.ReplicaReceipt{}
	for _, replica := range input.Replicas {
		submission := replica.Record.Submission
		if known := forwarder.otherAnswer(replica.Answer); known != nil {
			forwarder.add(&SendAnswer{To: input.From, Answer: known})
			receipt.Differing = append(receipt.Differing, submission)
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
		forwarder.expireCopyLater(submission)
		forwarder.keepHandingOver(submission)
		if replica.Answer != nil {
			receipt.Answered = append(receipt.Answered, submission)
		} else {
			receipt.Submissions = append(receipt.Submissions, submission)
		}
	}
	forwarder.add(&ConfirmReplicas{To: input.From, Receipt: receipt})
}

// otherAnswer returns the answer that this host holds of a submission, where it is not
// the one that another host wants held; else nil.
//
// A lead that was deposed without knowing may have an answer of its own. Were that
// confirmed, it would pass for one that two hosts hold, and its callers would hear
// another answer than those of the new lead.
func (forwarder *Forwarder) otherAnswer(answer *messenger.JobAnswer) *messenger.JobAnswer {
	if answer == nil {
		return nil
	}
	known := forwarder.keptAnswer(answer.Submission)
	if known == nil || known.ClaimsNothing() || known.Outcome == answer.Outcome {
		return nil
	}
	return known
}

// recordReplicasHeld notes the new partner of each record. An answer that stands at
// two hosts may be forgotten by the backend servers.
func (forwarder *Forwarder) recordReplicasHeld(input *ReplicasHeld) {
	for _, submission := range input.Receipt.Submissions {
		if replica := forwarder.replicaOf(submission); replica == nil || replica.Answer == nil {
			forwarder.endReplication(submission, input.From)
		}
	}
	for _, submission := range input.Receipt.Differing {
		forwarder.endReplication(submission, input.From)
	}
	for _, submission := range input.Receipt.Answered {
		forwarder.endReplication(submission, input.From)
		forwarder.add(&ConfirmAnswer{To: forwarder.Self, Submission: submission})
		forwarder.releaseHeldBack(submission)
	}
}

func (forwarder *Forwarder) endReplication(submission identifier.SubmissionID, partner identifier.HostID) {
	forwarder.replications.Remove(submission)
	if front := forwarder.fronts.Get(submission); front != nil {
		front.partner = partner
	}
	if held := forwarder.copies.Get(submission); held != nil {
		held.partner = partner
	}
}
