package integration_test

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// TestResendElsewhere. Symptom: a resend starts tasks again, or gets another
// answer (row 4). Sequence: a job is sent to all nine hosts, at the same time and
// while it runs; the host of the first sending dies. Cause guarded against: a
// record of the submission that only one host has, or that is looked for in the
// wrong failure domain.
func TestResendElsewhere(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t)
	cluster.mature()
	oracle := &oracle{}
	var group sync.WaitGroup
	sendEverywhere := func(job *job, all []*daemon) {
		for _, daemon := range all {
			group.Go(func() {
				if received, err := send(daemon, job, patience); err == nil {
					oracle.note(job, daemon.name, received)
				} else if daemon.alive() {
					t.Errorf("%s by %s: %v", job.Submission, daemon.name, err)
				}
			})
		}
	}
	first := cluster.daemonsOf("tan-binh")[1]
	var jobs []*job
	for number := range 12 {
		job := newJob(fmt.Sprintf("resend-%d", number), 1+number%4, 700*time.Millisecond, number%3 != 0)
		jobs = append(jobs, job)
		if number%2 == 0 {
			sendEverywhere(job, cluster.daemons)
			continue
		}
		sendEverywhere(job, []*daemon{first})
	}
	eventually(t, "all run", func() error {
		for _, job := range jobs {
			if len(cluster.startsOf(t, job.Submission)) == 0 {
				return fmt.Errorf("%s has not started", job.Submission)
			}
		}
		return nil
	})
	first.kill()
	for _, job := range jobs {
		sendEverywhere(job, append([]*daemon{}, cluster.daemonsOf("thu-duc")...))
	}
	group.Wait()
	record := cluster.readRecord(t)
	oracle.judge(t, record)
	t.Log(oracle.summary(record))
	for _, job := range jobs {
		if !oracle.completed(job) {
			t.Errorf("%s was completed for nobody", job.Submission)
		}
	}
}

// completed tells whether some caller got the complete answer of a submission.
func (oracle *oracle) completed(job *job) bool {
	oracle.mutex.Lock()
	defer oracle.mutex.Unlock()
	for _, seen := range oracle.observations {
		if seen.job == job && seen.answer.Outcome == outcomeComplete {
			return true
		}
	}
	return false
}
