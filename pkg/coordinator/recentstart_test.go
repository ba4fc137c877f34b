package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// TestYoungClusterKeepsItsJobs guards against a job of a recently started cluster that ends as
// unknown after ten seconds although no host has died: "s-job-7: failed: task-unknown nobody can
// tell what became of task t-0". Its lead was paused before it had started anything, as happens on
// an overloaded machine. The next lead received the job again and could not know whether it had
// been started: a host that started less than 3 s ago may not have seen every backend server that
// the first lead had, and a backend server that started as recently may have had an earlier
// process. Answers of the live hosts settle both.
func TestYoungClusterKeepsItsJobs(t *testing.T) {
	for _, age := range []time.Duration{700 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
		for _, still := range []time.Duration{500 * time.Millisecond, time.Second, 2500 * time.Millisecond, 4 * time.Second} {
			t.Run(fmt.Sprintf("started %v ago, its lead is paused for %v", age, still), func(t *testing.T) {
				network := newRecentlyStartedNetwork(age)
				harsh := newHarshFaults(newCalledWorld(network, nil, 0), harshKinds{})
				lead := network.leadOf("leuven")
				other := network.others(lead)[0]
				harsh.freeze(lead, still, false)
				job := newJob("job", "team", 2, 50*time.Millisecond)
				network.submit(other, job, time.Minute)
				network.advance(20 * time.Second)
				if answer := network.lastAnswer(job); answer == nil || answer.Outcome != messenger.OutcomeComplete {
					t.Errorf("answered %+v", answer)
				}
				if len(network.oracle.violations) > 0 {
					t.Errorf("broken promises: %v", network.oracle.violations)
				}
			})
		}
	}
}

// newRecentlyStartedNetwork returns one failure domain whose hosts and backend servers started the
// given time ago.
func newRecentlyStartedNetwork(age time.Duration) *network {
	network := newNetwork([]identifier.FailureDomain{"leuven"}, 3, 0, 0)
	for _, host := range network.hosts {
		network.crashHost(host)
		host.generation = 0
	}
	for index := range 2 {
		id := identifier.BackendServerID(fmt.Sprintf("leuven-server-%d", index))
		network.servers = append(network.servers, &fakeServer{network: network, id: id, domain: "leuven", slots: 4})
	}
	for _, host := range network.hosts {
		network.startHost(host)
	}
	for _, server := range network.servers {
		server.boot()
	}
	network.advance(age)
	return network
}
