package elector

import (
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

const (
	// steadyTime is how long a host must live, and the leads be unchanged, before a cell moves to
	// that host. All hosts then know the same members and leads, and a host that starts has settled.
	steadyTime = 2 * time.Second
	// moveInterval is the least time between two moves in a failure domain. The jobs and runs of one
	// cell are adopted by its next lead before the next cell moves.
	moveInterval = 5 * time.Second
	// moveGain is how many times its present capacity a cell must gain by a move. With 2, the host
	// that gave a cell away never gets it back by a move while the capacities stay the same.
	moveGain = 2
)

// plannedMove is a cell that its lead gives to a host with more capacity for it.
type plannedMove struct {
	cell     identifier.CellID
	from, to averageRank
	// dueAt is when the cell moves, unless the hosts or leads change before.
	dueAt identifier.Moment
}

// ownCells lists the numbers of the cells of the own failure domain in ascending order.
func (elector *Elector) ownCells() []identifier.CellID {
	var ids []identifier.CellID
	elector.cells.Each(func(key cellKey, _ *cellEntity) bool {
		if elector.hasCell(key) {
			ids = append(ids, key.cell)
		}
		return true
	})
	slices.Sort(ids)
	return ids
}

// nextMove returns the move of a cell that this host has to make, and false if there is none. Hosts
// with equal views choose the same cell in the failure domain, so that one moves at a time: the cell
// whose lead has the least capacity for it. A host that states no capacity gives away and receives
// none by a move, as its capacity may be any.
func (elector *Elector) nextMove() (plannedMove, bool) {
	if elector.resigned || !elector.hasSettled() || elector.isCutOff() || !elector.leadsAnyCell() {
		return plannedMove{}, false
	}
	if len(elector.cellsWithoutLead()) > 0 {
		return plannedMove{}, false
	}
	counts := elector.countLeads()
	domain := elector.domains.Get(elector.FailureDomain)
	var next plannedMove
	for _, id := range elector.ownCells() {
		host := elector.leadOf(id)
		from := averageRank{host: host, processor: domain.processors[host], cells: counts[host]}
		to := elector.highestAverage(id, counts)
		required := averageRank{processor: moveGain * from.processor, cells: from.cells}
		if from.processor == 0 || to.host == host || to.compareAverage(required) < 0 {
			continue
		}
		if next.from.host == "" || from.compareAverage(next.from) < 0 {
			next = plannedMove{cell: id, from: from, to: to}
		}
	}
	cell := elector.cell(elector.FailureDomain, next.cell)
	if slices.Contains(domain.suspected, next.to.host) {
		return plannedMove{}, false
	}
	if next.from.host != elector.Self || cell.ownEpoch == 0 || cell.highestEpoch != cell.ownEpoch {
		return plannedMove{}, false
	}
	next.dueAt = max(
		domain.livingSince[next.to.host].Add(steadyTime),
		elector.leadsChangedAt.Add(steadyTime),
		elector.movedAt.Add(moveInterval),
	)
	return next, true
}

// moveDueCell gives a cell to a host with more capacity if the move is due.
func (elector *Elector) moveDueCell() {
	if !elector.movesAt.Due(elector.now) {
		return
	}
	elector.movesStale = true
	next, found := elector.nextMove()
	if !found || !next.dueAt.Due(elector.now) {
		return
	}
	elector.movedAt = elector.now
	elector.emit(MovePlanned{
		Cell: next.cell,
		From: next.from.host, FromProcessor: next.from.processor, FromCells: next.from.cells,
		To: next.to.host, ToProcessor: next.to.processor, ToCells: next.to.cells,
	})
	elector.giveUp(next.cell, elector.cell(elector.FailureDomain, next.cell), next.to.host)
}

// scheduleMove stores when the next move of this host is due.
func (elector *Elector) scheduleMove() {
	if !elector.movesStale {
		return
	}
	elector.movesStale = false
	elector.movesAt = identifier.Never
	if next, found := elector.nextMove(); found {
		elector.movesAt = next.dueAt
	}
}

// recordLeadChange records that the lead of a cell of the own failure domain has changed. A cell
// that passes from a living host to another one has moved.
func (elector *Elector) recordLeadChange(cell *cellEntity, host identifier.HostID) {
	elector.movesStale = true
	elector.leadsChangedAt = elector.now
	if host == "" {
		return
	}
	if cell.formerLead != host && elector.isLiving(elector.FailureDomain, cell.formerLead) {
		elector.movedAt = elector.now
	}
	cell.formerLead = host
}
