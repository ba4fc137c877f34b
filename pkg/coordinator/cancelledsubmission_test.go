package coordinator_test

import (
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// cancelNetwork is a failure domain of three hosts, and a submission to one that does not lead.
type cancelNetwork struct {
	*network
	job        *messenger.Job
	lead, host *fakeHost
}

// submissionFaults are the faults that the cancellation of a submission meets, callersLeaveAt after it
// was made. Each is set up before.
var submissionFaults = []struct {
	name string
	set  func(network *cancelNetwork)
	// losesLead and losesHost are set if the fault loses one of the two hosts that know the submission.
	losesLead, losesHost bool
}{
	{name: "lead lost before", losesLead: true, set: func(network *cancelNetwork) {
		network.at(callersLeaveAt-time.Millisecond, func() { network.crashHost(network.lead) })
	}},
	{name: "lead lost after", losesLead: true, set: func(network *cancelNetwork) {
		network.at(callersLeaveAt+100*time.Microsecond, func() { network.crashHost(network.lead) })
	}},
	{name: "lead lost once it knows", losesLead: true, set: func(network *cancelNetwork) {
		network.at(callersLeaveAt+300*time.Microsecond, func() { network.crashHost(network.lead) })
	}},
	{name: "lead not connected", set: func(network *cancelNetwork) {
		network.at(callersLeaveAt-50*time.Millisecond, func() { network.disconnectHosts(network.host, network.lead) })
		network.at(callersLeaveAt+250*time.Millisecond, func() { network.connectHosts(network.host, network.lead) })
	}},
	{name: "cancellation lost", set: func(network *cancelNetwork) {
		network.drops = func(message coordinator.PeerMessage) bool { return message.Cancel != nil }
		network.at(callersLeaveAt+300*time.Millisecond, func() { network.drops = nil })
	}},
	// The caller gets no answer and repeats the cancellation at another host.
	{name: "host lost once the lead knows", losesHost: true, set: func(network *cancelNetwork) {
		network.at(callersLeaveAt+300*time.Microsecond, func() { network.crashHost(network.host) })
		network.at(callersLeaveAt+resubmitAfter, func() {
			for _, other := range network.hosts {
				if other.coordinator != nil {
					network.cancel(other, network.job)
					return
				}
			}
		})
	}},
	{name: "server's streams break", set: func(network *cancelNetwork) {
		network.at(callersLeaveAt+100*time.Microsecond, func() {
			for _, server := range network.servers {
				for _, host := range network.hosts {
					server.detach(host)
				}
			}
		})
		network.at(callersLeaveAt+time.Second, func() {
			for _, server := range network.servers {
				for _, host := range network.hosts {
					server.attach(host)
				}
			}
		})
	}},
}

// runningTasks counts the tasks that the backend servers run.
func (network *cancelNetwork) runningTasks() int {
	count := 0
	for _, server := range network.servers {
		count += len(server.tasks)
	}
	return count
}

// TestCancelledSubmissionEndsInTime guards against tasks of a cancelled submission that run on, under
// each fault alone and each pair of faults.
func TestCancelledSubmissionEndsInTime(t *testing.T) {
	for first := range submissionFaults {
		for second := first; second < len(submissionFaults); second++ {
			name := submissionFaults[first].name
			if second != first {
				name += " and " + submissionFaults[second].name
			}
			t.Run(name, func(t *testing.T) {
				network := &cancelNetwork{network: newNetwork([]identifier.FailureDomain{"leuven"}, 3, 2, 4)}
				network.job = newJob("cancelled", "team", 2, longWork)
				network.lead = network.leadOf("leuven")
				network.host = network.others(network.lead)[0]
				network.submit(network.host, network.job, 2*longWork)
				submissionFaults[first].set(network)
				if second != first {
					submissionFaults[second].set(network)
				}
				network.at(callersLeaveAt, func() { network.cancel(network.host, network.job) })
				network.advance(callersLeaveAt - 60*time.Millisecond)
				if network.runningTasks() != 2 {
					t.Fatalf("%d tasks run before the cancellation", network.runningTasks())
				}
				lastRun := time.Duration(0)
				const step = 10 * time.Millisecond
				for passed := callersLeaveAt - 60*time.Millisecond; passed < callersLeaveAt+4*cancelTime; passed += step {
					network.advance(step)
					if network.runningTasks() > 0 {
						lastRun = passed - callersLeaveAt
					}
				}
				t.Logf("last seen running %v after the cancellation", lastRun)
				one, other := submissionFaults[first], submissionFaults[second]
				if (one.losesLead || other.losesLead) && (one.losesHost || other.losesHost) {
					// No host knows the submission any more, a limit that docs/PROMISES.md states. The caller
					// must not be told that it was cancelled.
					if answer := network.lastAnswer(network.job); answer == nil || answer.NotRun || answer.Reason != messenger.ReasonUnknownSubmission {
						t.Errorf("the repeated cancellation was answered %+v", answer)
					}
					return
				}
				if lastRun > cancelTime+stopTime {
					t.Errorf("a task ran %v after the cancellation", lastRun)
				}
			})
		}
	}
}
