package coordinator_test

import (
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// maxMembershipPower is the power of the number of changed hosts by which the work of applying
// their changes may grow. It leaves room for the logarithm of sorting.
const maxMembershipPower = 1.25

// TestManyChangesOfMembershipCostInProportion guards against a host that scans the whole membership
// for each host that joins or dies, so that it stands still after the loss of half of a fleet. The
// work is measured by the bytes that are allocated.
func TestManyChangesOfMembershipCostInProportion(t *testing.T) {
	few, many := 100, 400
	for _, status := range []gossiper.Status{gossiper.StatusAlive, gossiper.StatusDead} {
		fewBytes, manyBytes := bytesOfChanges(few, status), bytesOfChanges(many, status)
		power := math.Log(float64(manyBytes)/float64(fewBytes)) / math.Log(float64(many)/float64(few))
		if power > maxMembershipPower {
			t.Errorf("%d hosts become %s with %d bytes, %d with %d: power %.2f, want at most %.2f",
				few, status, fewBytes, many, manyBytes, power, maxMembershipPower)
		}
	}
}

// bytesOfChanges returns how many bytes a host allocates while it applies one message in which a
// number of hosts have joined, or have died after they had joined.
func bytesOfChanges(hosts int, status gossiper.Status) uint64 {
	member := func(index int) gossiper.Member {
		id := fmt.Sprintf("host-%d", index)
		return gossiper.Member{
			Host: identifier.HostID(id), FailureDomain: fiveDomains[index%len(fiveDomains)], Region: "vlaanderen",
			Roles: []gossiper.Role{gossiper.RoleEntry}, Addresses: gossiper.Addresses{Peers: id}, Incarnation: 1,
		}
	}
	host := &coordinator.Coordinator{Self: member(0), Seeds: []gossiper.Member{member(1)}, Settings: coordinator.DefaultSettings()}
	host.Tick(0, nil)
	change := func(status gossiper.Status) {
		message := &gossiper.Message{Kind: gossiper.MessageUpdates, From: member(1).Host}
		for index := 1; index <= hosts; index++ {
			message.States = append(message.States, gossiper.State{Member: member(index), Status: status})
		}
		host.Tick(identifier.Moment(time.Millisecond), []coordinator.Input{&coordinator.PeerBatchArrived{
			From: member(1).Host, Batch: coordinator.PeerBatch{Messages: []coordinator.PeerMessage{{Gossip: message}}},
		}})
	}
	if status != gossiper.StatusAlive {
		change(gossiper.StatusAlive)
	}
	before := allocatedBytes()
	change(status)
	return allocatedBytes() - before
}

func allocatedBytes() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}
