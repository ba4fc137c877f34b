package coordinator_test

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/forwarder"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// leave requests a graceful shutdown of a host. Its process ends once it reports that it is
// drained, or at the shutdown deadline of 10 seconds.
func (network *network) leave(host *fakeHost) {
	generation := host.generation
	network.tick(host, &coordinator.ShutdownRequested{})
	network.at(10*time.Second, func() {
		if host.generation == generation {
			network.crashHost(host)
		}
	})
}

// endDrained ends the process of a drained host one millisecond later, as the daemon does.
func (network *network) endDrained(host *fakeHost) {
	generation := host.generation
	network.at(time.Millisecond, func() {
		if host.generation == generation {
			network.crashHost(host)
		}
	})
}

// queryAnswer requests the answer of a job from a host, as the caller does.
func (network *network) queryAnswer(host *fakeHost, job *messenger.Job) {
	waiter := network.oracle.addWaiter(job)
	event := &forwarder.CallerQueried{Waiter: waiter, Caller: job.Caller, Submission: job.Submission}
	network.tick(host, &coordinator.CallerEvent{Event: event})
}

// lastAnswer returns the answer to the newest request for a job, or nil.
func (network *network) lastAnswer(job *messenger.Job) *messenger.JobAnswer {
	for waiter := network.oracle.lastWaiter; waiter > 0; waiter-- {
		if network.oracle.waiters[waiter].Submission == job.Submission {
			return network.oracle.answers[waiter]
		}
	}
	return nil
}
