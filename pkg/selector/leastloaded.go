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
	racks []rackServers[K]
	// filled numbers the racks that have servers here; cursor goes round it.
	filled []int
	cursor int
}

type rackServers[K comparable] struct {
	servers []K
	// position is where the rack stands among the filled ones.
	position int
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
	policy.places[server] = place{free: free, rack: rack, index: target.add(rack, server)}
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
	moved := policy.buckets[known.free].remove(known.rack, known.index)
	policy.places[moved] = known
	policy.free -= identifier.Slots(known.free)
	delete(policy.places, server)
}

// Pick is part of Policy.
func (policy *leastLoaded[K]) Pick() (K, bool) {
	for policy.top > 0 && len(policy.buckets[policy.top].filled) == 0 {
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
	bucket.cursor = (bucket.cursor + 1) % len(bucket.filled)
	servers := bucket.racks[bucket.filled[bucket.cursor]].servers
	return servers[len(servers)-1]
}

// add puts a server into the bucket and returns its index within its rack.
func (bucket *bucket[K]) add(rack int, server K) int {
	for len(bucket.racks) <= rack {
		bucket.racks = append(bucket.racks, rackServers[K]{})
	}
	target := &bucket.racks[rack]
	if len(target.servers) == 0 {
		target.position = len(bucket.filled)
		bucket.filled = append(bucket.filled, rack)
	}
	target.servers = append(target.servers, server)
	return len(target.servers) - 1
}

// remove takes out the server at index of a rack and returns the one that takes
// its place, which is itself when it was the last.
func (bucket *bucket[K]) remove(rack, index int) K {
	source := &bucket.racks[rack]
	last := len(source.servers) - 1
	moved := source.servers[last]
	source.servers[index] = moved
	var none K
	source.servers[last] = none
	source.servers = source.servers[:last]
	if last == 0 {
		end := len(bucket.filled) - 1
		bucket.filled[source.position] = bucket.filled[end]
		bucket.racks[bucket.filled[end]].position = source.position
		bucket.filled = bucket.filled[:end]
	}
	return moved
}

// Free is part of Policy.
func (policy *leastLoaded[K]) Free() identifier.Slots { return policy.free }
