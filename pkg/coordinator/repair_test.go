package coordinator_test

import (
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// Symptom: a resend runs again, minutes after the job was answered.
// Sequence: two hosts know the submission. The one that is not the lead crashes and
// comes back empty; later the lead crashes; the caller sends the job to the third.
// Cause: each loss alone is harmless, but nobody made good for the first.
func TestRecordOutlivesTwoLossesInTurn(t *testing.T) {
	for _, name := range []string{"caller at the lead", "caller elsewhere"} {
		t.Run(name, func(t *testing.T) {
			network := domainOf(t, 4, 2)
			lead := network.leadOf("leuven")
			first := network.others(lead)[0]
			front := first
			if name == "caller at the lead" {
				front = lead
			}
			job := jobOf("job", "team", 3, 50*time.Millisecond)
			network.submit(front, job, time.Minute)
			network.advance(time.Second)
			network.expect(t, job, messenger.OutcomeComplete, messenger.ReasonNone)

			network.crashHost(first)
			network.advance(time.Second)
			network.startHost(first)
			network.advance(15 * time.Second)
			network.crashHost(lead)
			network.advance(15 * time.Second)

			// The oracle notices a second start and another answer.
			waiter := network.oracle.next + 1
			network.submit(first, job, time.Minute)
			network.advance(time.Second)
			if answer := network.oracle.done[waiter]; answer == nil || answer.Outcome != messenger.OutcomeComplete {
				t.Fatalf("the resend was answered %+v", answer)
			}
		})
	}
}

// others lists the hosts other than one.
func (network *network) others(host *fakeHost) []*fakeHost {
	var others []*fakeHost
	for _, other := range network.hosts {
		if other != host {
			others = append(others, other)
		}
	}
	return others
}

// Symptom: a resend runs again after one loss.
// Sequence: the caller is connected to a host of another failure domain than the
// job's home; the home lead answers and crashes; the caller sends the job to a
// third host.
// Cause: the record stood at the lead and at the caller's host, and a new lead asks
// only its own failure domain.
func TestRecordOfRemoteCallerOutlivesTheLead(t *testing.T) {
	network := twoDomains(t)
	job := jobOf("job", "team", 2, 50*time.Millisecond)
	job.MayRun = bothDomains[1:]
	network.submit(network.hosts[0], job, time.Minute)
	network.advance(time.Second)
	network.expect(t, job, messenger.OutcomeComplete, messenger.ReasonNone)
	network.crashHost(network.leadOf("roeselare"))
	network.advance(15 * time.Second)
	waiter := network.oracle.next + 1
	network.submit(network.hosts[1], job, time.Minute)
	network.advance(time.Second)
	if answer := network.oracle.done[waiter]; answer == nil || answer.Outcome != messenger.OutcomeComplete {
		t.Fatalf("the resend was answered %+v", answer)
	}
}
