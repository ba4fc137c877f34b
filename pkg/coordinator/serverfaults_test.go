package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

func newDomain(t *testing.T, servers int, slots identifier.Slots) *network {
	t.Helper()
	network := newNetwork([]identifier.FailureDomain{"leuven"}, 3, servers, slots)
	t.Cleanup(func() {
		if len(network.oracle.violations) > 0 {
			t.Errorf("broken promises: %v", network.oracle.violations)
		}
	})
	return network
}

func newJob(name, team string, width int, runTime time.Duration) *messenger.Job {
	job := &messenger.Job{
		Submission: identifier.SubmissionID(name),
		Job:        identifier.JobID(name),
		Caller:     identifier.CallerID(team),
		Team:       identifier.TeamID(team),
		Repeatable: true,
		MayRun:     []identifier.FailureDomain{"leuven"},
	}
	for index := range width {
		job.Tasks = append(job.Tasks, messenger.Task{Task: identifier.TaskID(fmt.Sprint(index)), Payload: []byte(runTime.String())})
	}
	return job
}

// finalAnswer returns the final answer of a submission, or nil.
func (network *network) finalAnswer(job *messenger.Job) *messenger.JobAnswer {
	return network.oracle.finals[job.Submission]
}

func (network *network) expectAnswer(t *testing.T, job *messenger.Job, outcome messenger.Outcome, reason messenger.Reason) {
	t.Helper()
	answer := network.finalAnswer(job)
	if answer == nil {
		t.Fatalf("%s has no answer", job.Submission)
	}
	if answer.Outcome != outcome || answer.Reason != reason {
		t.Fatalf("%s was answered %v %v (%s), want %v %v", job.Submission, answer.Outcome, answer.Reason, answer.Detail, outcome, reason)
	}
}

// serversOf returns the servers on which tasks of the submission began.
func (network *network) serversOf(job *messenger.Job) []*fakeServer {
	var servers []*fakeServer
	for _, task := range job.Tasks {
		for key, id := range network.oracle.starts {
			if key.Submission == job.Submission && key.Task == task.Task {
				servers = append(servers, network.server(id))
			}
		}
	}
	return servers
}

// Symptom: a job hangs or a task runs a second time.
// Sequence: a backend server accepts a start and dies before it answers (row 1).
// Cause: the outcome of the start can't be known. The job must fail after the wait for unknown
// tasks, the task must begin nowhere else, and other jobs must be unaffected.
func TestServerDiesBetweenAcceptAndAnswer(t *testing.T) {
	network := newDomain(t, 4, 2)
	victim, other := newJob("victim", "team", 1, time.Second), newJob("other", "team", 3, time.Second)
	network.submit(network.hosts[1], victim, time.Minute)
	network.submit(network.hosts[2], other, time.Minute)
	network.advance(100 * time.Millisecond)
	dying := network.serversOf(victim)[0]
	for _, server := range network.serversOf(other) {
		if server == dying {
			t.Fatal("the jobs share a server; the scenario needs two")
		}
	}
	dying.crash()
	network.advance(2 * time.Second)
	network.expectAnswer(t, other, messenger.OutcomeComplete, messenger.ReasonNone)
	if network.finalAnswer(victim) != nil {
		t.Fatal("the job did not wait for its unknown task")
	}
	network.advance(4 * time.Second)
	network.expectAnswer(t, victim, messenger.OutcomeFailed, messenger.ReasonTaskUnknown)
}

// Symptom: a job fails although its answer is available.
// Sequence: the streams of a backend server end while it runs a task, and are opened again when the
// task has ended (row 1, second half).
// Cause: a lost connection does not mean a lost task. The same process reports the answer.
func TestServerReturnsWithTheAnswer(t *testing.T) {
	network := newDomain(t, 4, 2)
	job := newJob("job", "team", 1, time.Second)
	network.submit(network.hosts[1], job, time.Minute)
	network.advance(100 * time.Millisecond)
	server := network.serversOf(job)[0]
	for _, host := range network.hosts {
		server.detach(host)
	}
	network.advance(3 * time.Second)
	for _, host := range network.hosts {
		server.attach(host)
	}
	network.advance(10 * time.Millisecond)
	network.expectAnswer(t, job, messenger.OutcomeComplete, messenger.ReasonNone)
}

