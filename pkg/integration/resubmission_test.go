package integration_test

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// TestResubmission. Symptom: a quote is issued twice (row 5). Sequence: a
// not-repeatable job is submitted under one id after the other, to hosts of all
// failure domains at the same time; the host of the first dies; it is resubmitted
// again. Cause guarded against: a start before the claim stands at a quorum of
// the keepers, and a claim that goes with its host.
func TestResubmission(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t)
	cluster.mature()
	oracle := &oracle{}
	var group sync.WaitGroup
	first := cluster.awaitCellLead(t, "thu-duc")
	for number := range 10 {
		original := newJob(fmt.Sprintf("quote-%d", number), 1+number%3, 400*time.Millisecond, false)
		original.FailureDomain = "thu-duc"
		for index, daemon := range cluster.daemons {
			job := original.resubmission(fmt.Sprintf("-%d", index))
			job.FailureDomain = failureDomains()[(index+number)%3]
			group.Go(func() {
				for daemon := range cluster.inTurn(daemon) {
					received, err := send(daemon, job, attemptTimeout)
					if err == nil {
						oracle.note(job, daemon.name, received)
					}
					if err == nil && received.final() {
						return
					}
					time.Sleep(attemptPause)
				}
				t.Errorf("%s has no answer", job.Submission)
			})
		}
	}
	waitForStarts(t, cluster, 15)
	first.kill()
	group.Wait()
	first.start(t)
	cluster.waitUntilServing(t)
	record := cluster.readRecord(t)
	oracle.judge(t, record)
	t.Log(oracle.summary(record))
	if oracle.count(outcomeComplete) == 0 {
		t.Error("no job was completed")
	}
}

// inTurn yields the hosts from one on, over and over, within the patience.
func (cluster *cluster) inTurn(first *daemon) func(func(*daemon) bool) {
	return func(yield func(*daemon) bool) {
		deadline := time.Now().Add(patience)
		position := 0
		for cluster.daemons[position] != first {
			position++
		}
		for ; time.Now().Before(deadline); position++ {
			if !yield(cluster.daemons[position%len(cluster.daemons)]) {
				return
			}
		}
	}
}
