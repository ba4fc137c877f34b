package coordinator_test

import (
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// Symptom: a caller that lost its connection can't find its answer, or finds that of another
// caller.
// Sequence: a job runs at one failure domain; every host of both is queried for it, while it runs
// and after it, by its caller and by another one.
// Cause: a submission id doesn't contain its home, and it is no secret.
func TestAnswerIsFoundAtAnyHost(t *testing.T) {
	network := newTwoDomains(t)
	job := newJob("job", "team", 2, 200*time.Millisecond)
	network.submit(network.hosts[0], job, time.Minute)
	network.advance(20 * time.Millisecond)
	for _, wait := range []time.Duration{time.Second, 10 * time.Millisecond} {
		first := network.oracle.lastWaiter
		for _, host := range network.hosts {
			network.queryAnswer(host, job)
		}
		network.advance(wait)
		for waiter := first + 1; waiter <= network.oracle.lastWaiter; waiter++ {
			if answer := network.oracle.answers[waiter]; answer == nil || answer.Outcome != messenger.OutcomeComplete {
				t.Errorf("a host answered %+v", answer)
			}
		}
	}
	otherCaller := *job
	otherCaller.Caller = "stranger"
	for _, host := range network.hosts {
		network.queryAnswer(host, &otherCaller)
		network.cancel(host, &otherCaller)
	}
	network.advance(time.Second)
	for waiter := network.oracle.lastWaiter - 7; waiter <= network.oracle.lastWaiter; waiter++ {
		if answer := network.oracle.answers[waiter]; answer == nil || answer.Reason != messenger.ReasonUnknownSubmission {
			t.Errorf("another caller was answered %+v", answer)
		}
	}
}

// Symptom: a cancellation at another host does nothing, or a query hangs.
// Sequence: a running job is cancelled at a host of the other failure domain, and the connection
// breaks while the query is on its way.
// Cause: the query was lost with the connection.
func TestCancelAtAnotherFailureDomain(t *testing.T) {
	network := newTwoDomains(t)
	job := newJob("job", "team", 1, 20*time.Second)
	network.submit(network.hosts[0], job, time.Minute)
	network.advance(20 * time.Millisecond)
	away := network.hosts[3]
	network.cancel(away, job)
	network.advance(hop + hop/2)
	for _, host := range network.hosts[:2] {
		network.connection(string(host.id), string(away.id)).generation++
	}
	network.advance(2 * time.Second)
	if answer := network.lastAnswer(job); answer == nil || answer.Outcome != messenger.OutcomeFailed || answer.Reason != messenger.ReasonCancelled {
		t.Errorf("the cancellation was answered %+v", answer)
	}
}

// Symptom: callers of a failure domain that is gone wait for seconds, or their jobs run in another
// one although they may have run at home.
// Sequence: all entry hosts of the home crash; its job is submitted to the other failure domain
// (row 17).
// Cause: the other failure domain can't know what the home's backend servers have started.
func TestLostHomeIsRefusedAtOnce(t *testing.T) {
	network := newTwoDomains(t)
	job := newJob("job", "team", 1, 10*time.Second)
	job.MayRun = bothDomains
	network.submit(network.hosts[0], job, time.Minute)
	network.advance(20 * time.Millisecond)
	network.crashHost(network.hosts[0])
	network.crashHost(network.hosts[1])
	network.advance(time.Second)
	network.submit(network.hosts[2], job, time.Minute)
	network.advance(300 * time.Millisecond)
	answer := network.lastAnswer(job)
	if answer == nil || answer.Reason != messenger.ReasonHomeUnreachable || answer.NotRun || answer.RetryAfter == 0 {
		t.Fatalf("the resubmitted job was answered %+v", answer)
	}
	network.queryAnswer(network.hosts[3], job)
	network.advance(4 * time.Second)
	if answer := network.lastAnswer(job); answer == nil || answer.Reason != messenger.ReasonHomeUnreachable {
		t.Fatalf("the query was answered %+v", answer)
	}
}

// Symptom: a caller is answered seconds after its deadline.
// Sequence: the home, or the second host that must record the job, can't be reached before the
// deadline passes.
// Cause: the waits ignored the deadline.
func TestDeadlineBoundsEveryWait(t *testing.T) {
	network := newTwoDomains(t)
	job := newJob("away", "team", 1, time.Millisecond)
	for _, host := range network.hosts[:2] {
		for _, away := range network.hosts[2:] {
			network.connection(string(host.id), string(away.id)).open = false
		}
	}
	network.submit(network.hosts[2], job, 50*time.Millisecond)
	network.advance(4 * time.Second)
	if answer := network.lastAnswer(job); answer == nil || answer.NotRun {
		t.Errorf("the job of an unreachable home was answered %+v", answer)
	}
	home := newJob("home", "team", 1, time.Millisecond)
	lead, _ := network.lead(t)
	other := network.hosts[0]
	if other == lead {
		other = network.hosts[1]
	}
	network.connection(string(lead.id), string(other.id)).open = false
	network.submit(lead, home, 50*time.Millisecond)
	network.advance(51 * time.Millisecond)
	if answer := network.lastAnswer(home); answer == nil || answer.NotRun || answer.Reason != messenger.ReasonDeadlinePassed {
		t.Errorf("the job without a second host was answered %+v", answer)
	}
}

// Symptom: a host's memory grows without bound, or a record is dropped early and a resubmitted job
// runs again.
// Sequence: more jobs are submitted than the host may keep records of; old ones are resubmitted.
// Cause: retention is by time, which does not bound a burst.
func TestRecordsAreBoundedAndNeverDropped(t *testing.T) {
	network := newDomain(t, 4, 2)
	network.settings.Forwarder.MaxRecords = 20
	for _, host := range network.hosts {
		network.crashHost(host)
		network.startHost(host)
	}
	network.advance(4 * time.Second)
	jobs := network.submitEverywhere(60)
	network.advance(time.Second)
	refused := 0
	for number, job := range jobs {
		answer := network.lastAnswer(job)
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

// newDomainWithKeepers starts three hosts that are keepers as well.
func newDomainWithKeepers(t *testing.T) *network {
	t.Helper()
	network := newDomain(t, 4, 2)
	network.makeKeepers()
	return network
}

func newNotRepeatableJob(submission string, runTime time.Duration) *messenger.Job {
	job := newJob(submission, "team", 1, runTime)
	job.Job = "not-repeatable"
	job.Repeatable = false
	return job
}

// Symptom: a caller that resubmits a not-repeatable job under a new id can't get its answer, or the
// job runs twice (row 5).
// Sequence: the job is resubmitted at other hosts while the first submission runs, and after it.
// Cause: the claim only says that another submission holds it.
func TestResubmissionGetsTheFirstAnswer(t *testing.T) {
	network := newDomainWithKeepers(t)
	first := newNotRepeatableJob("first", 300*time.Millisecond)
	network.submit(network.hosts[0], first, time.Minute)
	network.advance(100 * time.Millisecond)
	during := newNotRepeatableJob("during", 300*time.Millisecond)
	network.submit(network.hosts[1], during, time.Minute)
	network.advance(time.Second)
	after := newNotRepeatableJob("after", 300*time.Millisecond)
	network.submit(network.hosts[2], after, time.Minute)
	network.advance(time.Second)
	for _, job := range []*messenger.Job{first, during, after} {
		network.expectAnswer(t, job, messenger.OutcomeComplete, messenger.ReasonNone)
	}
	if begun := len(network.oracle.starts); begun != 1 {
		t.Errorf("%d tasks began", begun)
	}
}

// Symptom: a not-repeatable job can never run, because a refused submission keeps its claim; or it
// runs twice, because the claim was released too early.
// Sequence: a claimed job waits for a slot and is cancelled; it is resubmitted under a new id. The
// same again once its task has begun.
// Cause: the claim is granted before the start.
func TestClaimOfARefusedSubmissionIsReleased(t *testing.T) {
	network := newDomainWithKeepers(t)
	filler := newJob("filler", "team", 8, 2*time.Second)
	network.submit(network.hosts[0], filler, time.Minute)
	network.advance(50 * time.Millisecond)
	refused := newNotRepeatableJob("refused", time.Second)
	network.submit(network.hosts[1], refused, time.Minute)
	network.advance(100 * time.Millisecond)
	network.cancel(network.hosts[1], refused)
	network.advance(100 * time.Millisecond)
	if answer := network.finalAnswer(refused); answer == nil || !answer.NotRun {
		t.Fatalf("the cancelled job was answered %+v", answer)
	}
	early := newNotRepeatableJob("early", time.Second)
	network.submit(network.hosts[2], early, time.Minute)
	network.advance(time.Second)
	if answer := network.lastAnswer(early); answer == nil || answer.NotRun || answer.RetryAfter == 0 {
		t.Errorf("the early resubmission was answered %+v", answer)
	}
	network.advance(4 * time.Second)
	again := newNotRepeatableJob("again", time.Second)
	network.submit(network.hosts[2], again, time.Minute)
	network.advance(500 * time.Millisecond)
	network.cancel(network.hosts[2], again)
	network.advance(5 * time.Second)
	network.expectAnswer(t, again, messenger.OutcomeFailed, messenger.ReasonCancelled)
	late := newNotRepeatableJob("late", time.Second)
	network.submit(network.hosts[0], late, time.Minute)
	network.advance(2 * time.Second)
	network.expectAnswer(t, late, messenger.OutcomeFailed, messenger.ReasonCancelled)
	if begun := len(network.oracle.starts); begun != 9 {
		t.Errorf("%d tasks began", begun)
	}
}
