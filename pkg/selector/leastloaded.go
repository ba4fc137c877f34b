package selector

import "github.com/stoathitch/stoathitch/pkg/identifier"

// leastLoaded keeps one bucket of servers for each number of free slots, divided by
// rack. Pick goes round-robin over the racks of the top bucket. The tasks of one job are
// picked one after the other, so that they spread over racks when servers are equally
// loaded, and the loss of a rack hits few of the job's tasks.
type leastLoaded[K comparable] struct {
	buckets     []bucket[K]
	locations   map[K]location
	rackNumbers map[identifier.RackID]int
	free        identifier.Slots
	// top is the highest index of a bucket that may hold a server.
	top int
}

type bucket[K comparable] struct {
	racks []rackServers[K]
	// nonEmpty lists the numbers of the racks that have servers in this bucket. cursor is
	// the index in it of the rack that was picked from last.
	nonEmpty []int
	cursor   int
}

type rackServers[K comparable] struct {
	servers []K
	// position is the rack's index in bucket.nonEmpty.
	position int
}

// location gives a server's bucket (its free slots), its rack number and its index
// among the servers of that rack.
type location struct {
	free, rack, index int
}

func newLeastLoaded[K comparable]() *leastLoaded[K] {
	return &leastLoaded[K]{locations: make(map[K]location), rackNumbers: make(map[identifier.RackID]int)}
}

// Update is part of Policy.
func (policy *leastLoaded[K]) Update(server K, load Load) {
	free := int(load.Free())
	rack := policy.rackNumber(load.Rack)
	if known, found := policy.locations[server]; found && known.free == free && known.rack == rack {
		return
	}
	policy.Remove(server)
	for len(policy.buckets) <= free {
		policy.buckets = append(policy.buckets, bucket[K]{})
	}
	target := &policy.buckets[free]
	policy.locations[server] = location{free: free, rack: rack, index: target.add(rack, server)}
	policy.free += identifier.Slots(free)
	policy.top = max(policy.top, free)
}

func (policy *leastLoaded[K]) rackNumber(rack identifier.RackID) int {
	number, found := policy.rackNumbers[rack]
	if !found {
		number = len(policy.rackNumbers)
		policy.rackNumbers[rack] = number
	}
	return number
}

// Remove is part of Policy.
func (policy *leastLoaded[K]) Remove(server K) {
	known, found := policy.locations[server]
	if !found {
		return
	}
	moved := policy.buckets[known.free].remove(known.rack, known.index)
	policy.locations[moved] = known
	policy.free -= identifier.Slots(known.free)
	delete(policy.locations, server)
}

// Pick is part of Policy.
func (policy *leastLoaded[K]) Pick() (K, bool) {
	for policy.top > 0 && len(policy.buckets[policy.top].nonEmpty) == 0 {
		policy.top--
	}
	if policy.top == 0 {
		var none K
		return none, false
	}
	return policy.buckets[policy.top].next(), true
}

// next returns a server of the next rack that has one. The bucket must not be empty.
func (bucket *bucket[K]) next() K {
	bucket.cursor = (bucket.cursor + 1) % len(bucket.nonEmpty)
	servers := bucket.racks[bucket.nonEmpty[bucket.cursor]].servers
	return servers[len(servers)-1]
}

// add puts a server into the bucket and returns its index within its rack.
func (bucket *bucket[K]) add(rack int, server K) int {
	for len(bucket.racks) <= rack {
		bucket.racks = append(bucket.racks, rackServers[K]{})
	}
	target := &bucket.racks[rack]
	if len(target.servers) == 0 {
		target.position = len(bucket.nonEmpty)
		bucket.nonEmpty = append(bucket.nonEmpty, rack)
	}
	target.servers = append(target.servers, server)
	return len(target.servers) - 1
}

// remove removes the server at the index of a rack by moving the rack's last server
// there. It returns the moved server, which is the removed one when that was the last.
func (bucket *bucket[K]) remove(rack, index int) K {
	source := &bucket.racks[rack]
	last := len(source.servers) - 1
	moved := source.servers[last]
	source.servers[index] = moved
	var none K
	source.servers[last] = none
	source.servers = source.servers[:last]
	if last == 0 {
		end := len(bucket.nonEmpty) - 1
		bucket.nonEmpty[source.position] = bucket.nonEmpty[end]
		bucket.racks[bucket.nonEmpty[end]].position = source.position
		bucket.nonEmpty = bucket.nonEmpty[:end]
	}
	return moved
}

// Free is part of Policy.
func (policy *leastLoaded[K]) Free() identifier.Slots { return policy.free }
