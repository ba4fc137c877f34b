package integration_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"
)

// TestLeadStopped. Symptom: tasks start twice after a host that was taken for dead
// comes back (rows 4, 8 and 18). Sequence: the lead of a failure domain is stopped
// with jobs that it leads, in the plain run for six seconds and with -long for a
// minute; another takes the cell, callers resend elsewhere; the old lead goes on
// with what it believes. Cause guarded against: starts of a lead whose epoch is
// over, and answers of a host that missed what was decided.
func TestLeadStopped(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t)
	cluster.mature()
	lead := cluster.awaitCellLead(t, "binh-chanh")
	oracle := &oracle{}
	group := runCallers(t, cluster, oracle, "stopped", 16, 6, 150*time.Millisecond)
	waitForStarts(t, cluster, 30)
	lead.signal(syscall.SIGSTOP)
	stopped := time.Now()
	eventually(t, "another lead", func() error {
		now, err := cluster.cellLead("binh-chanh")
		if err == nil && string(now) == lead.name {
			err = fmt.Errorf("still %s", now)
		}
		return err
	})
	t.Logf("another lead after %s", time.Since(stopped).Round(time.Millisecond))
	time.Sleep(time.Until(stopped.Add(longer(6*time.Second, time.Minute))))
	lead.signal(syscall.SIGCONT)
	group.Wait()
	cluster.waitUntilServing(t)
	record := cluster.readRecord(t)
	oracle.judge(t, record)
	t.Log(oracle.summary(record))
}
