package selector

import (
	"math/rand/v2"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// blend draws server i with the frequency given by equation 1 in section 6 of the paper
// on load balancing for global memory,
//
//	f_i = b*w_i + (1-b)*a_i
//
// where the target weight w_i is the server's share of all slots. a_i replaces the
// paper's age weight by the server's share of all free slots that were observed; both
// express where capacity is currently unused. The sum is sampled as a mixture: by w
// with probability b, by a otherwise.
//
// The paper's bounds 2 and 3, f_i/T_j <= U_i/(N_g*S), limit how often one sender
// may choose a server of utilization U_i when N_g senders share it and a request
// takes S. By Little's law, the rate f_i/T_j times S is the mean number of the
// sender's own requests at the server. Both bounds therefore become a limit on this
// lead's own tasks on the server, U_i*slots/N_g, where U_i is the share of slots that
// the server's health allows (bound 2), which is 1 for a healthy server (bound 3). As
// in section 6.2 the unused capacity is added, divided among the other leads. A server
// at its limit has weight zero until a task ends, which renormalizes the other weights.
type blend[K comparable] struct {
	view          view[K]
	settings      Settings
	source        *rand.Rand
	targetWeights weightTree
	freeWeights   weightTree
	// positions are the servers' positions in the weight trees; unused ones are reused.
	positions       map[K]int
	byPosition      []K
	unusedPositions []int
}

func newBlend[K comparable](settings Settings, source *rand.Rand) *blend[K] {
	return &blend[K]{view: newView[K](), settings: settings, source: source, positions: make(map[K]int)}
}

// Update is part of Policy.
func (policy *blend[K]) Update(server K, load Load) {
	policy.view.Update(server, load)
	position := policy.positionOf(server)
	if load.Own >= policy.limit(load) || load.Free() == 0 {
		policy.targetWeights.set(position, 0)
		policy.freeWeights.set(position, 0)
		return
	}
	policy.targetWeights.set(position, int(load.Slots))
	policy.freeWeights.set(position, int(load.Free()))
}

// limit returns how many tasks of this lead the server may run concurrently.
func (policy *blend[K]) limit(load Load) identifier.Slots {
	leads := identifier.Slots(max(policy.settings.Leads, 1))
	if leads == 1 {
		return load.Slots
	}
	share := (load.Slots + leads - 1) / leads
	return share + load.Free()/(leads-1)
}

func (policy *blend[K]) positionOf(server K) int {
	if position, found := policy.positions[server]; found {
		return position
	}
	position := len(policy.byPosition)
	if last := len(policy.unusedPositions) - 1; last >= 0 {
		position = policy.unusedPositions[last]
		policy.unusedPositions = policy.unusedPositions[:last]
		policy.byPosition[position] = server
	} else {
		policy.byPosition = append(policy.byPosition, server)
	}
	policy.positions[server] = position
	return position
}

// Remove is part of Policy.
func (policy *blend[K]) Remove(server K) {
	position, found := policy.positions[server]
	if !found {
		return
	}
	policy.view.Remove(server)
	policy.targetWeights.set(position, 0)
	policy.freeWeights.set(position, 0)
	delete(policy.positions, server)
	policy.unusedPositions = append(policy.unusedPositions, position)
}

// Pick is part of Policy.
func (policy *blend[K]) Pick() (K, bool) {
	if policy.freeWeights.total == 0 {
		var none K
		return none, false
	}
	weights := &policy.freeWeights
	if policy.source.Float64() < policy.settings.BalancingRate {
		weights = &policy.targetWeights
	}
	return policy.byPosition[weights.find(policy.source.IntN(weights.total))], true
}

// Free is part of Policy.
func (policy *blend[K]) Free() identifier.Slots { return policy.view.free }
