package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// cost counts the messages between hosts, without gossip and load messages.
type cost struct{ batches, messages int }

func (cost *cost) count(batch *coordinator.ToPeer) {
	messages := 0
	for _, message := range batch.Batch.Messages {
		if message.Gossip == nil && message.Load == nil {
			messages++
		}
	}
	cost.messages += messages
	if messages > 0 {
		cost.batches++
	}
}

// TestCostOfAJob pins the number of messages between hosts that a job takes and the time to its
// answer, with a hop of 0.25 ms and a task of 1 ms, depending on which host leads the job's cell.
func TestCostOfAJob(t *testing.T) {
	datadriven.RunTest(t, "testdata/cost-of-a-job", func(t *testing.T, data *datadriven.TestData) string {
		network := newNetwork(bothDomains, 3, 2, 4)
		lead := network.leadOf("leuven")
		caller := map[string]*fakeHost{"lead": lead, "neighbour": nil, "other-domain": network.hosts[3]}[data.Cmd]
		for _, host := range network.hosts[:3] {
			if caller == nil && host != lead {
				caller = host
			}
		}
		job := newJob("job", "team", 1, time.Millisecond)
		started := network.now
		network.cost = &cost{}
		network.submit(caller, job, time.Minute)
		var answeredAt identifier.Moment
		for answeredAt == 0 {
			network.advance(hop / 5)
			if network.finalAnswer(job) != nil {
				answeredAt = network.now
			}
		}
		network.advance(500 * time.Millisecond)
		return fmt.Sprintf("answer after %v, %d messages in %d batches\n",
			answeredAt.Sub(started), network.cost.messages, network.cost.batches)
	})
}
