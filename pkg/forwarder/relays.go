package forwarder

import (
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
	from     identifier.HostID
	forward  *messenger.Forward
	deadline identifier.Moment
	copyAt   identifier.HostID
	passed   bool
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
	known.from = input.From
	known.forward = input.Forward
	known.deadline = input.Deadline
	known.passed = false
	forwarder.protectRelay(submission, known)
}

// protectRelay asks a neighbour for a copy, another one each time; a host that is
// alone goes on without.
func (forwarder *Forwarder) protectRelay(submission identifier.SubmissionID, relay *relay) {
	second := forwarder.secondHost(relay.copyAt)
	key := forwarder.cellOf(relay.forward.Job)
	lead := forwarder.leads.Get(key)
	if second == "" || lead == nil {
		forwarder.passRelay(relay)
		return
	}
	relay.copyAt = second
	forwarder.add(&HoldCopies{To: second, Records: []messenger.CopyRecord{{
		Submission: submission,
		Caller:     relay.forward.Job.Caller,
		Job:        relay.forward.Job.Job,
		Cell:       key.cell,
		Age:        relay.forward.Age,
		Epoch:      lead.epoch,
	}}})
	due := forwarder.now.Add(forwarder.Settings.CopyWait)
	forwarder.timers.Set(timerKey{kind: timerRelay, submission: submission}, due)
}

func (forwarder *Forwarder) expireRelay(submission identifier.SubmissionID) {
	if relay := forwarder.relays.Get(submission); relay != nil && !relay.passed {
		forwarder.protectRelay(submission, relay)
	}
}

func (forwarder *Forwarder) recordRelayCopy(submission identifier.SubmissionID, holder identifier.HostID) {
	relay := forwarder.relays.Get(submission)
	if relay != nil && !relay.passed && relay.copyAt == holder {
		forwarder.timers.Clear(timerKey{kind: timerRelay, submission: submission})
		forwarder.passRelay(relay)
	}
}

func (forwarder *Forwarder) passRelay(relay *relay) {
	relay.passed = true
	forwarder.add(&PassJob{From: relay.from, Partner: relay.copyAt, Forward: *relay.forward, Deadline: relay.deadline})
	relay.forward = &messenger.Forward{Job: relay.forward.Job.WithoutTasks()}
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
