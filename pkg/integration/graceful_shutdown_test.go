package integration_test

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestGracefulShutdown. Symptom: a request breaks off when an entry host is shut
// down (row 10). Sequence: a burst of jobs goes to the lead of a failure domain;
// it gets SIGTERM in the middle. Cause guarded against: a process that ends, or
// closes connections, before every accepted job has its answer.
func TestGracefulShutdown(t *testing.T) {
	cluster := startCluster(t)
	cluster.mature()
	lead := cluster.awaitCellLead(t, "tan-binh")
	oracle := &oracle{}
	var group sync.WaitGroup
	for number := range 40 {
		group.Go(func() {
			job := newJob(fmt.Sprintf("burst-%d", number), 1+number%3, 400*time.Millisecond, number%3 != 0)
			job.FailureDomain = "tan-binh"
			received, err := send(lead, job, patience)
			if err != nil {
				t.Errorf("%s: %v", job.Submission, err)
				return
			}
			oracle.note(job, lead.name, received)
			// A burst beyond the capacity may be refused, but only as not run.
			if received.Outcome != outcomeComplete && !received.NotRun {
				t.Errorf("%s: %s %s %s", job.Submission, received.Outcome, received.Reason, received.Detail)
			}
		})
	}
	waitForStarts(t, cluster, 20)
	begun := time.Now()
	lead.signal(syscall.SIGTERM)
	code := lead.wait()
	t.Logf("shut down in %s", time.Since(begun).Round(time.Millisecond))
	group.Wait()
	if code != 0 {
		t.Errorf("exit code %d", code)
	}
	if !strings.Contains(readLog(t, lead), "every accepted job is answered") {
		t.Error("no log line says that every accepted job is answered")
	}
	record := cluster.readRecord(t)
	oracle.judge(t, record)
	t.Log(oracle.summary(record))
	if oracle.count(outcomeComplete) < 12 {
		t.Error("the burst was hardly served")
	}
}

// TestSecondSignal. Symptom: an operator can't end a host that waits for a long
// task, or can and isn't told what was lost. Sequence: a long job runs by way of a
// host; SIGTERM, then again. Cause guarded against: a shutdown that holds on to
// its deadline, and one that ends with no word of what it left.
func TestSecondSignal(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t)
	host := cluster.daemonsOf("binh-chanh")[1]
	long := submitInBackground(host, newJob("long", 1, 20*time.Second, true))
	eventually(t, "the long job runs", func() error {
		if len(cluster.startsOf(t, "s-long")) == 0 {
			return fmt.Errorf("not started; the POST: %s", long.told())
		}
		return nil
	})
	host.signal(syscall.SIGTERM)
	eventually(t, "it shuts down", func() error {
		if !strings.Contains(readLog(t, host), "shutting down") {
			return fmt.Errorf("no log line")
		}
		return nil
	})
	begun := time.Now()
	host.signal(syscall.SIGTERM)
	host.wait()
	if took := time.Since(begun); took > 10*time.Second {
		t.Errorf("the second signal took %s", took)
	}
	<-long.ended
	if !strings.Contains(readLog(t, host), "requests lost") {
		t.Error("no log line says what was lost")
	}
}

func readLog(t *testing.T, daemon *daemon) string {
	t.Helper()
	content, err := os.ReadFile(daemon.log)
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}
