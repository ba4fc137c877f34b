package selector

import "github.com/stoathitch/stoathitch/pkg/identifier"

// leastLoaded keeps servers in one bucket for each number of free slots, and each
// bucket by rack. Picks go round the racks of the top bucket, so that the tasks of
// one job, which are picked one after the other, spread over racks when servers
// are equal: a lost rack then costs few of the job's tasks.
type leastLoaded[K comparable] struct {
	buckets []bucket[K]
	places  map[K]place
	racks   map[identifier.RackID]int
	free    identifier.Slots
	// top is the highest bucket that may hold a server.
	top int
}

type bucket[K comparable] struct {
	racks  [][]K
	count  int
	cursor int
}

// place is where a server stands.
type place struct {
	free, rack, index int
}

func newLeastLoaded[K comparable]() *leastLoaded[K] {
	return &leastLoaded[K]{places: make(map[K]place), racks: make(map[identifier.RackID]int)}
}

// Update is part of Policy.
func (policy *leastLoaded[K]) Update(server K, load Load) {
	free := int(load.Free())
	rack := policy.rackNumber(load.Rack)
	if known, found := policy.places[server]; found && known.free == free && known.rack == rack {
		return
	}
	policy.Remove(server)
	for len(policy.buckets) <= free {
		policy.buckets = append(policy.buckets, bucket[K]{})
	}
	target := &policy.buckets[free]
	for len(target.racks) <= rack {
		target.racks = append(target.racks, nil)
	}
	policy.places[server] = place{free: free, rack: rack, index: len(target.racks[rack])}
	target.racks[rack] = append(target.racks[rack], server)
	target.count++
	policy.free += identifier.Slots(free)
	policy.top = max(policy.top, free)
}

func (policy *leastLoaded[K]) rackNumber(rack identifier.RackID) int {
	number, found := policy.racks[rack]
	if !found {
		number = len(policy.racks)
		policy.racks[rack] = number
	}
	return number
}

// Remove is part of Policy.
func (policy *leastLoaded[K]) Remove(server K) {
	known, found := policy.places[server]
	if !found {
		return
	}
	source := &policy.buckets[known.free]
	list := source.racks[known.rack]
	last := len(list) - 1
	moved := list[last]
	list[known.index] = moved
	policy.places[moved] = known
	var none K
	list[last] = none
	source.racks[known.rack] = list[:last]
	source.count--
	policy.free -= identifier.Slots(known.free)
	delete(policy.places, server)
}

// Pick is part of Policy.
func (policy *leastLoaded[K]) Pick() (K, bool) {
	for policy.top > 0 && policy.buckets[policy.top].count == 0 {
		policy.top--
	}
	if policy.top == 0 {
		var none K
		return none, false
	}
	return policy.buckets[policy.top].next(), true
}

// next returns a server of the next rack that has one; the bucket isn't empty.
func (bucket *bucket[K]) next() K {
	for {
		bucket.cursor = (bucket.cursor + 1) % len(bucket.racks)
		if list := bucket.racks[bucket.cursor]; len(list) > 0 {
			return list[len(list)-1]
		}
	}
}

// Free is part of Policy.
func (policy *leastLoaded[K]) Free() identifier.Slots { return policy.free }
