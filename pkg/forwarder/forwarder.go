// Package forwarder decides, on the host that a caller is connected to, which
// lead gets the job, and keeps the caller's side of it until the one answer is
// there. It also holds the second copy of submissions that other hosts lead.
//
// It is pure: time and messages come in through Tick, messages to send go out.
//
// Before the first task of a submission starts, two hosts know it: the lead of
// its cell, and either the host that the caller is connected to or, where that
// is the lead itself, another host of the failure domain. Without the second
// host, a resend after the lead's death would look like a new submission and its
// tasks would run twice.
package forwarder

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// Settings bounds how long the forwarder waits and remembers.
type Settings struct {
	// Cells is how many cells each failure domain's slots are divided into.
	Cells int
	// HomeWait is how long a job waits for a lead of its home to be known before
	// it is refused as not known to have run.
	HomeWait time.Duration
	// CopyWait is how long the lead waits for a second host to hold its copy
	// before it asks another.
	CopyWait time.Duration
	// AnswerRetention is how long an answer or a copy is kept.
	AnswerRetention time.Duration
	// LoneAnswerWait is how long the only living host of a failure domain waits
	// for a second one to hold an answer before it does without.
	LoneAnswerWait time.Duration
	// AskAgain is how long after its forwarding a job is forwarded again for want of
	// an answer; each wait is twice as long as the one before.
	AskAgain time.Duration
	// LostHomeWait is how long a job waits for a home of which no host lives.
	LostHomeWait time.Duration
	// QuestionWait is how long leads may take to tell what they know of a
	// submission before others are asked and the same ones again.
	QuestionWait time.Duration
	// Records bounds the submissions that this host remembers; beyond it new ones
	// are refused.
	Records int
	// LongestJob is how long the copy of an unanswered job without a deadline is
	// kept.
	LongestJob time.Duration
	// Replicas paces the copying of records when hosts come and go.
	Replicas ReplicaSettings
}

// DefaultSettings returns the settings that the daemon starts from.
func DefaultSettings() Settings {
	return Settings{
		Cells:           1,
		HomeWait:        3 * time.Second,
		CopyWait:        200 * time.Millisecond,
		AnswerRetention: 10 * time.Minute,
		LoneAnswerWait:  30 * time.Second,
		AskAgain:        5 * time.Second,
		LostHomeWait:    200 * time.Millisecond,
		QuestionWait:    500 * time.Millisecond,
		Records:         2_000_000,
		LongestJob:      time.Hour,
		Replicas:        DefaultReplicaSettings(),
	}
}

// Forwarder holds the caller's side of submissions. Set the exported fields
// before the first Tick.
type Forwarder struct {
	Self          identifier.HostID
	FailureDomain identifier.FailureDomain
	Settings      Settings

	now    identifier.Moment
	fronts *tabulator.Table[identifier.SubmissionID, front]
	copies *tabulator.Table[identifier.SubmissionID, heldCopy]
	relays *tabulator.Table[identifier.SubmissionID, relay]
	leads  *tabulator.Table[cellKey, lead]
	timers *tabulator.Timers[timerKey]
	living []identifier.HostID
	// lostDomains are the failure domains of which no host lives.
	lostDomains  map[identifier.FailureDomain]bool
	questions    *tabulator.Table[messenger.QuestionNumber, question]
	lastQuestion messenger.QuestionNumber
	// leaving tells that this host hands over what it knows.
	leaving      bool
	replications *tabulator.Table[identifier.SubmissionID, replication]
	nextReplicas identifier.Moment
	outputs      []Output
}

// Tick applies the inputs in order, lets deadlines fall due and returns the
// messages to send.
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

// NextDeadline returns when Tick must run even without inputs.
func (forwarder *Forwarder) NextDeadline() identifier.Moment {
	if forwarder.timers == nil {
		return identifier.Never
	}
	return forwarder.timers.Next()
}

// Unanswered returns how many submissions of this host's callers have no answer.
func (forwarder *Forwarder) Unanswered() int {
	if forwarder.fronts == nil {
		return 0
	}
	count := 0
	forwarder.fronts.Each(func(_ identifier.SubmissionID, front *front) bool {
		if front.answer == nil || front.answerHeldBack {
			count++
		}
		return true
	})
	return count
}

// Questions returns how many questions and cancellations of this host's callers have no answer.
func (forwarder *Forwarder) Questions() int {
	count := 0
	forwarder.questions.Each(func(_ messenger.QuestionNumber, question *question) bool {
		if len(question.waiters) > 0 {
			count++
		}
		return true
	})
	return count
}

func (forwarder *Forwarder) prepare(now identifier.Moment) {
	forwarder.now = now
	if forwarder.fronts != nil {
		return
	}
	forwarder.fronts = tabulator.New[identifier.SubmissionID, front]()
	forwarder.copies = tabulator.New[identifier.SubmissionID, heldCopy]()
	forwarder.relays = tabulator.New[identifier.SubmissionID, relay]()
	forwarder.questions = tabulator.New[messenger.QuestionNumber, question]()
	forwarder.lostDomains = make(map[identifier.FailureDomain]bool)
	forwarder.replications = tabulator.New[identifier.SubmissionID, replication]()
	forwarder.leads = tabulator.New[cellKey, lead]()
	forwarder.timers = tabulator.NewTimers[timerKey]()
}

func (forwarder *Forwarder) apply(input Input) {
	switch input := input.(type) {
	case *CallerSubmitted:
		forwarder.submit(input)
	case *CallerAsked:
		forwarder.ask(input)
	case *CallerCancelled:
		forwarder.cancel(input)
	case *HostEnds:
		forwarder.endAll()
	case *AnswerArrived:
		forwarder.recordAnswer(input)
	case *AnswerRequested:
		forwarder.sendKeptAnswer(input)
	case *LeadKnown:
		forwarder.recordLead(input)
	case *HostsChanged:
		forwarder.changeLiving(input.Living)
	case *DomainChanged:
		forwarder.changeDomain(input)
	case *QuestionAnswered:
		forwarder.answerQuestion(input)
	case *HolderAsked:
		forwarder.askHolder(input)
	case *HostRestarted:
		forwarder.replaceRestarted(input.Host)
	case *LeadReconnected:
		forwarder.reconnect(input.Host)
	case *LeaveRequested:
		forwarder.handOver()
	case *ReplicasArrived:
		forwarder.holdReplicas(input)
	case *ReplicasHeld:
		forwarder.recordReplicasHeld(input)
	case *SecondHolderWanted:
		forwarder.replicate(input.Submission)
	case *CopiesWanted:
		forwarder.holdCopies(input)
	case *CopiesHeld:
		forwarder.recordCopiesHeld(input)
	case *JobHandedOver:
		forwarder.recordHandOver(input)
	case *RecordsLearned:
		forwarder.learnRecords(input)
	case *JobRelayed:
		forwarder.relayJob(input)
	case *AnswerGiven:
		forwarder.keepGivenAnswer(input.Answer)
	case *AnswerCopyArrived:
		forwarder.holdAnswer(input)
	case *AnswerCopyHeld:
		forwarder.recordAnswerCopyHeld(input)
	case *TakeoverQueried:
		forwarder.replyToTakeover(input)
	}
}

func (forwarder *Forwarder) add(output Output) { forwarder.outputs = append(forwarder.outputs, output) }

// cellOf names the cell that keeps the record of a job.
func (forwarder *Forwarder) cellOf(job *messenger.Job) cellKey {
	return cellKey{failureDomain: job.Home(), cell: messenger.CellOf(job.Submission, forwarder.Settings.Cells)}
}
