package coordinator_test

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/forwarder"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// leave asks a host for a graceful shutdown. Its process ends once it says that it
// is drained, or by the shutdown deadline.
func (network *network) leave(host *fakeHost) {
	generation := host.generation
	network.tick(host, &coordinator.ShutdownRequested{})
	network.at(10*time.Second, func() {
		if host.generation == generation {
			network.crashHost(host)
		}
	})
}

// endDrained ends the process of a drained host a moment later, as the daemon does.
func (network *network) endDrained(host *fakeHost) {
	generation := host.generation
	network.at(time.Millisecond, func() {
		if host.generation == generation {
			network.crashHost(host)
		}
	})
}

// ask asks a host for the answer of a job as the caller does.
func (network *network) ask(host *fakeHost, job *messenger.Job) {
	waiter := network.oracle.expect(job)
	event := &forwarder.CallerAsked{Waiter: waiter, Caller: job.Caller, Submission: job.Submission}
	network.tick(host, &coordinator.CallerEvent{Event: event})
}

// last returns what the newest request for a job was answered, or nil.
func (network *network) last(job *messenger.Job) *messenger.JobAnswer {
	for waiter := network.oracle.next; waiter > 0; waiter-- {
		if network.oracle.waiters[waiter].Submission == job.Submission {
			return network.oracle.done[waiter]
		}
	}
	return nil
}
