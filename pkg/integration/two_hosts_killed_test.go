package integration_test

import (
	"testing"
	"time"
)

// TestTwoHostsOfOneDomainKilled. Symptom: a resend starts tasks again after both
// hosts that knew the submission have died (rows 4, 11 and 19). Sequence: jobs run
// by way of all hosts; the lead of a failure domain and a second host of it are
// killed at once; callers send again by way of the third; both start again with
// empty memories. Cause guarded against: a new lead that takes what the two alone
// knew for new.
func TestTwoHostsOfOneDomainKilled(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t)
	cluster.mature()
	lead := cluster.awaitCellLead(t, "thu-duc")
	oracle := &oracle{}
	group := runCallers(t, cluster, oracle, "two", 24, 6, 300*time.Millisecond)
	waitForStarts(t, cluster, 60)
	var second *daemon
	for _, daemon := range cluster.daemonsOf("thu-duc") {
		if daemon != lead {
			second = daemon
		}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		second.kill()
	}()
	lead.kill()
	<-done
	cluster.awaitCellLead(t, "thu-duc")
	lead.start(t)
	second.start(t)
	group.Wait()
	cluster.waitUntilServing(t)
	record := cluster.readRecord(t)
	oracle.judge(t, record)
	t.Log(oracle.summary(record))
}
