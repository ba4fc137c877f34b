package ranker_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/ranker"
)

const duties = 20_000

// firstChoices returns the first choice for each duty among hosts of the given capacities, without
// the host at position lost.
func firstChoices(capacities []identifier.MilliCPU, lost int) []identifier.HostID {
	choices := make([]identifier.HostID, duties)
	for duty := range choices {
		var candidates []ranker.Candidate
		for index, capacity := range capacities {
			if index == lost {
				continue
			}
			host := identifier.HostID(fmt.Sprintf("host-%d", index))
			hash := xxhash.Sum64String(fmt.Sprintf("%d %s", duty, host))
			candidates = append(candidates, ranker.Candidate{Host: host, Hash: hash, Capacity: capacity})
		}
		ranker.Rank(candidates)
		choices[duty] = candidates[0].Host
	}
	return choices
}

// TestDutiesFollowCapacity guards against duties that small hosts get as often as large ones.
func TestDutiesFollowCapacity(t *testing.T) {
	capacities := []identifier.MilliCPU{144, 144, 480, 0}
	count := make(map[identifier.HostID]float64)
	for _, host := range firstChoices(capacities, -1) {
		count[host]++
	}
	for index, share := range []float64{144, 144, 480, 144} {
		host := identifier.HostID(fmt.Sprintf("host-%d", index))
		if expected := duties * share / (3*144 + 480); math.Abs(count[host]-expected) > expected/20 {
			t.Errorf("%s of capacity %d has %v duties, expected %v", host, capacities[index], count[host], expected)
		}
	}
}

// TestLossMovesOnlyOwnDuties guards against a lost host whose loss moves duties of other hosts.
func TestLossMovesOnlyOwnDuties(t *testing.T) {
	capacities := []identifier.MilliCPU{144, 144, 480, 480, 192}
	before := firstChoices(capacities, -1)
	for lost := range capacities {
		for duty, host := range firstChoices(capacities, lost) {
			if former := before[duty]; former != host && former != identifier.HostID(fmt.Sprintf("host-%d", lost)) {
				t.Fatalf("the loss of host-%d moves duty %d from %s to %s", lost, duty, former, host)
			}
		}
	}
}

// TestEqualCapacitiesKeepTheOrder guards against fleets of equal hosts whose duties move when their
// hosts begin to state their capacity.
func TestEqualCapacitiesKeepTheOrder(t *testing.T) {
	unknown := firstChoices([]identifier.MilliCPU{0, 0, 0}, -1)
	for duty, host := range firstChoices([]identifier.MilliCPU{480, 0, 480}, -1) {
		if host != unknown[duty] {
			t.Fatalf("duty %d moves from %s to %s", duty, unknown[duty], host)
		}
	}
}
