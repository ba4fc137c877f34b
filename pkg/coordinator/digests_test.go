package coordinator_test

import (
	"testing"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// TestDigestsOfAnotherDomainAreRejected guards against refusals of new submissions because of digests
// that a host with wrong settings sends.
func TestDigestsOfAnotherDomainAreRejected(t *testing.T) {
	network := newNetwork(bothDomains, 3, 2, 4)
	receiver, foreign := network.hosts[0], network.hosts[3]
	job := newJob("job", "team", 1, 0)
	batch := messenger.DigestBatch{Home: "leuven", Groups: []messenger.DigestGroup{{
		Kind: messenger.DigestEnded, Digests: []messenger.SubmissionDigest{messenger.DigestOf(job.Submission)},
	}}}
	outputs := receiver.coordinator.Tick(network.now, []coordinator.Input{&coordinator.PeerBatchArrived{
		From: foreign.id, Batch: coordinator.PeerBatch{Messages: []coordinator.PeerMessage{{DigestBatch: &batch}, {DigestReply: &messenger.DigestBatch{Home: "roeselare"}}}},
	}})
	rejected := 0
	for _, output := range outputs {
		if rejection, isRejection := output.(*coordinator.DigestsRejected); isRejection && rejection.From == foreign.id {
			rejected++
		}
	}
	if rejected != 2 {
		t.Errorf("%d messages rejected, want 2", rejected)
	}
}
