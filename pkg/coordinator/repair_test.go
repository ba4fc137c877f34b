package coordinator_test

import (
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// Symptom: a resubmitted job runs again, minutes after it was answered.
// Sequence: two hosts know the submission. The one that is not the lead crashes and restarts
// without state; later the lead crashes; the caller resubmits the job to the third.
// Cause: each loss alone is harmless, but no host restored the copy that the first one lost.
func TestRecordOutlivesTwoLossesInTurn(t *testing.T) {
	for _, name := range []string{"caller at the lead", "caller elsewhere"} {
		t.Run(name, func(t *testing.T) {
			network := newDomain(t, 4, 2)
			lead := network.leadOf("leuven")
			first := network.others(lead)[0]
			callerHost := first
			if name == "caller at the lead" {
				callerHost = lead
			}
			job := newJob("job", "team", 3, 50*time.Millisecond)
			network.submit(callerHost, job, time.Minute)
			network.advance(time.Second)
			network.expectAnswer(t, job, messenger.OutcomeComplete, messenger.ReasonNone)

			network.crashHost(first)
			network.advance(time.Second)
			network.startHost(first)
			network.advance(15 * time.Second)
			network.crashHost(lead)
			network.advance(15 * time.Second)

			// The oracle notices a second start and a different answer.
			waiter := network.oracle.lastWaiter + 1
			network.submit(first, job, time.Minute)
			network.advance(time.Second)
			if answer := network.oracle.answers[waiter]; answer == nil || answer.Outcome != messenger.OutcomeComplete {
				t.Fatalf("the resubmitted job was answered %+v", answer)
			}
		})
	}
}

// others returns the hosts other than the given one.
func (network *network) others(host *fakeHost) []*fakeHost {
	var others []*fakeHost
	for _, other := range network.hosts {
		if other != host {
			others = append(others, other)
		}
	}
	return others
}

// Symptom: a resubmitted job runs again after one loss.
// Sequence: the caller is connected to a host of another failure domain than the job's home; the
// home lead answers and crashes; the caller resubmits the job to a third host.
// Cause: the lead and the caller's host held the record, and a new lead queries only its own
// failure domain.
func TestRecordOfRemoteCallerOutlivesTheLead(t *testing.T) {
	network := newTwoDomains(t)
	job := newJob("job", "team", 2, 50*time.Millisecond)
	job.MayRun = bothDomains[1:]
	network.submit(network.hosts[0], job, time.Minute)
	network.advance(time.Second)
	network.expectAnswer(t, job, messenger.OutcomeComplete, messenger.ReasonNone)
	network.crashHost(network.leadOf("roeselare"))
	network.advance(15 * time.Second)
	waiter := network.oracle.lastWaiter + 1
	network.submit(network.hosts[1], job, time.Minute)
	network.advance(time.Second)
	if answer := network.oracle.answers[waiter]; answer == nil || answer.Outcome != messenger.OutcomeComplete {
		t.Fatalf("the resubmitted job was answered %+v", answer)
	}
}
