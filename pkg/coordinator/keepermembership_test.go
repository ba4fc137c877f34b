package coordinator_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/keeper"
)

// newKeeperNetwork starts three keepers, one in each failure domain. Hosts that are added and
// started later may join them.
func newKeeperNetwork(t *testing.T) *network {
	t.Helper()
	network := newNetwork([]identifier.FailureDomain{"leuven", "roeselare", "geel"}, 1, 0, 0)
	network.settings.Voters = 3
	network.settings.Keeper.Replicator.MinCopies = 2
	network.makeKeepers()
	return network
}

// propose sends a configuration change to a host and returns the waiter of its answer.
func (network *network) propose(host *fakeHost, revision identifier.ConfigRevision) uint64 {
	waiter := uint64(len(network.operators) + 1)
	network.operators[waiter] = nil
	change := &configurer.Change{Request: identifier.RequestID(time.Duration(revision).String()), Operator: "anna", Revision: revision}
	network.tick(host, &coordinator.OperatorRequest{Waiter: waiter, Command: keeper.Command{Change: change}})
	return waiter
}

func (network *network) acknowledged(waiter uint64) bool {
	answer := network.operators[waiter]
	return answer != nil && answer.Applied
}

// read returns the configuration revision that a host reads, and false without a quorum.
func (network *network) read(host *fakeHost) (identifier.ConfigRevision, bool) {
	waiter := uint64(len(network.operators) + 1)
	network.operators[waiter] = nil
	network.tick(host, &coordinator.OperatorRequest{Waiter: waiter, ReadConfig: true})
	network.advance(3 * time.Second)
	if !network.acknowledged(waiter) {
		return 0, false
	}
	return network.operators[waiter].Result.Config.Revision, true
}

// wipe ends a host's process, empties its disk and restarts it.
func (network *network) wipe(host *fakeHost) {
	network.crashHost(host)
	host.disk = fakeDisk{}
	host.joinsKeepers = true
	network.startHost(host)
}

// Symptom: an acknowledged configuration is lost, and an older one is in force.
// Sequence: a change is acknowledged by two of three keepers while the third is disconnected. One
// of the two loses its disk right after and restarts at the old address; then the other is lost for
// a moment and the third is reached again.
// Cause: the keeper with the empty disk voted for the third, as if it had never acknowledged
// anything.
func TestWipedKeeperElectsNobody(t *testing.T) {
	network := newKeeperNetwork(t)
	first, second, third := network.hosts[0], network.hosts[1], network.hosts[2]
	network.disconnectHosts(first, third)
	network.disconnectHosts(second, third)
	network.advance(3 * time.Second)
	waiter := network.propose(first, 7)
	network.advance(time.Second)
	if !network.acknowledged(waiter) {
		t.Fatal("two of three keepers did not acknowledge")
	}
	network.crashHost(first)
	network.wipe(second)
	network.advance(10 * time.Second)
	if revision, known := network.read(third); known {
		t.Fatalf("a quorum without the only copy reads revision %d", revision)
	}
	network.startHost(first)
	network.advance(5 * time.Second)
	if revision, known := network.read(third); !known || revision != 7 {
		t.Fatalf("with the copy back revision %d is read, known %v", revision, known)
	}
}

// Symptom: after one keeper's disk and later another's are lost, nothing can be changed any more,
// or a change is lost.
// Sequence: each of the three keepers loses its disk in turn, with seconds between.
// Cause: a keeper that restarted with an empty disk never became a voter again.
func TestKeepersAreWipedInTurn(t *testing.T) {
	network := newKeeperNetwork(t)
	for round, host := range network.hosts {
		revision := identifier.ConfigRevision(round + 1)
		waiter := network.propose(network.hosts[(round+1)%3], revision)
		network.advance(time.Second)
		if !network.acknowledged(waiter) {
			t.Fatalf("revision %d was not acknowledged", revision)
		}
		network.wipe(host)
		network.advance(4 * time.Second)
		if host.joinsKeepers {
			t.Fatalf("%s is no voter 4 s after its disk was lost", host.id)
		}
		if read, known := network.read(host); !known || read != revision {
			t.Fatalf("revision %d is read, known %v, want %d", read, known, revision)
		}
	}
}

// Symptom: the loss of a second keeper stops all changes, long after another one has replaced the
// first.
// Sequence: one keeper is lost for good, an empty one starts at another address.
// Cause: the members of the log stayed those of the first start.
func TestNewKeeperTakesThePlaceOfOneThatIsGone(t *testing.T) {
	network := newKeeperNetwork(t)
	network.propose(network.hosts[0], 1)
	network.advance(time.Second)
	network.crashHost(network.hosts[2])
	created := &fakeHost{id: "geel-host-9", domain: "geel", keeper: true, joinsKeepers: true}
	network.hosts = append(network.hosts, created)
	network.startHost(created)
	network.advance(8 * time.Second)
	if created.joinsKeepers {
		t.Fatal("the new keeper is no voter after 8 s")
	}
	network.crashHost(network.hosts[0])
	network.advance(5 * time.Second)
	living := slices.Index(network.hosts, created)
	waiter := network.propose(network.hosts[living], 2)
	network.advance(3 * time.Second)
	if !network.acknowledged(waiter) {
		t.Fatal("the two remaining keepers did not acknowledge a change")
	}
}

// Symptom: after a loss of all power, hosts apply an older configuration than one that had been
// acknowledged, for a quarter of a second, until the newer one appears.
// Sequence: two changes are acknowledged, the second some seconds after the first; all hosts lose
// power; each restarts with its journal, which contains both changes but marks only the first as
// committed.
// Cause: a keeper passed the recovered state to its host before a leader had sent it the commit
// index of the log.
func TestPowerLossShowsNoOlderConfiguration(t *testing.T) {
	network := newKeeperNetwork(t)
	for revision := identifier.ConfigRevision(1); revision <= 2; revision++ {
		waiter := network.propose(network.hosts[0], revision)
		network.advance(2 * time.Second)
		if !network.acknowledged(waiter) {
			t.Fatalf("revision %d was not acknowledged", revision)
		}
	}
	for _, host := range network.hosts {
		network.crashHost(host)
		host.inForce = nil
	}
	for _, host := range network.hosts {
		network.startHost(host)
	}
	network.advance(5 * time.Second)
	for _, host := range network.hosts {
		if !slices.Equal(host.inForce, []identifier.ConfigRevision{2}) {
			t.Errorf("%s applied the revisions %v, want only 2", host.id, host.inForce)
		}
	}
}

// TestRestartedKeeperAppliesTheConfiguration checks that a keeper that restarts while a leader
// lives applies the configuration without a new election.
func TestRestartedKeeperAppliesTheConfiguration(t *testing.T) {
	network := newKeeperNetwork(t)
	waiter := network.propose(network.hosts[0], 1)
	network.advance(time.Second)
	if !network.acknowledged(waiter) {
		t.Fatal("the change was not acknowledged")
	}
	for _, host := range network.hosts {
		network.crashHost(host)
		host.inForce = nil
		network.startHost(host)
		network.advance(3 * time.Second)
		if !slices.Equal(host.inForce, []identifier.ConfigRevision{1}) {
			t.Errorf("%s applied the revisions %v, want 1", host.id, host.inForce)
		}
	}
}
