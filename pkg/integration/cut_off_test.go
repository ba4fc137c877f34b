package integration_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/stoathitch/stoathitch/pkg/assembler"
	"github.com/stoathitch/stoathitch/pkg/executor"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/provider"
)

// How long a failure domain is cut off: long enough for the membership to give its
// hosts up.
const (
	cutOffTime     = 6 * time.Second
	longCutOffTime = time.Minute
)

// TestFailureDomainCutOff. Symptom: a cut-off failure domain stops serving, or
// something ran twice or was reverted after it has rejoined (rows 5, 17 and 18).
// Sequence: jobs, resends to any host and changes of the configuration go on; one
// failure domain is cut off silently in the middle of work; it rejoins. Cause
// guarded against: two records of one submission, a claim without a quorum, and a
// version that is older than one that was in force.
func TestFailureDomainCutOff(t *testing.T) {
	network := newNetwork()
	cluster := startInside(t, network)
	watcher := startWatcher(cluster)
	oracle := &oracle{}
	operator := &operator{name: "cut", cluster: cluster}
	if _, accepted := operator.change(0, patience); !accepted {
		t.Fatal("no change was accepted before")
	}
	var phase atomic.Int32
	group := runWhileCut(t, cluster, oracle, &phase)
	waitForStarts(t, cluster, 60)
	cut := failureDomains()[2]
	network.set(cut, true)
	phase.Store(1)
	begun := time.Now()
	eventually(t, "a change is accepted by the majority", func() error {
		if _, accepted := operator.change(0, patience); !accepted {
			return fmt.Errorf("not accepted")
		}
		return nil
	})
	time.Sleep(time.Until(begun.Add(longer(cutOffTime, longCutOffTime))))
	served := cluster.serveAlone(t, oracle, cut)
	network.set(cut, false)
	phase.Store(2)
	group.Wait()
	cluster.waitUntilServing(t)
	record := cluster.readRecord(t)
	oracle.judge(t, record)
	operator.judge(t)
	watcher.judge(t)
	t.Logf("%d of 10 jobs of the cut-off failure domain completed while it was alone; %s", served, oracle.summary(record))
	if served < 10 {
		t.Errorf("the cut-off failure domain completed %d of its own 10 jobs", served)
	}
}

// runWhileCut runs jobs until the failure domain has rejoined.
func runWhileCut(t *testing.T, cluster *cluster, oracle *oracle, phase *atomic.Int32) *sync.WaitGroup {
	group := &sync.WaitGroup{}
	for number := range 15 {
		worker := &caller{cluster: cluster, oracle: oracle, random: rand.New(rand.NewPCG(7, uint64(number)))}
		group.Go(func() {
			for round := 0; phase.Load() < 2; round++ {
				job := newJob(fmt.Sprintf("cut-%d-%d", number, round), 1+number%4, 150*time.Millisecond, number%2 == 0)
				if number%4 != 0 {
					job.FailureDomain = failureDomains()[number%3]
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

// serveAlone submits repeatable jobs of a cut-off failure domain to its own hosts
// and returns how many were completed.
func (cluster *cluster) serveAlone(t *testing.T, oracle *oracle, domain identifier.FailureDomain) int {
	t.Helper()
	served := 0
	for number := range 10 {
		job := newJob(fmt.Sprintf("alone-%d", number), 2, 100*time.Millisecond, true)
		job.FailureDomain = domain
		daemon := cluster.daemonsOf(domain)[number%hostsPerDomain]
		received, err := send(daemon, job, patience)
		if err != nil {
			t.Errorf("%s: %v", job.Submission, err)
			continue
		}
		oracle.note(job, daemon.name, received)
		if received.Outcome == outcomeComplete {
			served++
			continue
		}
		t.Logf("%s: %s %s %s", job.Submission, received.Outcome, received.Reason, received.Detail)
	}
	return served
}

// startInside starts the daemons and the stand-ins inside the test, with the
// network between them.
func startInside(t *testing.T, network *network) *cluster {
	t.Helper()
	cluster := &cluster{folder: clusterFolder(t)}
	cluster.writeSettings(t)
	cluster.makeStandIns()
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	t.Cleanup(func() {
		stop()
		group.Wait()
	})
	for _, daemon := range cluster.daemons {
		network.domains[daemon.settings.PeersAddress.String()] = daemon.settings.FailureDomain
	}
	for _, daemon := range cluster.daemons {
		daemon.inside = true
		file := createLog(t, daemon.log)
		running := &assembler.Daemon{
			Common:   provider.New(daemon.settings, file),
			DialPeer: network.dialer(daemon.settings.FailureDomain),
		}
		group.Go(func() {
			if err := running.Run(ctx, ctx); err != nil {
				t.Error(err)
			}
		})
	}
	for _, standIn := range cluster.standIns {
		standIn.inside = true
		running := cluster.executorOf(t, standIn)
		group.Go(func() { running.Run(ctx) })
	}
	cluster.waitUntilServing(t)
	return cluster
}

func (cluster *cluster) executorOf(t *testing.T, standIn *standIn) *executor.Executor {
	t.Helper()
	var addresses []string
	for _, daemon := range cluster.daemonsOf(standIn.failureDomain) {
		addresses = append(addresses, daemon.settings.BackendServersAddress.String())
	}
	return &executor.Executor{
		Name:          standIn.name,
		FailureDomain: string(standIn.failureDomain),
		Rack:          strings.Join([]string{string(standIn.failureDomain), "rack"}, "-"),
		Slots:         slotsPerServer,
		EntryHosts:    addresses,
		Recorder:      &executor.Recorder{Writer: createLog(t, cluster.recordFile(standIn.name))},
		Log:           log.New(createLog(t, standIn.log)),
	}
}

func createLog(t *testing.T, path string) *os.File {
	t.Helper()
	file, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	return file
}
