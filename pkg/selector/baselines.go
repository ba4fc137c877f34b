package selector

import "math/rand/v2"

// random draws any server in the view. A task that finds no free slot there is refused
// by the server, and the caller picks again.
type random[K comparable] struct {
	view[K]
	source *rand.Rand
}

// Pick is part of Policy.
func (policy *random[K]) Pick() (K, bool) {
	if len(policy.servers) == 0 || policy.free == 0 {
		var none K
		return none, false
	}
	return policy.servers[policy.source.IntN(len(policy.servers))], true
}

// twoChoices draws two servers at random and picks the one with more free slots.
type twoChoices[K comparable] struct {
	view[K]
	source *rand.Rand
}

// Pick is part of Policy.
func (policy *twoChoices[K]) Pick() (K, bool) {
	if len(policy.servers) == 0 || policy.free == 0 {
		var none K
		return none, false
	}
	first := policy.source.IntN(len(policy.servers))
	second := policy.source.IntN(len(policy.servers))
	if policy.loads[second].Free() > policy.loads[first].Free() {
		first = second
	}
	return policy.servers[first], true
}
