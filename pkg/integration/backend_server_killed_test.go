package integration_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestBackendServersKilledAndStopped. Symptom: a task runs twice, or a job never
// ends, when a backend server dies, or goes silent with its connections open
// (rows 1, 3 and 8). Sequence: jobs run everywhere; one backend server is killed,
// another stopped, at the same time; the first starts again, the second goes on
// and sends answers that are late by then. Cause guarded against: a task that is
// started elsewhere because its backend server does not answer.
func TestBackendServersKilledAndStopped(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t)
	oracle := &oracle{}
	group := runCallers(t, cluster, oracle, "servers", 24, 8, 200*time.Millisecond)
	waitForStarts(t, cluster, 60)
	killed := cluster.standInsOf("thu-duc")[0]
	stopped := cluster.standInsOf("thu-duc")[1]
	stopped.signal(syscall.SIGSTOP)
	killed.kill()
	group.Wait()
	killed.start(t)
	stopped.signal(syscall.SIGCONT)
	cluster.waitUntilServing(t)
	record := cluster.readRecord(t)
	oracle.judge(t, record)
	t.Log(oracle.summary(record))
}

// runCallers starts callers of which each finishes some jobs, one after the
// other, and resends each once it is answered. Every job must be answered.
func runCallers(t *testing.T, cluster *cluster, oracle *oracle, name string, count, jobs int, runTime time.Duration) *sync.WaitGroup {
	t.Helper()
	group := &sync.WaitGroup{}
	domains := failureDomains()
	for number := range count {
		worker := &caller{cluster: cluster, oracle: oracle, random: rand.New(rand.NewPCG(1, uint64(number)))}
		group.Go(func() {
			for round := range jobs {
				job := newJob(fmt.Sprintf("%s-%d-%d", name, number, round), 1+number%5, runTime, number%3 != 0)
				if number%4 != 0 {
					job.FailureDomain = domains[number%len(domains)]
				}
				if worker.finish(job, patience) == nil {
					t.Errorf("%s has no answer", job.Submission)
				}
				worker.resend(job)
			}
		})
	}
	return group
}
