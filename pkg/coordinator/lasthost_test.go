package coordinator_test

import (
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// newLastHost returns a failure domain of three hosts, one of which has crashed and one has left,
// and the last one.
func newLastHost(t *testing.T) (*network, *fakeHost) {
	t.Helper()
	network := newDomain(t, 1, 1)
	last, others := network.lead(t)
	network.crashHost(others[0])
	network.advance(3 * time.Second)
	network.leave(others[1])
	network.advance(3 * time.Second)
	return network, last
}

// setSilent starts or ends a partition between the last host and its backend servers. No connection
// closes.
func (network *network) setSilent(host *fakeHost, silent bool) {
	for _, server := range network.servers {
		network.connection(string(host.id), string(server.id)).open = !silent
	}
}

// TestLastHostThatIsCutOffClaimsNothing guards against the answer "failed" or "not run" from the
// last host of a failure domain that is cut off, of a job that a host which has started meanwhile
// completes. The caller gets a refusal that claims nothing, and its wait is bounded.
func TestLastHostThatIsCutOffClaimsNothing(t *testing.T) {
	network, last := newLastHost(t)
	running, waiting := newJob("running", "team", 1, 10*time.Second), newJob("waiting", "team", 1, time.Second)
	network.submit(last, running, 4*time.Second)
	network.submit(last, waiting, time.Minute)
	network.advance(100 * time.Millisecond)
	network.setSilent(last, true)
	network.advance(8 * time.Second)
	for _, job := range []*messenger.Job{running, waiting} {
		if answer := network.lastAnswer(job); answer == nil || !answer.ClaimsNothing() {
			t.Errorf("%s was answered %+v", job.Submission, answer)
		}
	}
	network.setSilent(last, false)
	network.advance(time.Second)
	network.expectAnswerAfterResend(t, last, waiting)
}

// expectAnswerAfterResend resubmits a job and expects the complete answer within 15 s.
func (network *network) expectAnswerAfterResend(t *testing.T, host *fakeHost, job *messenger.Job) {
	t.Helper()
	network.submit(host, job, time.Minute)
	network.advance(15 * time.Second)
	if answer := network.lastAnswer(job); answer == nil || answer.Outcome != messenger.OutcomeComplete {
		t.Errorf("%s was answered %+v after its resend", job.Submission, answer)
	}
}

// TestLastHostThatWasCutOffMayMissRecords guards against a claim of "not run" from a host that was
// cut off as the last one: a host that it has seen leave may have started and run the job meanwhile.
func TestLastHostThatWasCutOffMayMissRecords(t *testing.T) {
	for name, silence := range map[string]time.Duration{"cut off": 5 * time.Second, "always in contact": 0} {
		t.Run(name, func(t *testing.T) {
			network, last := newLastHost(t)
			network.setSilent(last, silence > 0)
			network.advance(silence)
			network.setSilent(last, false)
			network.advance(2 * time.Second)
			// A host that is alone claims nothing in either case.
			network.startHost(network.others(last)[0])
			network.advance(2 * time.Second)
			network.submit(last, newJob("occupant", "team", 1, 5*time.Second), time.Minute)
			job := newJob("job", "team", 1, time.Second)
			network.submit(last, job, 500*time.Millisecond)
			network.advance(time.Second)
			answer := network.lastAnswer(job)
			if answer == nil || answer.Outcome != messenger.OutcomeRefused || answer.NotRun != (silence == 0) {
				t.Errorf("answered %+v", answer)
			}
		})
	}
}
