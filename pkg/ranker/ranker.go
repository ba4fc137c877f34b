// Package ranker orders hosts for a duty by weighted rendezvous hashing (Schindelhauer and Schomaker,
// "Weighted Distributed Hash Tables", 2005): each host gets its share of the duties by its capacity,
// and the loss of a host moves only the duties of that host.
//
// The package is pure. All hosts with the same view compute the same order.
package ranker

import (
	"cmp"
	"math"
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Candidate is a host that a duty may be assigned to.
type Candidate struct {
	Host identifier.HostID
	// Hash is the hash of the host and the duty.
	Hash uint64
	// Capacity is the processor capacity that the host states; 0 is unknown.
	Capacity identifier.MilliCPU
}

// Rank sorts the candidates for one duty, the first choice first. Where all capacities are equal or
// unknown, the order is that of the hashes. Among others, a host of unknown capacity counts as the
// smallest one that states its own.
func Rank(candidates []Candidate) {
	least, alike := leastCapacity(candidates)
	slices.SortFunc(candidates, func(first, second Candidate) int {
		order := 0
		if !alike {
			order = cmp.Compare(second.score(least), first.score(least))
		}
		return cmp.Or(order, cmp.Compare(second.Hash, first.Hash), cmp.Compare(first.Host, second.Host))
	})
}

// Alike reports whether the stated capacities of the candidates do not differ.
func Alike(candidates []Candidate) bool {
	_, alike := leastCapacity(candidates)
	return alike
}

// leastCapacity returns the smallest stated capacity, and whether the capacities do not differ.
func leastCapacity(candidates []Candidate) (least identifier.MilliCPU, alike bool) {
	var most identifier.MilliCPU
	for _, candidate := range candidates {
		if candidate.Capacity <= 0 {
			continue
		}
		most = max(most, candidate.Capacity)
		if least == 0 || candidate.Capacity < least {
			least = candidate.Capacity
		}
	}
	return least, least == most
}

// score is -capacity/ln(hash), with the hash mapped into the open interval from 0 to 1.
func (candidate Candidate) score(least identifier.MilliCPU) float64 {
	const mantissaBits = 53
	uniform := (float64(candidate.Hash>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	return -float64(max(candidate.Capacity, least)) / math.Log(uniform)
}
