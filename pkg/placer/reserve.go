package placer

import (
	"cmp"
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// reservation keeps a worker for the next task of a batch. Without it a stream of
// narrow tasks would take every bit of room before a wide task could gather
// enough, which would show as a wide batch that waits while utilisation is high.
type reservation struct {
	group    *group
	position int
	// at is when the room is expected to be there. Others may use the worker for
	// tasks that end before. Once at has passed nobody else may, so the worker
	// drains however far off the declared run times were.
	at identifier.Moment
}

// reservationSample is the number of workers looked at for a reservation.
const reservationSample = 16

// reserveBlocked gives reservations to blocked batches, the most urgent and the
// longest waiting first, one each.
func (placer *Placer[P]) reserveBlocked(round *round) {
	if len(placer.reservations) >= placer.reservationLimit() {
		return
	}
	due := slices.DeleteFunc(slices.Clone(round.blocked), func(group *group) bool {
		waits := round.now.Sub(group.since) < placer.Settings.ReserveAfter
		return waits || len(group.held) > 0 || group.blocked == BlockedByQuota
	})
	slices.SortStableFunc(due, func(one, other *group) int {
		urgency := cmp.Compare(other.effective(round.now, placer.Settings.Aging), one.effective(round.now, placer.Settings.Aging))
		return cmp.Or(urgency, cmp.Compare(one.since, other.since))
	})
	for _, group := range due {
		if len(placer.reservations) >= placer.reservationLimit() {
			return
		}
		placer.reserveEarliest(round.now, group)
	}
}

func (placer *Placer[P]) reservationLimit() int {
	return max(1, len(placer.fleet.positions)*placer.Settings.ReservedPermille/permille)
}

// reserveEarliest reserves, of a sample of workers that are large enough, the one
// that is expected to have room first.
func (placer *Placer[P]) reserveEarliest(now identifier.Moment, group *group) {
	best, bestAt := -1, identifier.Never
	for _, position := range placer.sampleByCapacity(group.Need) {
		at := placer.roomAt(now, position, group.Need)
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

// sampleByCapacity returns unreserved workers that could run need when empty.
func (placer *Placer[P]) sampleByCapacity(need identifier.Resources) []int {
	count := placer.fleet.Len()
	if count == 0 {
		return nil
	}
	unreserved := func(position int) bool { return placer.fleet.seats[position].held == nil }
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

// roomAt returns the moment at which a worker is expected to have room for need.
func (placer *Placer[P]) roomAt(now identifier.Moment, position int, need identifier.Resources) identifier.Moment {
	ending := slices.Clone(placer.fleet.seats[position].running)
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

func (placer *Placer[P]) reserve(group *group, position int, at identifier.Moment) {
	held := &reservation{group: group, position: position, at: at}
	placer.fleet.seats[position].held = held
	placer.reservations = append(placer.reservations, held)
	group.held = append(group.held, held)
}

func (placer *Placer[P]) ownReservation(group *group, position int) *reservation {
	for _, held := range group.held {
		if held.position == position {
			return held
		}
	}
	return nil
}

func (placer *Placer[P]) cancelReservations(group *group) {
	for len(group.held) > 0 {
		placer.cancelReservation(group.held[0])
	}
}

func (placer *Placer[P]) cancelReservation(held *reservation) {
	if held == nil {
		return
	}
	other := func(kept *reservation) bool { return kept == held }
	placer.fleet.seats[held.position].held = nil
	held.group.held = slices.DeleteFunc(held.group.held, other)
	placer.reservations = slices.DeleteFunc(placer.reservations, other)
}