// Symptom: most jobs fail although only one server of four is broken.
// Sequence: it fails each task in a millisecond, while the others take 100 ms; jobs arrive faster
// than the others can run them, so that its slots are free most often (row 6).
// Cause: the server with the most free slots gets the next task. Its allowance of tasks must be
// withdrawn within about ten of its tasks, and restored after it works again.
func TestBlackHoleStopsAttractingWork(t *testing.T) {
	network := newDomain(t, 4, 8)
	broken := network.servers[2]
	feed := func(name string, jobs int) (begun int) {
		for number := range jobs {
			job := newJob(fmt.Sprintf("%s-%d", name, number), fmt.Sprintf("team-%d", number%3), 1, 100*time.Millisecond)
			network.submit(network.hosts[number%3], job, time.Minute)
			network.advance(4 * time.Millisecond)
		}
		network.advance(time.Second)
		for key, id := range network.oracle.starts {
			if id == broken.id && len(key.Submission) > len(name) && string(key.Submission[:len(name)]) == name {
				begun++
			}
		}
		return begun
	}
	feed("calm", 300)
	broken.failing = true
	begun := feed("broken", 300)
	t.Logf("the broken server began %d of 300 tasks", begun)
	if begun > 12 {
		t.Fatal("the broken server still gets too many tasks")
	}
	broken.failing = false
	network.advance(10 * time.Second)
	feed("proof", 100)
	begun = feed("healed", 300)
	t.Logf("the healed server began %d of 300 tasks", begun)
	if begun < 40 {
		t.Fatal("the healed server gets too few tasks")
	}
}

// Symptom: jobs hang at a server that neither answers nor closes its connection.
// Sequence: it stops responding while it runs a task (row 8).
// Cause: only missing heartbeats reveal that. After the timeout the server must get no new work,
// and its tasks count as unknown.
func TestSilentServerIsNoticed(t *testing.T) {
	network := newDomain(t, 4, 2)
	job := newJob("job", "team", 1, time.Second)
	network.submit(network.hosts[1], job, time.Minute)
	network.advance(100 * time.Millisecond)
	silent := network.serversOf(job)[0]
	silent.silent = true
	network.advance(4 * time.Second)
	wide := newJob("wide", "team", 6, 100*time.Millisecond)
	network.submit(network.hosts[2], wide, time.Minute)
	network.advance(time.Second)
	network.expectAnswer(t, wide, messenger.OutcomeComplete, messenger.ReasonNone)
	for _, server := range network.serversOf(wide) {
		if server == silent {
			t.Fatal("the silent server got new work")
		}
	}
	network.advance(5 * time.Second)
	network.expectAnswer(t, job, messenger.OutcomeFailed, messenger.ReasonTaskUnknown)
}

// Symptom: a server that is shutting down gets more work.
// Sequence: it announces that while tasks run there and others wait (row 9).
// Expected: tasks that run there end normally, the others start elsewhere at once.
func TestLeavingServerGetsNothingNew(t *testing.T) {
	network := newDomain(t, 2, 2)
	first, second := newJob("first", "team", 4, time.Second), newJob("second", "team", 4, time.Second)
	network.submit(network.hosts[1], first, time.Minute)
	network.advance(10 * time.Millisecond)
	network.servers[0].leave()
	network.submit(network.hosts[2], second, time.Minute)
	network.advance(4 * time.Second)
	network.expectAnswer(t, first, messenger.OutcomeComplete, messenger.ReasonNone)
	network.expectAnswer(t, second, messenger.OutcomeComplete, messenger.ReasonNone)
	for _, server := range network.serversOf(second) {
		if server == network.servers[0] {
			t.Fatal("a task began on the leaving server")
		}
	}
}
