package executor

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	backendv1 "github.com/stoathitch/stoathitch/pkg/protocol/backend/v1"
)

// acknowledgedKey identifies a submission of which an answer was acknowledged.
type acknowledgedKey struct {
	cell   uint32
	digest messenger.SubmissionDigest
}

// acknowledge deletes an answer but records that it was acknowledged: all entry hosts that
// know the job's answer may be lost, and its tasks would run again when the submission is
// resent.
func (executor *Executor) acknowledge(received *backendv1.AnswerReceived) {
	key := taskKey{submission: received.GetSubmission(), task: received.GetTask()}
	finished, kept := executor.finished[key]
	if !kept {
		return
	}
	delete(executor.finished, key)
	digest := messenger.DigestOf(identifier.SubmissionID(key.submission))
	executor.acknowledged[acknowledgedKey{cell: finished.cell, digest: digest}] = time.Now().Add(answerRetention)
}

// acknowledgedDigests lists the acknowledged submissions of a cell for a lead that may miss
// records.
func (executor *Executor) acknowledgedDigests(cell uint32) []uint64 {
	var digests []uint64
	for key := range executor.acknowledged {
		if key.cell == cell {
			digests = append(digests, uint64(key.digest))
		}
	}
	return digests
}

func (executor *Executor) forgetAcknowledged(now time.Time) {
	for key, forgetAt := range executor.acknowledged {
		if now.After(forgetAt) {
			delete(executor.acknowledged, key)
		}
	}
}
