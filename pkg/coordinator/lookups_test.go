package coordinator_test

import (
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// Symptom: a caller that lost its connection can't find its answer, or finds that of
// another caller.
// Sequence: a job runs at one failure domain; every host of both is asked for it,
// while it runs and after it, by its caller and by a stranger.
// Cause: a submission id does not tell its home, and it is no secret.
func TestAnswerIsFoundAtAnyHost(t *testing.T) {
	network := twoDomains(t)
	job := jobOf("job", "team", 2, 200*time.Millisecond)
	network.submit(network.hosts[0], job, time.Minute)
	network.advance(20 * time.Millisecond)
	for _, wait := range []time.Duration{time.Second, 10 * time.Millisecond} {
		first := network.oracle.next
		for _, host := range network.hosts {
			network.ask(host, job)
		}
		network.advance(wait)
		for waiter := first + 1; waiter <= network.oracle.next; waiter++ {
			if answer := network.oracle.done[waiter]; answer == nil || answer.Outcome != messenger.OutcomeComplete {
				t.Errorf("a host answered %+v", answer)
			}
		}
	}
	stranger := *job
	stranger.Caller = "stranger"
	for _, host := range network.hosts {
		network.ask(host, &stranger)
		network.cancel(host, &stranger)
	}
	network.advance(time.Second)
	for waiter := network.oracle.next - 7; waiter <= network.oracle.next; waiter++ {
		if answer := network.oracle.done[waiter]; answer == nil || answer.Reason != messenger.ReasonUnknownSubmission {
			t.Errorf("a stranger was answered %+v", answer)
		}
	}
}

// Symptom: a cancellation at another host does nothing, or a question hangs.
// Sequence: a running job is cancelled at a host of the other failure domain, and the
// connection breaks while the question is under way.
// Cause: the question was lost with the connection.
func TestCancelAtAnotherFailureDomain(t *testing.T) {
	network := twoDomains(t)
	job := jobOf("job", "team", 1, 20*time.Second)
	network.submit(network.hosts[0], job, time.Minute)
	network.advance(20 * time.Millisecond)
	away := network.hosts[3]
	network.cancel(away, job)
	network.advance(hop + hop/2)
	for _, host := range network.hosts[:2] {
		network.connection(string(host.id), string(away.id)).generation++
	}
	network.advance(2 * time.Second)
	if answer := network.last(job); answer == nil || answer.Outcome != messenger.OutcomeFailed || answer.Reason != messenger.ReasonCancelled {
		t.Errorf("the cancellation was answered %+v", answer)
	}
}

// Symptom: callers of a failure domain that is gone wait for seconds, or their jobs
// run in another one although they may have run at home.
// Sequence: all entry hosts of the home die; its job is sent to the other failure
// domain (row 17).
// Cause: nobody can know what the home's backend servers have started.
func TestLostHomeIsRefusedAtOnce(t *testing.T) {
	network := twoDomains(t)
	job := jobOf("job", "team", 1, 10*time.Second)
	job.MayRun = bothDomains
	network.submit(network.hosts[0], job, time.Minute)
	network.advance(20 * time.Millisecond)
	network.crashHost(network.hosts[0])
	network.crashHost(network.hosts[1])
	network.advance(time.Second)
	network.submit(network.hosts[2], job, time.Minute)
	network.advance(300 * time.Millisecond)
	answer := network.last(job)
	if answer == nil || answer.Reason != messenger.ReasonHomeUnreachable || answer.NotRun || answer.RetryAfter == 0 {
		t.Fatalf("the resend was answered %+v", answer)
	}
	network.ask(network.hosts[3], job)
	network.advance(4 * time.Second)
	if answer := network.last(job); answer == nil || answer.Reason != messenger.ReasonHomeUnreachable {
		t.Fatalf("the question was answered %+v", answer)
	}
}

// Symptom: a caller is answered seconds after its deadline.
// Sequence: the home, or the second host that must remember the job, can't be
// reached before the deadline passes.
// Cause: the waits knew nothing of the deadline.
func TestDeadlineBoundsEveryWait(t *testing.T) {
	network := twoDomains(t)
	job := jobOf("away", "team", 1, time.Millisecond)
	for _, host := range network.hosts[:2] {
		for _, away := range network.hosts[2:] {
			network.connection(string(host.id), string(away.id)).open = false
		}
	}
	network.submit(network.hosts[2], job, 50*time.Millisecond)
	network.advance(4 * time.Second)
	if answer := network.last(job); answer == nil || answer.NotRun {
		t.Errorf("the job of a silent home was answered %+v", answer)
	}
	home := jobOf("home", "team", 1, time.Millisecond)
	lead, _ := network.lead(t)
	other := network.hosts[0]
	if other == lead {
		other = network.hosts[1]
	}
	network.connection(string(lead.id), string(other.id)).open = false
	network.submit(lead, home, 50*time.Millisecond)
	network.advance(51 * time.Millisecond)
	if answer := network.last(home); answer == nil || answer.NotRun || answer.Reason != messenger.ReasonDeadlinePassed {
		t.Errorf("the job without a second host was answered %+v", answer)
	}
}

// Symptom: a host's memory grows without bound, or a record is dropped early and a
// resend runs again.
// Sequence: more submissions come than the host may remember; old ones come again.
// Cause: retention is by time, and a burst has no bound.
func TestRecordsAreBoundedAndNeverDropped(t *testing.T) {
	network := domainOf(t, 4, 2)
	network.settings.Forwarder.Records = 20
	for _, host := range network.hosts {
		network.crashHost(host)
		network.startHost(host)
	}
	network.advance(4 * time.Second)
	jobs := network.submitEverywhere(60)
	network.advance(time.Second)
	refused := 0
	for number, job := range jobs {
		answer := network.last(job)
		if answer == nil {
			t.Fatalf("%s has no answer", job.Submission)
		}
		if answer.Outcome == messenger.OutcomeComplete {
			network.expectComplete(t, network.hosts[number%3], job)
			continue
		}
		if answer.NotRun || answer.RetryAfter == 0 {
			t.Errorf("%s was refused with %+v", job.Submission, answer)
		}
		refused++
	}
	if refused == 0 || refused == len(jobs) {
		t.Errorf("%d of %d submissions were refused", refused, len(jobs))
	}
}

// settledClaims starts three hosts that are keepers as well.
func settledClaims(t *testing.T) *network {
	t.Helper()
	network := domainOf(t, 4, 2)
	network.makeKeepers()
	return network
}

func onceOnly(submission string, runTime time.Duration) *messenger.Job {
	job := jobOf(submission, "team", 1, runTime)
	job.Job = "not-repeatable"
	job.Repeatable = false
	return job
}

// Symptom: a caller that resubmits a not-repeatable job under a new id can't get its
// answer, or the job runs twice (row 5).
// Sequence: the job is resubmitted at other hosts while the first submission runs,
// and after it.
// Cause: the claim only says that another submission has it.
func TestResubmissionGetsTheFirstAnswer(t *testing.T) {
	network := settledClaims(t)
	first := onceOnly("first", 300*time.Millisecond)
	network.submit(network.hosts[0], first, time.Minute)
	network.advance(100 * time.Millisecond)
	during := onceOnly("during", 300*time.Millisecond)
	network.submit(network.hosts[1], during, time.Minute)
	network.advance(time.Second)
	after := onceOnly("after", 300*time.Millisecond)
	network.submit(network.hosts[2], after, time.Minute)
	network.advance(time.Second)
	for _, job := range []*messenger.Job{first, during, after} {
		network.expect(t, job, messenger.OutcomeComplete, messenger.ReasonNone)
	}
	if begun := len(network.oracle.starts); begun != 1 {
		t.Errorf("%d tasks began", begun)
	}
}

// Symptom: a not-repeatable job can never run, because a submission that was refused
// keeps its claim; or it runs twice, because the claim went back too early.
// Sequence: a claimed job waits for a slot and is cancelled; it is resubmitted under
// a new id. The same once its task has begun.
// Cause: the claim is given before the start.
func TestClaimOfARefusedSubmissionGoesBack(t *testing.T) {
	network := settledClaims(t)
	filler := jobOf("filler", "team", 8, 2*time.Second)
	network.submit(network.hosts[0], filler, time.Minute)
	network.advance(50 * time.Millisecond)
	refused := onceOnly("refused", time.Second)
	network.submit(network.hosts[1], refused, time.Minute)
	network.advance(100 * time.Millisecond)
	network.cancel(network.hosts[1], refused)
	network.advance(100 * time.Millisecond)
	if answer := network.outcome(refused); answer == nil || !answer.NotRun {
		t.Fatalf("the cancelled job was answered %+v", answer)
	}
	early := onceOnly("early", time.Second)
	network.submit(network.hosts[2], early, time.Minute)
	network.advance(time.Second)
	if answer := network.last(early); answer == nil || answer.NotRun || answer.RetryAfter == 0 {
		t.Errorf("the early resubmission was answered %+v", answer)
	}
	network.advance(4 * time.Second)
	again := onceOnly("again", time.Second)
	network.submit(network.hosts[2], again, time.Minute)
	network.advance(500 * time.Millisecond)
	network.cancel(network.hosts[2], again)
	network.advance(5 * time.Second)
	network.expect(t, again, messenger.OutcomeFailed, messenger.ReasonCancelled)
	late := onceOnly("late", time.Second)
	network.submit(network.hosts[0], late, time.Minute)
	network.advance(2 * time.Second)
	network.expect(t, late, messenger.OutcomeFailed, messenger.ReasonCancelled)
	if begun := len(network.oracle.starts); begun != 9 {
		t.Errorf("%d tasks began", begun)
	}
}
