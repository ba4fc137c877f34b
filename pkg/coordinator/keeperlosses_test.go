package coordinator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// recoveryTime is within how long the keepers must serve reads and changes again once power is back.
const recoveryTime = 12 * time.Second

// losePower ends all hosts at once, empties the disk of lost unless it is nil, and starts all again.
func (network *network) losePower(lost *fakeHost) {
	for _, host := range network.hosts {
		network.crashHost(host)
		host.inForce = nil
	}
	if lost != nil {
		lost.disk = fakeDisk{}
		lost.joinsKeepers = true
	}
	for _, host := range network.hosts {
		network.startHost(host)
	}
}

// expectRecovery checks that each host reads the acknowledged revision, and that a change is
// acknowledged, within recoveryTime.
func (network *network) expectRecovery(t *testing.T, acknowledged identifier.ConfigRevision) {
	t.Helper()
	deadline := network.now.Add(recoveryTime)
	waiters := make(map[*fakeHost]uint64)
	for _, host := range network.hosts {
		waiter := uint64(len(network.operators) + 1)
		network.operators[waiter] = nil
		waiters[host] = waiter
	}
	change := network.propose(network.hosts[0], acknowledged+100)
	pending := func() bool {
		for _, waiter := range waiters {
			if !network.acknowledged(waiter) {
				return true
			}
		}
		return !network.acknowledged(change)
	}
	for pending() && network.now.Before(deadline) {
		for host, waiter := range waiters {
			if !network.acknowledged(waiter) {
				network.tick(host, &coordinator.OperatorRequest{Waiter: waiter, ReadConfig: true})
			}
		}
		if !network.acknowledged(change) {
			change = network.propose(network.hosts[0], acknowledged+100)
		}
		network.advance(500 * time.Millisecond)
	}
	if !network.acknowledged(change) {
		t.Error("no change was acknowledged in time")
	}
	for host, waiter := range waiters {
		if !network.acknowledged(waiter) {
			t.Errorf("%s read nothing in time", host.id)
		} else if read := network.operators[waiter].Result.Config.Revision; read < acknowledged {
			t.Errorf("%s read revision %d, acknowledged was %d", host.id, read, acknowledged)
		}
	}
}

// proposeAcknowledged returns the revision if it is acknowledged within a moment, else the older one.
func (network *network) proposeAcknowledged(host *fakeHost, revision, older identifier.ConfigRevision) identifier.ConfigRevision {
	waiter := network.propose(host, revision)
	network.advance(60 * time.Millisecond)
	if network.acknowledged(waiter) {
		return revision
	}
	return older
}

// Symptom: the configuration can't be read any more, or an older one is read, after a loss of power.
// Sequence: a keeper loses its disk. While it is removed, added and promoted, all keepers lose power,
// and its disk is lost for the second time or stays.
// Cause: a member that is being changed counts for a quorum without what it acknowledged, or no
// quorum is left.
func TestPowerLossWhileAKeeperJoins(t *testing.T) {
	for victim := range 3 {
		for _, again := range []bool{false, true} {
			for after := time.Duration(0); after < 1500*time.Millisecond; after += 50 * time.Millisecond {
				t.Run(fmt.Sprintf("keeper %d again %v after %v", victim, again, after), func(t *testing.T) {
					network := newKeeperNetwork(t)
					lost := network.hosts[victim]
					other := network.hosts[(victim+1)%3]
					acknowledged := network.proposeAcknowledged(other, 1, 0)
					network.wipe(lost)
					network.advance(after)
					acknowledged = network.proposeAcknowledged(other, 2, acknowledged)
					if again {
						network.losePower(lost)
					} else {
						network.losePower(nil)
					}
					network.expectRecovery(t, acknowledged)
				})
			}
		}
	}
}

// Symptom: as above.
// Sequence: a keeper is away for seconds and another takes its place. While that one is added and
// promoted, and the one that was away is removed, all keepers lose power and one of the four loses
// its disk; all start again.
func TestPowerLossWhileAKeeperIsReplaced(t *testing.T) {
	for victim := range 4 {
		for after := 2500 * time.Millisecond; after < 5*time.Second; after += 100 * time.Millisecond {
			t.Run(fmt.Sprintf("keeper %d after %v", victim, after), func(t *testing.T) {
				network := newKeeperNetwork(t)
				acknowledged := network.proposeAcknowledged(network.hosts[0], 1, 0)
				// The first members of the log are stored and do not change with the hosts that exist.
				network.seeds = slices.Clone(network.hosts)
				network.crashHost(network.hosts[2])
				created := &fakeHost{id: "geel-host-9", domain: "geel", keeper: true, joinsKeepers: true}
				network.hosts = append(network.hosts, created)
				network.startHost(created)
				network.advance(after)
				acknowledged = network.proposeAcknowledged(network.hosts[0], 2, acknowledged)
				network.losePower(network.hosts[victim])
				network.expectRecovery(t, acknowledged)
			})
		}
	}
}

// Symptom: as above.
// Sequence: a change is sent, and within milliseconds, before or after its acknowledgement, one keeper
// loses its disk while the others lose power.
func TestDiskAndPowerAreLostDuringAChange(t *testing.T) {
	for victim := range 3 {
		for after := time.Duration(0); after < 30*time.Millisecond; after += time.Millisecond {
			t.Run(fmt.Sprintf("keeper %d after %v", victim, after), func(t *testing.T) {
				network := newKeeperNetwork(t)
				acknowledged := network.proposeAcknowledged(network.hosts[0], 1, 0)
				waiter := network.propose(network.hosts[1], 2)
				network.advance(after)
				if network.acknowledged(waiter) {
					acknowledged = 2
				}
				network.losePower(network.hosts[victim])
				network.expectRecovery(t, acknowledged)
			})
		}
	}
}
