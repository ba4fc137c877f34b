package placer

import (
	"container/heap"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

//go:generate enumer -type=Blocked -transform=kebab -trimprefix=Blocked -text

// Blocked says what holds a batch up.
type Blocked int

// What may hold a batch up.
const (
	// BlockedNot means that nothing does.
	BlockedNot Blocked = iota
	// BlockedByQuota means that the team has as much as it may have.
	BlockedByQuota
	// BlockedByHeadroom means that what is free is kept for urgent work.
	BlockedByHeadroom
	// BlockedByRoom means that no worker has room for one task now.
	BlockedByRoom
	// BlockedForGood means that no present worker could ever run one task.
	BlockedForGood
)

// round is the state of one call of Place.
type round struct {
	now       identifier.Moment
	decisions []Decision
	blocked   []*group
	// failed holds needs that fitted nowhere in this round; a larger one needs no
	// search.
	failed []identifier.Resources
}

// rememberedFailures bounds round.failed.
const rememberedFailures = 8

// Place starts and preempts what is due at now.
func (placer *Placer[P]) Place(now identifier.Moment) []Decision {
	placer.prepare()
	round := &round{now: now}
	levels := placer.levels(now)
	for level := urgencies - 1; level >= 0; level-- {
		placer.placeLevel(round, levels[level])
	}
	placer.reserveBlocked(round)
	placer.preemptForBlocked(round)
	return round.decisions
}

// levels sorts the batches that wait by effective urgency.
func (placer *Placer[P]) levels(now identifier.Moment) [urgencies][]*group {
	var levels [urgencies][]*group
	placer.groups.Each(func(_ GroupID, group *group) bool {
		if len(group.waiting) > 0 {
			level := group.effective(now, placer.Settings.Aging)
			levels[level] = append(levels[level], group)
		}
		return true
	})
	return levels
}

// placeLevel serves the teams in the order of their dominant shares, one task at
// a time, until every batch is empty or blocked.
func (placer *Placer[P]) placeLevel(round *round, groups []*group) {
	queue := placer.shareQueue(groups)
	for queue.Len() > 0 && len(round.decisions) < placer.Settings.DecisionsPerCall {
		entry := queue.entries[0]
		group := entry.groups[0]
		group.blocked = placer.placeOne(round, group)
		if group.blocked != BlockedNot {
			round.blocked = append(round.blocked, group)
		}
		if group.blocked != BlockedNot || len(group.waiting) == 0 {
			entry.groups = entry.groups[1:]
		}
		if len(entry.groups) == 0 {
			heap.Pop(queue)
			continue
		}
		entry.share = placer.share(entry.team)
		heap.Fix(queue, 0)
	}
}

// placeOne starts the next task of a batch, or says what holds it up.
func (placer *Placer[P]) placeOne(round *round, group *group) Blocked {
	team := group.team
	if !team.quota.Allows(team.used, team.inFlight, group.Need) {
		return BlockedByQuota
	}
	if group.Urgency < UrgencyUrgent && !placer.leavesHeadroom(group) {
		return BlockedByHeadroom
	}
	position := placer.choose(round, group)
	if position < 0 {
		return BlockedByRoom
	}
	task := group.waiting[0]
	group.waiting = group.waiting[1:]
	placer.cancelReservation(placer.ownReservation(group, position))
	if len(group.waiting) == 0 {
		placer.cancelReservations(group)
	}
	group.since = round.now
	placer.begin(round.now, group, task, position)
	round.decisions = append(round.decisions, Decision{
		Kind:   DecisionStart,
		Task:   task,
		Worker: placer.fleet.seats[position].worker.ID,
		Group:  group.ID,
	})
	return BlockedNot
}

// choose returns a position with room: a reserved one first, else the policy's.
func (placer *Placer[P]) choose(round *round, group *group) int {
	for _, held := range group.held {
		if group.Need.Fits(placer.fleet.Free(held.position)) {
			return held.position
		}
	}
	for _, need := range round.failed {
		if need.Fits(group.Need) {
			return -1
		}
	}
	ends := round.now.Add(group.RunTime)
	request := &Request{
		Need:    group.Need,
		InRack:  group.inRack,
		Running: group.running,
		Accept: func(position int) bool {
			held := placer.fleet.seats[position].held
			return held == nil || ends <= held.at
		},
		OnWorker: func(position int) int { return placer.fleet.countOf(group, position) },
	}
	position := placer.Policy.Choose(&placer.fleet, request, placer.random)
	if position < 0 && len(placer.reservations) == 0 && len(round.failed) < rememberedFailures {
		round.failed = append(round.failed, group.Need)
	}
	return position
}

// leavesHeadroom tells whether enough processors and memory stay free for urgent
// work, what is set aside for other batches' reservations not counted.
func (placer *Placer[P]) leavesHeadroom(group *group) bool {
	free := placer.fleet.total.Sub(placer.fleet.used).Sub(group.Need)
	for _, held := range placer.reservations {
		if held.group != group {
			free = free.Sub(held.group.Need.Min(placer.fleet.Free(held.position)).Max(identifier.Resources{}))
		}
	}
	share := placer.Settings.HeadroomPermille
	return int64(free.MilliCPU)*permille >= int64(placer.fleet.total.MilliCPU)*share &&
		int64(free.Memory)*permille >= int64(placer.fleet.total.Memory)*share
}
