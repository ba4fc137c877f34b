package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

var bothDomains = []identifier.FailureDomain{"leuven", "roeselare"}

// startsByDomain counts the tasks that began in each failure domain.
func (network *network) startsByDomain() map[identifier.FailureDomain]int {
	counts := make(map[identifier.FailureDomain]int)
	for _, id := range network.oracle.starts {
		counts[network.server(id).domain]++
	}
	return counts
}

func newTwoDomains(t *testing.T) *network {
	t.Helper()
	network := newNetwork(bothDomains, 2, 2, 4)
	t.Cleanup(func() {
		if len(network.oracle.violations) > 0 {
			t.Errorf("broken promises: %v", network.oracle.violations)
		}
	})
	return network
}

func (network *network) submitMany(count int, mayRun []identifier.FailureDomain) []*messenger.Job {
	jobs := make([]*messenger.Job, 0, count)
	for number := range count {
		job := newJob(fmt.Sprintf("job-%d", number), "team", 2, 500*time.Millisecond)
		job.MayRun = mayRun
		jobs = append(jobs, job)
		network.submit(network.hosts[number%2], job, time.Minute)
		network.advance(time.Millisecond)
	}
	return jobs
}

// Symptom: jobs wait at home while another failure domain where they may run is idle.
// Sequence: 20 tasks arrive at once for 8 slots, and the other failure domain has 8 free.
func TestJobsSpillWhenHomeIsBusy(t *testing.T) {
	network := newTwoDomains(t)
	jobs := network.submitMany(10, bothDomains)
	network.advance(10 * time.Second)
	for _, job := range jobs {
		network.expectAnswer(t, job, messenger.OutcomeComplete, messenger.ReasonNone)
	}
	spread := network.startsByDomain()
	t.Logf("began at home %d, elsewhere %d", spread["leuven"], spread["roeselare"])
	if spread["roeselare"] == 0 {
		t.Fatal("no job was handed off")
	}
}

// Symptom: a job runs in a failure domain where it may not.
// Sequence: as above, with jobs that may run at home only.
func TestJobsStayWhereTheyMayRun(t *testing.T) {
	network := newTwoDomains(t)
	jobs := network.submitMany(10, bothDomains[:1])
	network.advance(10 * time.Second)
	for _, job := range jobs {
		network.expectAnswer(t, job, messenger.OutcomeComplete, messenger.ReasonNone)
	}
	if spread := network.startsByDomain(); spread["roeselare"] != 0 {
		t.Fatalf("began elsewhere: %d", spread["roeselare"])
	}
}

// Symptom: jobs are refused although they may run in another failure domain.
// Sequence: the home's backend servers all die, its entry hosts live.
func TestHomeWithoutServersSpillsAll(t *testing.T) {
	network := newTwoDomains(t)
	network.servers[0].crash()
	network.servers[1].crash()
	network.advance(time.Second)
	jobs := network.submitMany(4, bothDomains)
	network.advance(10 * time.Second)
	for _, job := range jobs {
		network.expectAnswer(t, job, messenger.OutcomeComplete, messenger.ReasonNone)
	}
}

// Symptom: a spilled job runs a second time at home, or hangs.
// Sequence: it runs in the other failure domain when the hosts there become unreachable for good,
// or when its home lead dies and another host takes over the cell.
// Cause: no host at home can know its outcome, so it must not start there.
func TestSpilledJobOutlivesFaults(t *testing.T) {
	faults := map[string]struct {
		fault   func(network *network)
		outcome messenger.Outcome
	}{
		"cut off": {func(network *network) {
			for _, home := range network.hosts[:2] {
				for _, away := range network.hosts[2:] {
					network.disconnectHosts(home, away)
				}
			}
		}, messenger.OutcomeFailed},
		"home lead dies":   {func(network *network) { network.crashHost(network.leadOf("leuven")) }, messenger.OutcomeComplete},
		"remote lead dies": {func(network *network) { network.crashHost(network.leadOf("roeselare")) }, messenger.OutcomeComplete},
	}
	for name, test := range faults {
		t.Run(name, func(t *testing.T) {
			network := newTwoDomains(t)
			network.servers[0].crash()
			network.servers[1].crash()
			network.advance(time.Second)
			job := newJob("job", "team", 2, time.Second)
			job.MayRun = bothDomains
			lead := network.leadOf("leuven")
			callerHost := network.hosts[0]
			if callerHost == lead {
				callerHost = network.hosts[1]
			}
			network.submit(callerHost, job, time.Minute)
			network.advance(100 * time.Millisecond)
			if len(network.serversOf(job)) != 2 {
				t.Fatal("the job was not handed off")
			}
			test.fault(network)
			network.servers[0].boot()
			network.servers[1].boot()
			network.advance(20 * time.Second)
			if answer := network.finalAnswer(job); answer == nil || answer.Outcome != test.outcome {
				t.Fatalf("answered %+v, want %v", answer, test.outcome)
			}
		})
	}
}
