package placer

import "container/heap"

// shareScale is the value of a dominant share of 100%; shares are kept as integers.
const shareScale = 1_000_000

// shareQueue is a heap of teams by dominant share, the smallest first.
type shareQueue struct {
	entries []*shareEntry
}

// shareEntry is a team with those of its batches that may start tasks in this round.
type shareEntry struct {
	team   *team
	share  int64
	groups []*group
}

// newShareQueue groups the batches by team, keeping their order.
func (placer *Placer[P]) newShareQueue(groups []*group) *shareQueue {
	queue := &shareQueue{}
	for _, group := range groups {
		team := group.team
		if team.entry == nil {
			team.entry = &shareEntry{team: team, share: placer.share(team)}
			queue.entries = append(queue.entries, team.entry)
		}
		team.entry.groups = append(team.entry.groups, group)
	}
	for _, entry := range queue.entries {
		entry.team.entry = nil
	}
	heap.Init(queue)
	return queue
}

// share returns the team's dominant share, which is the largest of its shares of each
// resource, divided by its weight.
func (placer *Placer[P]) share(team *team) int64 {
	total := placer.fleet.total
	share := int64(0)
	if total.MilliCPU > 0 {
		share = max(share, int64(team.used.MilliCPU)*shareScale/int64(total.MilliCPU))
	}
	if total.Memory > 0 {
		share = max(share, int64(float64(team.used.Memory)/float64(total.Memory)*shareScale))
	}
	if total.Accelerators > 0 {
		share = max(share, int64(team.used.Accelerators)*shareScale/int64(total.Accelerators))
	}
	return share / max(team.quota.Weight, 1)
}

// Len implements heap.Interface.
func (queue *shareQueue) Len() int { return len(queue.entries) }

// Less implements heap.Interface.
func (queue *shareQueue) Less(first, second int) bool {
	one, other := queue.entries[first], queue.entries[second]
	if one.share != other.share {
		return one.share < other.share
	}
	return one.team.number < other.team.number
}

// Swap implements heap.Interface.
func (queue *shareQueue) Swap(first, second int) {
	queue.entries[first], queue.entries[second] = queue.entries[second], queue.entries[first]
}

// Push implements heap.Interface.
func (queue *shareQueue) Push(entry any) { queue.entries = append(queue.entries, entry.(*shareEntry)) }

// Pop implements heap.Interface.
func (queue *shareQueue) Pop() any {
	last := len(queue.entries) - 1
	entry := queue.entries[last]
	queue.entries = queue.entries[:last]
	return entry
}
