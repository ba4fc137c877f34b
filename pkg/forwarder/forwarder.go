// Package forwarder decides, on the host that a caller is connected to, which lead receives
// the job, and keeps the state of the caller's requests until the one answer has arrived. It
// also holds the second copy of submissions that other hosts lead.
//
// It has no side effects: time and messages enter through Tick, and Tick returns the messages
// to send.
//
// Before the first task of a submission starts, two hosts know it: the lead of its cell, and
// either the host that the caller is connected to or, where that is the lead itself, another
// host of the failure domain. Without the second host, a resend after the lead's death would
// look like a new submission and its tasks would run twice.
package forwarder

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// Settings bounds how long the forwarder waits and how much it retains.
type Settings struct {
	// Cells is the number of cells into which each failure domain's slots are divided.
	Cells int
	// HomeWait is how long a job waits for a lead of its home to become known before it is
	// refused; the refusal does not say whether it ran.
	HomeWait time.Duration
	// CopyWait is how long the lead waits for a second host to confirm a copy before it
	// requests one from another host.
	CopyWait time.Duration
	// AnswerRetention is how long an answer or a copy is kept.
	AnswerRetention time.Duration
	// UnreplicatedAnswerWait is how long the only living host of a failure domain waits for a
	// second host to hold an answer before it goes on without one.
	UnreplicatedAnswerWait time.Duration
	// ResendInterval is how long after its forwarding a job without an answer is forwarded again.
	// Each further wait is twice as long as the one before.
	ResendInterval time.Duration
	// DeadHomeWait is how long a job waits for a home of which no host lives.
	DeadHomeWait time.Duration
	// LookupWait is how long leads have to answer a lookup of a submission before further
	// leads are queried and the same ones again.
	LookupWait time.Duration
	// MaxRecords is the maximum number of submissions that this host holds. Beyond it new ones
	// are refused.
	MaxRecords int
	// MaxJobDuration is how long the copy of an unanswered job without a deadline is kept.
	MaxJobDuration time.Duration
	// Replicas limits the rate at which records are copied when hosts come and go.
	Replicas ReplicaSettings
}

// DefaultSettings returns the defaults that the daemon starts from.
func DefaultSettings() Settings {
	return Settings{
		Cells:                  1,
		HomeWait:               3 * time.Second,
		CopyWait:               200 * time.Millisecond,
		AnswerRetention:        10 * time.Minute,
		UnreplicatedAnswerWait: 30 * time.Second,
		ResendInterval:         5 * time.Second,
		DeadHomeWait:           200 * time.Millisecond,
		LookupWait:             500 * time.Millisecond,
		MaxRecords:             2_000_000,
		MaxJobDuration:         time.Hour,
		Replicas:               DefaultReplicaSettings(),
	}
}

// Forwarder holds the requests of this host's callers and the copies that it keeps for other
// hosts. Set the exported fields before the first Tick.
type Forwarder struct {
	Self          identifier.HostID
	FailureDomain identifier.FailureDomain
	Settings      Settings

	now              identifier.Moment
	localSubmissions *tabulator.Table[identifier.SubmissionID, localSubmission]
	copies           *tabulator.Table[identifier.SubmissionID, heldCopy]
	relays           *tabulator.Table[identifier.SubmissionID, relay]
	leads            *tabulator.Table[cellKey, lead]
	timers           *tabulator.Timers[timerKey]
	living           []identifier.HostID
	// lostDomains holds the failure domains of which no host lives.
	lostDomains map[identifier.FailureDomain]bool
	lookups     *tabulator.Table[messenger.LookupNumber, lookup]
	lastLookup  messenger.LookupNumber
	// leaving reports whether this host is handing over its records before it leaves.
	leaving      bool
	replications *tabulator.Table[identifier.SubmissionID, replication]
	nextBatchAt  identifier.Moment
	outputs      []Output
}

// Tick handles the inputs in order, then the deadlines that are due, and returns the messages
// to send.
func (forwarder *Forwarder) Tick(now identifier.Moment, inputs []Input) []Output {
	forwarder.prepare(now)
	for _, input := range inputs {
		forwarder.apply(input)
	}
	forwarder.expire()
	outputs := forwarder.outputs
	forwarder.outputs = nil
	return outputs
}

