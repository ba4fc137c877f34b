package forwarder

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// relay is a job of this host's cell whose caller is connected to a host of
// another failure domain.
//
// That host knows the job, but a new lead asks only the hosts of its own failure
// domain. If the lead died and the caller sent the job again to a third host, it
// would look new and its tasks would run twice. So a neighbour must hold the record
// before the job may start, and the answer before backend servers may forget it.
type relay struct {
	// waiting are the sendings that wait for the copy: a resend may come from
	// another host before it is held, and each host must get the answer.
	waiting []relayed
	copyAt  identifier.HostID
}

// relayed is one sending of a relayed job.
type relayed struct {
	from     identifier.HostID
	forward  *messenger.Forward
	deadline identifier.Moment
}

// relayJob has a neighbour remember a job before it goes to the dispatcher.
func (forwarder *Forwarder) relayJob(input *JobRelayed) {
	submission := input.Forward.Job.Submission
	known := forwarder.relays.Get(submission)
	if known == nil {
		known = &relay{}
		forwarder.relays.Put(submission, known)
		due := forwarder.now.Add(forwarder.Settings.AnswerRetention)
		forwarder.timers.Set(timerKey{kind: timerForgetRelay, submission: submission}, due)
	}
	asked := len(known.waiting) > 0
	known.add(relayed{from: input.From, forward: input.Forward, deadline: input.Deadline})
	if !asked {
		forwarder.protectRelay(submission, known)
	}
}

// add notes a sending in place of an earlier one from the same host.
func (relay *relay) add(sending relayed) {
	index := slices.IndexFunc(relay.waiting, func(known relayed) bool { return known.from == sending.from })
	if index < 0 {
		relay.waiting = append(relay.waiting, sending)
		return
	}
	relay.waiting[index] = sending
}

// protectRelay asks a neighbour for a copy, another one each time; a host that is
// alone goes on without.
func (forwarder *Forwarder) protectRelay(submission identifier.SubmissionID, relay *relay) {
	second := forwarder.secondHost(relay.copyAt)
	first := relay.waiting[0].forward
	key := forwarder.cellOf(first.Job)
	lead := forwarder.leads.Get(key)
	if second == "" || lead == nil {
		forwarder.passRelay(relay)
		return
	}
	relay.copyAt = second
	forwarder.add(&HoldCopies{To: second, Records: []messenger.CopyRecord{{
		Submission: submission,
		Caller:     first.Job.Caller,
		Job:        first.Job.Job,
		Cell:       key.cell,
		Age:        first.Age,
		Epoch:      lead.epoch,
	}}})
	due := forwarder.now.Add(forwarder.Settings.CopyWait)
	forwarder.timers.Set(timerKey{kind: timerRelay, submission: submission}, due)
}

func (forwarder *Forwarder) expireRelay(submission identifier.SubmissionID) {
	if relay := forwarder.relays.Get(submission); relay != nil && len(relay.waiting) > 0 {
		forwarder.protectRelay(submission, relay)
	}
}

func (forwarder *Forwarder) recordRelayCopy(submission identifier.SubmissionID, holder identifier.HostID) {
	relay := forwarder.relays.Get(submission)
	if relay != nil && len(relay.waiting) > 0 && relay.copyAt == holder {
		forwarder.timers.Clear(timerKey{kind: timerRelay, submission: submission})
		forwarder.passRelay(relay)
	}
}

func (forwarder *Forwarder) passRelay(relay *relay) {
	for _, sending := range relay.waiting {
		forwarder.add(&PassJob{From: sending.from, Partner: relay.copyAt, Forward: *sending.forward, Deadline: sending.deadline})
	}
	relay.waiting = nil
}

// spreadRelayAnswer has a neighbour hold the answer of a relayed job.
func (forwarder *Forwarder) spreadRelayAnswer(answer *messenger.JobAnswer) {
	relay := forwarder.relays.Get(answer.Submission)
	second := forwarder.secondHost("")
	if relay == nil || second == "" {
		return
	}
	forwarder.add(&HoldAnswer{To: second, Copy: messenger.AnswerCopy{Answer: answer}})
}
