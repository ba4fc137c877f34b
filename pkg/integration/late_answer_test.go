package integration_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"
)

// TestLateAnswer. Symptom: a caller gets the answer of another job, or a second
// answer of its own (row 3). Sequence: a backend server is stopped with tasks
// that it has accepted; their deadline passes; it goes on and answers. Cause
// guarded against: an answer that is delivered for a job that has ended.
func TestLateAnswer(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t)
	host := cluster.daemonsOf("thu-duc")[2]
	oracle := &oracle{}
	job := newJob("late", 6, 1500*time.Millisecond, true)
	job.MayRun = append(job.MayRun, "thu-duc")
	deadline := time.Now().Add(2500 * time.Millisecond)
	job.Deadline = &deadline
	answered := make(chan *answer, 1)
	go func() {
		received, err := send(host, job, patience)
		if err != nil {
			t.Error(err)
		}
		answered <- received
	}()
	eventually(t, "its tasks run", func() error {
		if started := len(cluster.startsOf(t, job.Submission)); started < len(job.Tasks) {
			return fmt.Errorf("%d started", started)
		}
		return nil
	})
	for _, standIn := range cluster.standInsOf("thu-duc") {
		standIn.signal(syscall.SIGSTOP)
	}
	received := <-answered
	if received == nil || received.Outcome != outcomeFailed || received.Reason != "deadline-passed" {
		t.Fatalf("the answer is %+v", received)
	}
	oracle.note(job, host.name, received)
	for _, standIn := range cluster.standInsOf("thu-duc") {
		standIn.signal(syscall.SIGCONT)
	}
	cluster.waitUntilServing(t)
	for _, daemon := range cluster.daemons {
		again, err := send(daemon, job, patience)
		if err != nil {
			t.Error(err)
			continue
		}
		oracle.note(job, daemon.name, again)
	}
	oracle.judge(t, cluster.readRecord(t))
}
