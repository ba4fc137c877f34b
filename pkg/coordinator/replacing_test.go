package coordinator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

const (
	// settleTime is how long after its start a new keeper counts as lost at most, and one that is back.
	settleTime = 4 * time.Second
	// shutdownLimit is how long a keeper has for its shutdown.
	shutdownLimit = 5 * time.Second
)

// changes proposes one revision after the other.
type changes struct {
	network *network
	newest  identifier.ConfigRevision
	waiters map[identifier.ConfigRevision]uint64
}

// changeInterval is the time between two changes.
const changeInterval = 165 * time.Millisecond

// runFor proposes the next revision at each changeInterval, in turn by each running host.
func (changes *changes) runFor(length time.Duration) {
	network := changes.network
	for end := network.now.Add(length); network.now.Before(end); {
		changes.newest++
		for turn := range network.hosts {
			if host := network.hosts[(int(changes.newest)+turn)%len(network.hosts)]; host.coordinator != nil {
				changes.waiters[changes.newest] = network.propose(host, changes.newest)
				break
			}
		}
		network.advance(changeInterval)
	}
}

// acknowledged returns the highest revision that was acknowledged.
func (changes *changes) acknowledged() identifier.ConfigRevision {
	for revision := changes.newest; revision > 0; revision-- {
		if changes.network.acknowledged(changes.waiters[revision]) {
			return revision
		}
	}
	return 0
}

// replaceKeeper starts an empty keeper in the failure domain of another one, which leaves a second later.
func (changes *changes) replaceKeeper(former *fakeHost) *fakeHost {
	network := changes.network
	created := &fakeHost{id: former.id + "-next", domain: former.domain, keeper: true, joinsKeepers: true}
	network.hosts = append(network.hosts, created)
	network.startHost(created)
	changes.runFor(time.Second)
	generation := former.generation
	network.leave(former)
	network.at(shutdownLimit, func() {
		if former.generation == generation {
			network.crashHost(former)
		}
	})
	return created
}

// Guards against keepers without a quorum after planned replacements: a new one became a voter seconds
// after the former one had gone, and the loss of another one in between left too few.
func TestKeepersAreReplacedInTurnWhileOthersAreLost(t *testing.T) {
	const away = 3500 * time.Millisecond
	for _, syncTime := range []time.Duration{usualSyncTime, 50 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(fmt.Sprintf("syncs of %v", syncTime), func(t *testing.T) {
			network := newKeeperNetwork(t)
			network.syncTime = syncTime
			changes := &changes{network: network, waiters: make(map[identifier.ConfigRevision]uint64)}
			keepers := slices.Clone(network.hosts)
			for index := range keepers {
				created := changes.replaceKeeper(keepers[index])
				keepers[index] = created
				changes.runFor(settleTime)
				lost := keepers[(index+1)%3]
				network.crashHost(lost)
				changes.runFor(away)
				network.startHost(lost)
				changes.runFor(settleTime)
				acknowledged := changes.acknowledged()
				if int(changes.newest-acknowledged) > int(settleTime/changeInterval) {
					t.Fatalf("after replacement %d revision %d of %d is the last acknowledged one", index+1, acknowledged, changes.newest)
				}
				for _, keeper := range keepers {
					if read, known := network.read(keeper); !known || read < acknowledged {
						t.Fatalf("after replacement %d %s reads revision %d, known %v; acknowledged was %d", index+1, keeper.id, read, known, acknowledged)
					}
				}
			}
		})
	}
}

// Guards against a keeper that takes all the time of its shutdown to wait for a successor that it doesn't
// need, and against one that reads nothing after its restart.
func TestRestartedKeepersLeaveAtOnce(t *testing.T) {
	for _, spares := range []int{0, 1, 4} {
		t.Run(fmt.Sprintf("%d spare keepers", spares), func(t *testing.T) {
			network := newKeeperNetwork(t)
			for index := range spares {
				spare := &fakeHost{id: identifier.HostID(fmt.Sprintf("geel-host-%d", 5+index)), domain: "geel", keeper: true, joinsKeepers: true}
				network.hosts = append(network.hosts, spare)
				network.startHost(spare)
			}
			network.advance(settleTime)
			for _, host := range network.hosts {
				generation, began := host.generation, network.now
				network.leave(host)
				for host.generation == generation && network.now.Sub(began) < shutdownLimit {
					network.advance(10 * time.Millisecond)
				}
				if took := network.now.Sub(began); took > 2*time.Second {
					t.Errorf("%s took %v to leave", host.id, took)
				}
				network.startHost(host)
				network.advance(settleTime)
				if _, known := network.read(host); !known {
					t.Fatalf("%s reads nothing after its restart", host.id)
				}
			}
		})
	}
}
