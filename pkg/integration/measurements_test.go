package integration_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// The sizes of the measurements.
const (
	measuredChanges  = 100
	measuredRestarts = 5
	measuredIdle     = 15 * time.Second
	// clockTicks is how many of /proc's ticks a second of processor time has.
	clockTicks = 100
)

// TestMeasurements measures real processes and prints the figures. It asserts
// nothing about time: the machine may be busy.
func TestMeasurements(t *testing.T) {
	if !*longFlag {
		t.Skip("only with -long")
	}
	cluster := startCluster(t)
	cluster.mature()
	measureIdle(t, cluster)
	operator := &operator{name: "measure", cluster: cluster}
	measureSpread(t, cluster, operator)
	measureKeeperLeader(t, cluster, operator)
	measureCellLead(t, cluster)
}

// usage is what a process has used so far.
type usage struct {
	processor time.Duration
	resident  int
	received  int
	sent      int
}

func usageOf(t *testing.T, pid int) usage {
	t.Helper()
	folder := filepath.Join("/proc", strconv.Itoa(pid))
	stat := readText(t, filepath.Join(folder, "stat"))
	// The fields count from the end of the name, which may hold anything.
	fields := strings.Fields(stat[strings.LastIndex(stat, ")")+1:])
	ticks := number(fields[11]) + number(fields[12])
	status := readText(t, filepath.Join(folder, "status"))
	io := readText(t, filepath.Join(folder, "io"))
	return usage{
		processor: time.Duration(ticks) * time.Second / clockTicks,
		resident:  field(status, "VmRSS:") * 1024,
		received:  field(io, "rchar:"),
		sent:      field(io, "wchar:"),
	}
}

func readText(t *testing.T, path string) string {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

// field returns the number after a name in a file of /proc.
func field(text, name string) int {
	_, after, _ := strings.Cut(text, name)
	words := strings.Fields(after)
	if len(words) == 0 {
		return 0
	}
	return number(words[0])
}

func number(word string) int {
	value, err := strconv.Atoi(word)
	if err != nil {
		return 0
	}
	return value
}

// measureIdle measures the daemons while nothing is asked of them. The bytes are
// all that they read and write, between hosts and with backend servers.
func measureIdle(t *testing.T, cluster *cluster) {
	t.Helper()
	before := make([]usage, len(cluster.daemons))
	for index, daemon := range cluster.daemons {
		before[index] = usageOf(t, daemon.pid())
	}
	time.Sleep(measuredIdle)
	for index, daemon := range cluster.daemons {
		after := usageOf(t, daemon.pid())
		seconds := measuredIdle.Seconds()
		t.Logf("idle %-20s processor %.2f %%, resident %.1f MB, sent %.0f B/s, received %.0f B/s", daemon.name,
			100*(after.processor-before[index].processor).Seconds()/seconds, float64(after.resident)/1e6,
			float64(after.sent-before[index].sent)/seconds, float64(after.received-before[index].received)/seconds)
	}
}

// measureSpread measures from the sending of a change, and from its acceptance,
// to its being in force on all hosts.
func measureSpread(t *testing.T, cluster *cluster, operator *operator) {
	t.Helper()
	var accepted, spread []time.Duration
	for index := range measuredChanges {
		took, ok := operator.change(index, patience)
		if !ok {
			t.Fatal("a change was not accepted")
		}
		begun := time.Now()
		cluster.awaitVersion(t, operator.accepted)
		accepted = append(accepted, took)
		spread = append(spread, time.Since(begun))
	}
	t.Logf("%d changes, sent to accepted: %s", measuredChanges, quantiles(accepted))
	t.Logf("%d changes, accepted to in force on all %d hosts: %s", measuredChanges, len(cluster.daemons), quantiles(spread))
}

// awaitVersion waits until a version is in force on every host.
func (cluster *cluster) awaitVersion(t *testing.T, wanted uint64) {
	var group sync.WaitGroup
	for _, daemon := range cluster.daemons {
		group.Go(func() {
			deadline := time.Now().Add(patience)
			for time.Now().Before(deadline) {
				if seen, err := daemon.configuration(); err == nil && seen.Version >= wanted {
					return
				}
				time.Sleep(time.Millisecond)
			}
			t.Errorf("%s never had version %d", daemon.name, wanted)
		})
	}
	group.Wait()
}

func measureKeeperLeader(t *testing.T, cluster *cluster, operator *operator) {
	t.Helper()
	var lost, restarted []time.Duration
	for range measuredRestarts {
		leader, err := cluster.keeperLeader()
		if err != nil {
			t.Fatal(err)
		}
		killed := cluster.daemon(t, leader)
		killed.kill()
		took, ok := operator.change(1, patience)
		if !ok {
			t.Fatal("no change was accepted after the loss of the leader")
		}
		lost = append(lost, took)
		begun := time.Now()
		killed.start(t)
		cluster.awaitVersion(t, operator.accepted)
		restarted = append(restarted, time.Since(begun))
		cluster.waitUntilServing(t)
	}
	t.Logf("%d losses of the keeper leader to the next accepted change: %s", measuredRestarts, quantiles(lost))
	t.Logf("%d restarts of a keeper to the newest version in force there: %s", measuredRestarts, quantiles(restarted))
}

func measureCellLead(t *testing.T, cluster *cluster) {
	t.Helper()
	var lost []time.Duration
	for round := range measuredRestarts {
		domain := failureDomains()[round%3]
		lead := cluster.awaitCellLead(t, domain)
		var other *daemon
		for _, daemon := range cluster.daemonsOf(domain) {
			if daemon != lead {
				other = daemon
			}
		}
		lead.kill()
		killed := time.Now()
		eventually(t, "a job completes", func() error {
			job := newJob(fmt.Sprintf("after-%d-%d", round, time.Now().UnixNano()), 1, 0, true)
			job.FailureDomain = domain
			received, err := send(other, job, patience)
			if err == nil && received.Outcome != outcomeComplete {
				err = fmt.Errorf("%s %s", received.Outcome, received.Reason)
			}
			return err
		})
		lost = append(lost, time.Since(killed))
		lead.start(t)
		cluster.waitUntilServing(t)
		time.Sleep(discovery)
	}
	t.Logf("%d losses of a cell's lead to the next job completed by another host: %s", measuredRestarts, quantiles(lost))
}

func quantiles(values []time.Duration) string {
	slices.Sort(values)
	at := func(share float64) time.Duration {
		return values[min(int(share*float64(len(values))), len(values)-1)].Round(100 * time.Microsecond)
	}
	return fmt.Sprintf("p50 %s, p99 %s, max %s", at(0.5), at(0.99), at(1))
}
