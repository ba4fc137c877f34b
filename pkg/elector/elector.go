// Package elector determines from a host's membership view which host leads each cell of a
// failure domain. There is no vote. Backend servers check epochs and so fence a lead that has
// been replaced: two hosts that both believe for a moment that they lead cannot both start
// work.
//
// The living host that announces the highest epoch leads. Where none does, the living host with
// the most processor capacity per cell acquires the cell with the next epoch; hosts of equal or
// unknown capacity are ordered by rendezvous hashing. A host that returns does not reclaim its
// former cells. A lead gives a cell to a host that has at least twice the capacity for it.
package elector

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// DefaultSettleTime is the usual value of Elector.SettleTime.
const DefaultSettleTime = 300 * time.Millisecond

// Elector holds one host's view of which hosts lead. Set the exported fields, then call Tick
// whenever NextDeadline is due or an input arrives.
type Elector struct {
	Self          identifier.HostID
	FailureDomain identifier.FailureDomain
	// Cells is the number of cells of the own failure domain, 0 until a LayoutKnown sets it.
	Cells int
	// OtherHosts is how many other hosts of the own failure domain the settings name. If it is
	// positive, a host that has just started acquires no cell until one of them or a backend
	// server has responded.
	OtherHosts int
	// OvertakenTime is how long a lead that learns of a higher epoch waits for the holder of
	// that epoch to announce itself before it acquires the cell again. Zero means SettleTime.
	OvertakenTime time.Duration
	// SettleTime is how long a host that starts waits before it acquires a cell, so that it
	// does not compete with a living lead that it does not know yet. It is also the default of
	// OvertakenTime.
	SettleTime time.Duration
	// JoinedTime is how long a host that starts still waits after another host has sent its
	// whole state, if that ends sooner than SettleTime. Zero disables this.
	JoinedTime time.Duration
	// NextEpoch returns the epoch with which this host acquires a cell after the given one;
	// nil increments by one. Hosts that cannot reach each other must not choose the same
	// epoch: backend servers could not distinguish them.
	NextEpoch func(after identifier.Epoch) identifier.Epoch

	started   bool
	resigned  bool
	now       identifier.Moment
	settlesAt identifier.Moment
	isolation isolation
	// leadsChangedAt is when the lead of a cell of the own failure domain last changed, and movedAt
	// when a cell last passed from one living host to another.
	leadsChangedAt identifier.Moment
	movedAt        identifier.Moment
	// movesAt is when this host has to move a cell. It is computed again if movesStale.
	movesAt    identifier.Moment
	movesStale bool
	unfit      []identifier.HostID
	outputs    []Output
	domains    *tabulator.Table[identifier.FailureDomain, domainEntity]
	cells      *tabulator.Table[cellKey, cellEntity]
}

// domainEntity holds the living hosts of a failure domain.
type domainEntity struct {
	living []identifier.HostID
	// processors are the processor capacities that living hosts state.
	processors map[identifier.HostID]identifier.MilliCPU
	// suspected are the living hosts that missed a probe.
	suspected []identifier.HostID
	// livingSince is when each process of a living host was first seen.
	livingSince map[identifier.HostID]identifier.Moment
}

type cellKey struct {
	domain identifier.FailureDomain
	cell   identifier.CellID
}

// cellEntity holds what is known about one cell.
type cellEntity struct {
	// highestEpoch is the highest epoch seen so far, from any source.
	highestEpoch identifier.Epoch
	// announced holds each host's latest announcement.
	announced []announcement
	// ownEpoch is the epoch with which this host leads; zero if it does not.
	ownEpoch identifier.Epoch
	// retakeAt is when a lead that a higher epoch has fenced acquires the cell again, unless
	// the holder of that epoch has announced itself by then.
	retakeAt identifier.Moment
	// reported is the lead that was last output.
	reported announcement
	// formerLead is the host that was last seen to lead.
	formerLead identifier.HostID
}

type announcement struct {
	host  identifier.HostID
	epoch identifier.Epoch
}

