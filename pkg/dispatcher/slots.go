package dispatcher

// freeSlots finds the server with the most free slots in constant time: servers
// stand in one bucket for each number of free slots.
type freeSlots struct {
	buckets  [][]*server
	position map[*server]slotPosition
}

type slotPosition struct {
	bucket int
	index  int
}

func newFreeSlots() freeSlots {
	return freeSlots{position: make(map[*server]slotPosition)}
}

// update puts the server into the bucket of its free slots, or takes it out when
// it can't be used.
func (free *freeSlots) update(server *server) {
	free.remove(server)
	count := int(server.freeSlots())
	if !server.usable() || count <= 0 {
		return
	}
	for len(free.buckets) <= count {
		free.buckets = append(free.buckets, nil)
	}
	free.position[server] = slotPosition{bucket: count, index: len(free.buckets[count])}
	free.buckets[count] = append(free.buckets[count], server)
}

func (free *freeSlots) remove(server *server) {
	position, found := free.position[server]
	if !found {
		return
	}
	bucket := free.buckets[position.bucket]
	last := len(bucket) - 1
	bucket[position.index] = bucket[last]
	free.position[bucket[position.index]] = position
	bucket[last] = nil
	free.buckets[position.bucket] = bucket[:last]
	delete(free.position, server)
}

// most returns the server with the most free slots, or nil.
func (free *freeSlots) most() *server {
	for count := len(free.buckets) - 1; count > 0; count-- {
		if bucket := free.buckets[count]; len(bucket) > 0 {
			return bucket[len(bucket)-1]
		}
	}
	return nil
}
