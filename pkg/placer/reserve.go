package placer

import (
	"cmp"
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// reservation keeps a worker for the next task of a batch. Without it a stream of small
// tasks would use all capacity as soon as it is free, so that a task that needs most of a
// worker would keep waiting while utilisation is high.
type reservation struct {
	group    *group
	position int
	// availableAt is when the capacity is expected to be free. Other batches may use the
	// worker for tasks that are expected to end by then. After that time they may not, so
	// the worker drains however wrong the declared run times were.
	availableAt identifier.Moment
}

// reservationSample is the number of positions sampled for a reservation.
const reservationSample = 16

// reserveBlocked makes one reservation for each blocked batch that has waited for
// ReserveAfter, the most urgent and then the longest waiting first.
func (placer *Placer[P]) reserveBlocked(round *round) {
	if len(placer.reservations) >= placer.reservationLimit() {
		return
	}
	eligible := slices.DeleteFunc(slices.Clone(round.blocked), func(group *group) bool {
		tooEarly := round.now.Sub(group.waitingSince) < placer.Settings.ReserveAfter
		return tooEarly || len(group.reservations) > 0 || group.blocked == BlockedByQuota
	})
	slices.SortStableFunc(eligible, func(one, other *group) int {
		urgency := cmp.Compare(other.effectiveUrgency(round.now, placer.Settings.Aging), one.effectiveUrgency(round.now, placer.Settings.Aging))
		return cmp.Or(urgency, cmp.Compare(one.waitingSince, other.waitingSince))
	})
	for _, group := range eligible {
		if len(placer.reservations) >= placer.reservationLimit() {
			return
		}
		placer.reserveEarliest(round.now, group)
	}
}

func (placer *Placer[P]) reservationLimit() int {
	return max(1, len(placer.fleet.positions)*placer.Settings.ReservedPermille/permille)
}

// reserveEarliest reserves that worker, of a sample of large enough ones, which is expected
// to have enough free capacity first.
func (placer *Placer[P]) reserveEarliest(now identifier.Moment, group *group) {
	best, bestAt := -1, identifier.Never
	for _, position := range placer.sampleByCapacity(group.Need) {
		at := placer.earliestFit(now, position, group.Need)
		if best < 0 || at < bestAt {
			best, bestAt = position, at
		}
	}
	if best < 0 {
		if placer.fleet.capacity.next(0, group.Need, nil) < 0 {
			group.blocked = BlockedForGood
		}
		return
	}
	placer.reserve(group, best, bestAt)
}

// sampleByCapacity returns a sample of unreserved workers whose total capacity fits need.
func (placer *Placer[P]) sampleByCapacity(need identifier.Resources) []int {
	count := placer.fleet.Len()
	if count == 0 {
		return nil
	}
	unreserved := func(position int) bool { return placer.fleet.workers[position].reservation == nil }
	var positions []int
	offset := placer.random.IntN(count)
	for step := range reservationSample {
		start := (offset + step*count/reservationSample) % count
		position := placer.fleet.capacity.next(start, need, unreserved)
		if position < 0 {
			position = placer.fleet.capacity.next(0, need, unreserved)
		}
		if position < 0 {
			return positions
		}
		if !slices.Contains(positions, position) {
			positions = append(positions, position)
		}
	}
	return positions
}

// earliestFit returns the time at which need is expected to fit on a worker, by the expected
// ends of its tasks.
func (placer *Placer[P]) earliestFit(now identifier.Moment, position int, need identifier.Resources) identifier.Moment {
	ending := slices.Clone(placer.fleet.workers[position].running)
	slices.SortStableFunc(ending, func(one, other *running) int {
		return cmp.Compare(one.expectedEnd, other.expectedEnd)
	})
	free := placer.fleet.Free(position)
	at := now
	for _, running := range ending {
		if need.Fits(free) {
			break
		}
		free = free.Add(running.charge)
		at = max(at, running.expectedEnd)
	}
	return at
}

func (placer *Placer[P]) reserve(group *group, position int, availableAt identifier.Moment) {
	created := &reservation{group: group, position: position, availableAt: availableAt}
	placer.fleet.workers[position].reservation = created
	placer.reservations = append(placer.reservations, created)
	group.reservations = append(group.reservations, created)
}

func (placer *Placer[P]) ownReservation(group *group, position int) *reservation {
	for _, reservation := range group.reservations {
		if reservation.position == position {
			return reservation
		}
	}
	return nil
}

func (placer *Placer[P]) cancelReservations(group *group) {
	for len(group.reservations) > 0 {
		placer.cancelReservation(group.reservations[0])
	}
}

func (placer *Placer[P]) cancelReservation(canceled *reservation) {
	if canceled == nil {
		return
	}
	matches := func(candidate *reservation) bool { return candidate == canceled }
	placer.fleet.workers[canceled.position].reservation = nil
	canceled.group.reservations = slices.DeleteFunc(canceled.group.reservations, matches)
	placer.reservations = slices.DeleteFunc(placer.reservations, matches)
}
