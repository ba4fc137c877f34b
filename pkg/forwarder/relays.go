package forwarder

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// relay is a job of this host's cell whose caller is connected to a host of another failure
// domain.
//
// That host knows the job, but a new lead queries only the hosts of its own failure domain. If
// the lead died and the caller resent the job to a third host, it would look new and its tasks
// would run twice. So a neighbour must hold the record before the job may start, and the
// answer before backend servers may forget it.
type relay struct {
	// waiting holds the submissions that wait for the copy. A resend may come from another
	// host before the copy is confirmed, and each host must get the answer.
	waiting []relayedSubmission
	copyAt  identifier.HostID
}

// relayedSubmission is a job as one host has relayed it.
type relayedSubmission struct {
	from     identifier.HostID
	forward  *messenger.Forward
	deadline identifier.Moment
}

// relayJob makes a neighbour hold a copy of a job before it goes to the dispatcher.
func (forwarder *Forwarder) relayJob(input *JobRelayed) {
	submission := input.Forward.Job.Submission
	known := forwarder.relays.Get(submission)
	if known == nil {
		known = &relay{}
		forwarder.relays.Put(submission, known)
		due := forwarder.now.Add(forwarder.Settings.AnswerRetention)
		forwarder.timers.Set(timerKey{kind: timerExpireRelay, submission: submission}, due)
	}
	requested := len(known.waiting) > 0
	known.add(relayedSubmission{from: input.From, forward: input.Forward, deadline: input.Deadline})
	if !requested {
		forwarder.requestRelayCopy(submission, known)
	}
}

// add adds a submission and replaces an earlier one from the same host.
func (relay *relay) add(relayed relayedSubmission) {
	index := slices.IndexFunc(relay.waiting, func(known relayedSubmission) bool { return known.from == relayed.from })
	if index < 0 {
		relay.waiting = append(relay.waiting, relayed)
		return
	}
	relay.waiting[index] = relayed
}

// requestRelayCopy requests a copy from a neighbour, another one each time. A host without
// living neighbours passes the job on without a copy.
func (forwarder *Forwarder) requestRelayCopy(submission identifier.SubmissionID, relay *relay) {
	second := forwarder.secondHost(relay.copyAt)
	first := relay.waiting[0].forward
	key := forwarder.cellOf(first.Job)
	lead := forwarder.leads.Get(key)
	if second == "" || lead == nil {
		forwarder.passRelay(relay)
		return
	}
	relay.copyAt = second
	forwarder.emit(&StoreCopies{To: second, Records: []messenger.CopyRecord{{
		Submission: submission,
		Caller:     first.Job.Caller,
		Job:        first.Job.Job,
		Cell:       key.cell,
		Age:        first.Age,
		Epoch:      lead.epoch,
	}}})
	due := forwarder.now.Add(forwarder.Settings.CopyWait)
	forwarder.timers.Set(timerKey{kind: timerRelayCopy, submission: submission}, due)
}

func (forwarder *Forwarder) retryRelayCopy(submission identifier.SubmissionID) {
	if relay := forwarder.relays.Get(submission); relay != nil && len(relay.waiting) > 0 {
		forwarder.requestRelayCopy(submission, relay)
	}
}

func (forwarder *Forwarder) recordRelayCopy(submission identifier.SubmissionID, holder identifier.HostID) {
	relay := forwarder.relays.Get(submission)
	if relay != nil && len(relay.waiting) > 0 && relay.copyAt == holder {
		forwarder.timers.Clear(timerKey{kind: timerRelayCopy, submission: submission})
		forwarder.passRelay(relay)
	}
}

func (forwarder *Forwarder) passRelay(relay *relay) {
	for _, relayed := range relay.waiting {
		forwarder.emit(&PassJob{From: relayed.from, Partner: relay.copyAt, Forward: *relayed.forward, Deadline: relayed.deadline})
	}
	relay.waiting = nil
}

// replicateRelayAnswer requests that a neighbour hold the answer of a relayed job.
func (forwarder *Forwarder) replicateRelayAnswer(answer *messenger.JobAnswer) {
	relay := forwarder.relays.Get(answer.Submission)
	second := forwarder.secondHost("")
	if relay == nil || second == "" {
		return
	}
	forwarder.emit(&StoreAnswerCopy{To: second, Copy: messenger.AnswerCopy{Answer: answer}})
}