// Tick handles the inputs, re-evaluates every cell and returns the decisions.
func (elector *Elector) Tick(now identifier.Moment, inputs []Input) []Output {
	elector.outputs = nil
	elector.now = now
	if !elector.started {
		elector.start()
	}
	for _, input := range inputs {
		elector.handleInput(input)
	}
	elector.detectContactLoss()
	if elector.settlesAt.Due(now) {
		elector.settlesAt = identifier.Never
		elector.movesStale = true
	}
	elector.scheduleMove()
	elector.moveDueCell()
	elector.cells.Each(func(key cellKey, cell *cellEntity) bool {
		if elector.hasCell(key) {
			elector.decide(key.cell, cell)
		}
		elector.reportLead(key, cell)
		return true
	})
	elector.scheduleMove()
	return elector.outputs
}

// NextDeadline returns when Tick must run next even without inputs.
func (elector *Elector) NextDeadline() identifier.Moment {
	if !elector.started {
		return 0
	}
	next := identifier.Earlier(elector.settlesAt, elector.movesAt)
	if elector.isCutOff() && !elector.mustStepDown() {
		next = min(next, elector.isolation.stepsDownAt)
	}
	if elector.mayLoseContact() {
		next = min(next, elector.isolation.contactUntil)
	}
	elector.cells.Each(func(_ cellKey, cell *cellEntity) bool {
		next = min(next, cell.retakeAt)
		return true
	})
	return next
}

// Lead returns the living lead of a cell of any failure domain and its epoch. The host is
// empty if none is known.
func (elector *Elector) Lead(domain identifier.FailureDomain, cell identifier.CellID) (identifier.HostID, identifier.Epoch) {
	if !elector.started {
		return "", 0
	}
	found := elector.cells.Get(cellKey{domain, cell})
	if found == nil {
		return "", 0
	}
	return found.reported.host, found.reported.epoch
}

// EachLead calls visit for each cell of any failure domain that has a living lead.
func (elector *Elector) EachLead(visit func(lead LeadIs)) {
	if !elector.started {
		return
	}
	elector.cells.Each(func(key cellKey, cell *cellEntity) bool {
		if cell.reported.host != "" {
			visit(LeadIs{FailureDomain: key.domain, Cell: key.cell, Host: cell.reported.host, Epoch: cell.reported.epoch})
		}
		return true
	})
}

func (elector *Elector) start() {
	elector.started = true
	elector.movesAt = identifier.Never
	// A failure domain whose hosts start has had no move yet.
	elector.movedAt = elector.now.Add(-moveInterval)
	elector.settlesAt = elector.now.Add(elector.SettleTime)
	elector.isolation = isolation{alone: elector.OtherHosts > 0, stepsDownAt: elector.now.Add(stepDownWait)}
	elector.domains = tabulator.New[identifier.FailureDomain, domainEntity]()
	elector.cells = tabulator.New[cellKey, cellEntity]()
	elector.setLiving(elector.FailureDomain, nil, nil)
	elector.createCells()
}

func (elector *Elector) createCells() {
	for cell := range elector.Cells {
		elector.cell(elector.FailureDomain, identifier.CellID(cell))
	}
}

// hasCell reports whether a cell belongs to the own failure domain and to this host's layout of it.
// Hosts with another layout may announce cells beyond it.
func (elector *Elector) hasCell(key cellKey) bool {
	return key.domain == elector.FailureDomain && int(key.cell) < elector.Cells
}

// cell returns the entity of a cell and creates it on first use.
func (elector *Elector) cell(domain identifier.FailureDomain, cell identifier.CellID) *cellEntity {
	key := cellKey{domain, cell}
	found := elector.cells.Get(key)
	if found == nil {
		found = &cellEntity{retakeAt: identifier.Never}
		elector.cells.Put(key, found)
	}
	return found
}

func (elector *Elector) emit(output Output) {
	elector.outputs = append(elector.outputs, output)
}
