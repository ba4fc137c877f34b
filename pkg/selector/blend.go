package selector

import (
	"math/rand/v2"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// blend draws server i with the frequency of equation 1 in section 6 of the paper
// on load balancing for global memory,
//
//	f_i = b*w_i + (1-b)*a_i
//
// where the target weight w_i is the server's share of all slots and a_i, in place
// of the paper's age weight, is its share of all free slots that were observed:
// both say where capacity is unused at the moment. The sum is drawn as a mixture:
// with chance b by w, else by a.
//
// The paper's bounds 2 and 3, f_i/T_j <= U_i/(N_g*S), limit how often one sender
// may choose a server of utilization U_i when N_g senders share it and a request
// takes S. The rate f_i/T_j times S is, by Little's law, the mean number of the
// sender's own requests at the server. So both bounds become a limit of this
// lead's own tasks there, U_i*slots/N_g: with U_i the share of slots that health
// allows (bound 2), 1 for a server in full health (bound 3). As in section 6.2 the
// unused capacity is added, shared among the other leads. A server at its limit
// has weight zero until a task ends, which renormalizes the others.
type blend[K comparable] struct {
	view     view[K]
	settings Settings
	source   *rand.Rand
	targets  sums
	states   sums
	// numbers are the positions in the sums; unused ones are given out again.
	numbers map[K]int
	byPlace []K
	unused  []int
}

func newBlend[K comparable](settings Settings, source *rand.Rand) *blend[K] {
	return &blend[K]{view: newView[K](), settings: settings, source: source, numbers: make(map[K]int)}
}

// Update is part of Policy.
func (policy *blend[K]) Update(server K, load Load) {
	policy.view.Update(server, load)
	number := policy.numberOf(server)
	if load.Own >= policy.limit(load) || load.Free() == 0 {
		policy.targets.set(number, 0)
		policy.states.set(number, 0)
		return
	}
	policy.targets.set(number, int(load.Slots))
	policy.states.set(number, int(load.Free()))
}

// limit returns how many tasks of this lead the server may run.
func (policy *blend[K]) limit(load Load) identifier.Slots {
	leads := identifier.Slots(max(policy.settings.Leads, 1))
	if leads == 1 {
		return load.Slots
	}
	share := (load.Slots + leads - 1) / leads
	return share + load.Free()/(leads-1)
}

func (policy *blend[K]) numberOf(server K) int {
	if number, found := policy.numbers[server]; found {
		return number
	}
	number := len(policy.byPlace)
	if last := len(policy.unused) - 1; last >= 0 {
		number = policy.unused[last]
		policy.unused = policy.unused[:last]
		policy.byPlace[number] = server
	} else {
		policy.byPlace = append(policy.byPlace, server)
	}
	policy.numbers[server] = number
	return number
}

// Remove is part of Policy.
func (policy *blend[K]) Remove(server K) {
	number, found := policy.numbers[server]
	if !found {
		return
	}
	policy.view.Remove(server)
	policy.targets.set(number, 0)
	policy.states.set(number, 0)
	delete(policy.numbers, server)
	policy.unused = append(policy.unused, number)
}

// Pick is part of Policy.
func (policy *blend[K]) Pick() (K, bool) {
	if policy.states.total == 0 {
		var none K
		return none, false
	}
	weights := &policy.states
	if policy.source.Float64() < policy.settings.BalancingRate {
		weights = &policy.targets
	}
	return policy.byPlace[weights.find(policy.source.IntN(weights.total))], true
}

// Free is part of Policy.
func (policy *blend[K]) Free() identifier.Slots { return policy.view.free }