// NextDeadline returns when Tick must run next even without inputs.
func (forwarder *Forwarder) NextDeadline() identifier.Moment {
	if forwarder.timers == nil {
		return identifier.Never
	}
	return forwarder.timers.Next()
}

// Unanswered returns how many submissions of this host's callers have no answer yet.
func (forwarder *Forwarder) Unanswered() int {
	if forwarder.localSubmissions == nil {
		return 0
	}
	count := 0
	forwarder.localSubmissions.Each(func(_ identifier.SubmissionID, localSubmission *localSubmission) bool {
		if localSubmission.answer == nil || localSubmission.answerWithheld {
			count++
		}
		return true
	})
	return count
}

// WaitingLookups returns how many queries and cancellations of this host's callers wait for the
// answer of a lookup.
func (forwarder *Forwarder) WaitingLookups() int {
	count := 0
	forwarder.lookups.Each(func(_ messenger.LookupNumber, lookup *lookup) bool {
		if len(lookup.waiters) > 0 {
			count++
		}
		return true
	})
	return count
}

func (forwarder *Forwarder) prepare(now identifier.Moment) {
	forwarder.now = now
	if forwarder.localSubmissions != nil {
		return
	}
	forwarder.localSubmissions = tabulator.New[identifier.SubmissionID, localSubmission]()
	forwarder.copies = tabulator.New[identifier.SubmissionID, heldCopy]()
	forwarder.relays = tabulator.New[identifier.SubmissionID, relay]()
	forwarder.lookups = tabulator.New[messenger.LookupNumber, lookup]()
	forwarder.lostDomains = make(map[identifier.FailureDomain]bool)
	forwarder.replications = tabulator.New[identifier.SubmissionID, replication]()
	forwarder.leads = tabulator.New[cellKey, lead]()
	forwarder.timers = tabulator.NewTimers[timerKey]()
}

func (forwarder *Forwarder) apply(input Input) {
	switch input := input.(type) {
	case *CallerSubmitted:
		forwarder.submit(input)
	case *CallerQueried:
		forwarder.lookUp(input)
	case *CallerCancelled:
		forwarder.cancel(input)
	case *ShutdownStarted:
		forwarder.answerAllOnShutdown()
	case *AnswerArrived:
		forwarder.recordAnswer(input)
	case *AnswerRequested:
		forwarder.sendKeptAnswer(input)
	case *LeadChanged:
		forwarder.recordLead(input)
	case *HostsChanged:
		forwarder.handleHostsChanged(input.Living)
	case *DomainChanged:
		forwarder.handleDomainChanged(input)
	case *LookupReplied:
		forwarder.handleLookupReply(input)
	case *ClaimHolderQueried:
		forwarder.lookUpHolder(input)
	case *HostRestarted:
		forwarder.handleHostRestarted(input.Host)
	case *LeadReconnected:
		forwarder.handleReconnected(input.Host)
	case *LeaveRequested:
		forwarder.startLeaving()
	case *ReplicasArrived:
		forwarder.storeReplicas(input)
	case *ReplicasHeld:
		forwarder.recordReplicasHeld(input)
	case *AnswerReplicationRequested:
		forwarder.replicate(input.Submission)
	case *CopiesRequested:
		forwarder.storeCopies(input)
	case *CopiesHeld:
		forwarder.recordCopiesHeld(input)
	case *JobSpilled:
		forwarder.recordSpill(input)
	case *TakeoverRecordsArrived:
		forwarder.addTakeoverRecords(input)
	case *JobRelayed:
		forwarder.relayJob(input)
	case *AnswerSent:
		forwarder.keepOwnAnswer(input.Answer)
	case *AnswerCopyArrived:
		forwarder.storeAnswerCopy(input)
	case *AnswerCopyHeld:
		forwarder.recordAnswerCopyHeld(input)
	case *TakeoverQueried:
		forwarder.replyToTakeover(input)
	}
}

func (forwarder *Forwarder) emit(output Output) {
	forwarder.outputs = append(forwarder.outputs, output)
}

// cellOf returns the cell that keeps the record of a job.
func (forwarder *Forwarder) cellOf(job *messenger.Job) cellKey {
	return cellKey{failureDomain: job.Home(), cell: messenger.CellOf(job.Submission, forwarder.Settings.Cells)}
}
