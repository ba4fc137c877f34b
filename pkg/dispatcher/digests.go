package dispatcher

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// A lead records the digest of each submission of its home that it starts, spills or answers. The
// digests reach hosts that hold no record of the submission, after the fact. A lead that finds a
// digest without a record starts nothing of the submission: the hosts that knew it are lost, and its
// tasks may have run.

// recordDigest records that a submission of this home must not be started as a new one.
func (dispatcher *Dispatcher) recordDigest(job *job, kind messenger.DigestKind) {
	if job.homeLead != "" || job.digest >= kind {
		return
	}
	job.digest = kind
	dispatcher.outputs.add(&RecordDigest{Submission: job.spec.Submission, Kind: kind})
}

// digestKindOf returns the kind of the digest that a job needs once it has an answer.
func digestKindOf(answer *messenger.JobAnswer) messenger.DigestKind {
	switch {
	case answer.NotRun, answer.Outcome == messenger.OutcomeFailed:
		return messenger.DigestEnded
	case answer.ClaimsNothing():
		return messenger.DigestNone
	default:
		return messenger.DigestStarted
	}
}

// recordRecoveredDigest records the digest of a submission that an earlier lead may not have sent
// to all hosts before it was lost.
func (dispatcher *Dispatcher) recordRecoveredDigest(record messenger.CopyRecord) {
	settled := record.Answered || record.SpilledTo != ""
	if settled && record.Age < maxUnsentDigestAge {
		dispatcher.outputs.add(&RecordDigest{Submission: record.Submission, Kind: messenger.DigestStarted})
	}
}

// maxUnsentDigestAge is the age up to which an earlier lead may not have sent a digest.
const maxUnsentDigestAge = 10 * time.Second

// endDigested ends a job whose digest says that it must not be started. A job that a host knows is
// ended only if the hosts that hold its answer may be lost; without that doubt, one of them replies
// sooner or later. The refusal claims nothing about the job, since its first answer, which the caller
// may have, still holds.
func (dispatcher *Dispatcher) endDigested(cell *cell, job *job, findings takeoverFindings) bool {
	answerMayBeLost := !findings.known || cell.mayMissRecords()
	switch dispatcher.digestOf(job) {
	case messenger.DigestNone:
		return false
	case messenger.DigestStarted:
		if !findings.looksNew && (findings.located || !answerMayBeLost) {
			return false
		}
	case messenger.DigestEnded:
		if !answerMayBeLost {
			return false
		}
	}
	dispatcher.finish(job, messenger.RefuseUnknown(job.spec.Submission, messenger.ReasonAnswerLost,
		"an earlier submission was started or answered, but no live host has its record"))
	return true
}

// takeoverFindings are what a takeover has found about a job without an answer.
type takeoverFindings struct {
	// looksNew reports whether nothing suggests that an earlier lead had the job.
	looksNew bool
	// known reports whether a host of the failure domain has a record of the job.
	known bool
	// located reports whether a backend server has tasks of the job, or another failure domain has it
	// or may still tell.
	located bool
}

func (dispatcher *Dispatcher) digestOf(job *job) messenger.DigestKind {
	if dispatcher.Digests == nil || job.homeLead != "" {
		return messenger.DigestNone
	}
	return dispatcher.Digests.KindOf(job.spec.Submission)
}

// isLastHost reports whether the other hosts of the failure domain are lost. What this host answers
// may then be lost with it, so it must claim nothing that the next lead could contradict.
func (dispatcher *Dispatcher) isLastHost() bool {
	return dispatcher.Digests != nil && dispatcher.Digests.IsLastHost()
}

// requestDigestsIfNeeded requests the digests that other hosts have once this lead may lack some. A
// takeover waits for them.
func (dispatcher *Dispatcher) requestDigestsIfNeeded(cell *cell) {
	if dispatcher.Digests == nil || cell.digestsRequested || !cell.mayMissDigests(dispatcher.holders()) {
		return
	}
	cell.digestsRequested = true
	cell.awaitsDigests = !cell.ready
	dispatcher.outputs.add(&DigestsRequested{})
}

// holders returns how many hosts of the failure domain hold the record of a submission.
func (dispatcher *Dispatcher) holders() int {
	if dispatcher.HasPeers {
		return holdersOfRecord
	}
	return 1
}

// handleDigestsCollected ends the wait of the takeovers for digests.
func (dispatcher *Dispatcher) handleDigestsCollected() {
	dispatcher.cells.Each(func(_ messenger.CellNumber, cell *cell) bool {
		cell.awaitsDigests = false
		dispatcher.finishTakeoverIfComplete(cell)
		return true
	})
}

// DigestsCollected reports that all live hosts have been queried for digests.
type DigestsCollected struct{}

func (*DigestsCollected) isDispatcherInput() {}

// RecordDigest records that a submission of this home has been started, spilled or answered.
type RecordDigest struct {
	Submission identifier.SubmissionID
	Kind       messenger.DigestKind
}

// DigestsRequested requests the digests of this home from all live hosts. DigestsCollected follows.
type DigestsRequested struct{}

func (*RecordDigest) isDispatcherOutput()     {}
func (*DigestsRequested) isDispatcherOutput() {}
