package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// A job of a cluster that had just begun ended as unknown after ten seconds, and no host had died:
// "s-job-7: failed: task-unknown nobody can tell what became of task t-0". Its lead stood still
// before it had started anything, as processes do on a machine with too much to do. The next lead
// was sent the job again and couldn't tell whether it had been started: a host younger than 3 s may
// not have seen every backend server that the first lead had, and a backend server as young may
// have had a process before. The word of the hosts that live settles both.
func TestYoungClusterKeepsItsJobs(t *testing.T) {
	for _, age := range []time.Duration{700 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
		for _, still := range []time.Duration{500 * time.Millisecond, time.Second, 2500 * time.Millisecond, 4 * time.Second} {
			t.Run(fmt.Sprintf("%v old, its lead stands still for %v", age, still), func(t *testing.T) {
				network := youngNetwork(age)
				harsh := newHarshFaults(newCalledWorld(network, nil, 0), harshKinds{})
				lead := network.leadOf("leuven")
				other := network.others(lead)[0]
				harsh.freeze(lead, still, false)
				job := jobOf("job", "team", 2, 50*time.Millisecond)
				network.submit(other, job, time.Minute)
				network.advance(20 * time.Second)
				if answer := network.last(job); answer == nil || answer.Outcome != messenger.OutcomeComplete {
					t.Errorf("answered %+v", answer)
				}
				if len(network.oracle.breaches) > 0 {
					t.Errorf("broken promises: %v", network.oracle.breaches)
				}
			})
		}
	}
}

// youngNetwork is one failure domain whose hosts and backend servers started a short while ago.
func youngNetwork(age time.Duration) *network {
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
