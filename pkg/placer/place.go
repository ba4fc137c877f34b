package placer

import (
	"container/heap"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

//go:generate enumer -type=Blocked -transform=kebab -trimprefix=Blocked -text

// Blocked is the reason why a batch can't start its next task.
type Blocked int

// The reasons for a batch to be blocked.
const (
	// BlockedNot means that the batch is not blocked.
	BlockedNot Blocked = iota
	// BlockedByQuota means that the next task would exceed the team's quota.
	BlockedByQuota
	// BlockedByHeadroom means that the free capacity is kept for urgent work.
	BlockedByHeadroom
	// BlockedByRoom means that no worker has enough free capacity for a task now.
	BlockedByRoom
	// BlockedForGood means that a task exceeds the total capacity of each usable worker.
	BlockedForGood
)

// round is the state of one call of Place.
type round struct {
	now       identifier.Moment
	decisions []Decision
	blocked   []*group
	// unplaceable holds needs that fitted on no worker in this round, so that the search
	// can be skipped for larger ones.
	unplaceable []identifier.Resources
}

// maxUnplaceable limits the length of round.unplaceable.
const maxUnplaceable = 8

// Place decides which tasks start and which are preempted at now, and records the starts.
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

// levels groups the batches with waiting tasks by effective urgency.
func (placer *Placer[P]) levels(now identifier.Moment) [urgencies][]*group {
	var levels [urgencies][]*group
	placer.groups.Each(func(_ GroupID, group *group) bool {
		if len(group.waiting) > 0 {
			level := group.effectiveUrgency(now, placer.Settings.Aging)
			levels[level] = append(levels[level], group)
		}
		return true
	})
	return levels
}

// placeLevel starts tasks one at a time, always for the team with the smallest dominant
// share, until each batch is empty or blocked or DecisionsPerCall is reached.
func (placer *Placer[P]) placeLevel(round *round, groups []*group) {
	queue := placer.newShareQueue(groups)
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

// placeOne starts the next task of a batch, or returns why the batch is blocked.
func (placer *Placer[P]) placeOne(round *round, group *group) Blocked {
	team := group.team
	if !team.quota.Allows(team.used, team.inFlight, group.Need) {
		return BlockedByQuota
	}
	if group.Urgency < UrgencyUrgent && !placer.leavesHeadroom(group) {
		return BlockedByHeadroom
	}
	position := placer.choosePosition(round, group)
	if position < 0 {
		return BlockedByRoom
	}
	task := group.waiting[0]
	group.waiting = group.waiting[1:]
	placer.cancelReservation(placer.ownReservation(group, position))
	if len(group.waiting) == 0 {
		placer.cancelReservations(group)
	}
	group.waitingSince = round.now
	placer.recordStart(round.now, group, task, position)
	round.decisions = append(round.decisions, Decision{
		Kind:   DecisionStart,
		Task:   task,
		Worker: placer.fleet.workers[position].worker.ID,
		Group:  group.ID,
	})
	return BlockedNot
}

// choosePosition returns the position for the next task of a batch, or -1. It prefers a
// reserved worker and otherwise asks the policy.
func (placer *Placer[P]) choosePosition(round *round, group *group) int {
	for _, reservation := range group.reservations {
		if group.Need.Fits(placer.fleet.Free(reservation.position)) {
			return reservation.position
		}
	}
	for _, need := range round.unplaceable {
		if need.Fits(group.Need) {
			return -1
		}
	}
	estimatedEnd := round.now.Add(group.RunTime)
	request := &Request{
		Need:        group.Need,
		TasksByRack: group.tasksByRack,
		Running:     group.running,
		Accept: func(position int) bool {
			reservation := placer.fleet.workers[position].reservation
			return reservation == nil || estimatedEnd <= reservation.availableAt
		},
		TasksOnWorker: func(position int) int { return placer.fleet.countTasks(group, position) },
	}
	position := placer.Policy.Choose(&placer.fleet, request, placer.random)
	if position < 0 && len(placer.reservations) == 0 && len(round.unplaceable) < maxUnplaceable {
		round.unplaceable = append(round.unplaceable, group.Need)
	}
	return position
}

// leavesHeadroom reports whether enough processors and memory stay free for urgent work
// after a start. Capacity that is reserved for other batches does not count as free.
func (placer *Placer[P]) leavesHeadroom(group *group) bool {
	free := placer.fleet.total.Sub(placer.fleet.used).Sub(group.Need)
	for _, reservation := range placer.reservations {
		if reservation.group != group {
			free = free.Sub(reservation.group.Need.Min(placer.fleet.Free(reservation.position)).Max(identifier.Resources{}))
		}
	}
	share := placer.Settings.HeadroomPermille
	return int64(free.MilliCPU)*permille >= int64(placer.fleet.total.MilliCPU)*share &&
		int64(free.Memory)*permille >= int64(placer.fleet.total.Memory)*share
}
