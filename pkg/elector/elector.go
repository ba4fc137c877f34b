// Package elector decides from a host's view of the others which host leads each
// cell of a failure domain. There is no vote: an epoch that backend servers
// check fences a lead that others have replaced, so that two hosts which hold
// themselves for the lead for a moment cannot both start work.
//
// The living host that announces the highest epoch leads. Where none does, the
// first living host in rendezvous order takes the cell with the next epoch. A
// host that comes back takes nothing back.
package elector

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// DefaultSettleTime is the usual value of Elector.SettleTime.
const DefaultSettleTime = 300 * time.Millisecond

// Elector is one host's view of who leads. Set the exported fields, then call
// Tick whenever NextDeadline falls due or an input arrives.
type Elector struct {
	Self          identifier.HostID
	FailureDomain identifier.FailureDomain
	// Cells is the number of cells of the own failure domain.
	Cells int
	// Others is how many other hosts of the own failure domain the settings name.
	// While none of them and no backend server is heard, a host that has just
	// started takes no cell.
	Others int
	// OvertakenTime is how long a lead that is overtaken waits for the one who overtook
	// it to show itself, before it takes the cell anew. Zero means SettleTime.
	OvertakenTime time.Duration
	// SettleTime is how long a host that starts listens before it takes a cell,
	// so that it doesn't duel with a living lead it has not heard of yet; and how
	// long a lead that is overtaken waits for the one who overtook it.
	SettleTime time.Duration
	// JoinedTime is how long a host that starts still listens once another host has told
	// it all that it knows, where that is sooner than SettleTime; zero means that it makes
	// no difference.
	JoinedTime time.Duration
	// NextEpoch returns the epoch under which this host takes a cell after another;
	// nil counts on by one. Hosts that lose sight of each other must not take the
	// same one: backend servers could not tell them apart.
	NextEpoch func(after identifier.Epoch) identifier.Epoch

	started   bool
	resigned  bool
	now       identifier.Moment
	settles   identifier.Moment
	isolation isolation
	outputs   []Output
	domains   *tabulator.Table[identifier.FailureDomain, domainEntity]
	cells     *tabulator.Table[cellKey, cellEntity]
}

// domainEntity holds the living hosts of a failure domain.
type domainEntity struct {
	living []identifier.HostID
}

type cellKey struct {
	domain identifier.FailureDomain
	cell   identifier.CellID
}

// cellEntity is what is known about one cell.
type cellEntity struct {
	// highest is the highest epoch ever seen, whoever announced it.
	highest identifier.Epoch
	// announced holds each host's newest announcement.
	announced []announcement
	// mine is the epoch with which this host leads; zero if it does not.
	mine identifier.Epoch
	// overtakenUntil is when a lead that a higher epoch has fenced takes the cell
	// anew, unless the one with the higher epoch has shown itself.
	overtakenUntil identifier.Moment
	// told is the lead that was last output.
	told announcement
}

type announcement struct {
	host  identifier.HostID
	epoch identifier.Epoch
}

// Tick takes the inputs and decides anew.
func (elector *Elector) Tick(now identifier.Moment, inputs []Input) []Output {
	elector.outputs = nil
	elector.now = now
	if !elector.started {
		elector.start()
	}
	for _, input := range inputs {
		elector.take(input)
	}
	if elector.settles.Due(now) {
		elector.settles = identifier.Never
	}
	elector.cells.Each(func(key cellKey, cell *cellEntity) bool {
		if key.domain == elector.FailureDomain {
			elector.decide(key.cell, cell)
		}
		elector.tell(key, cell)
		return true
	})
	return elector.outputs
}

// NextDeadline returns when Tick wants to run next without any input.
func (elector *Elector) NextDeadline() identifier.Moment {
	if !elector.started {
		return 0
	}
	next := elector.settles
	if elector.cutOff() && !elector.stepsDown() {
		next = min(next, elector.isolation.stepsDownAt)
	}
	elector.cells.Each(func(_ cellKey, cell *cellEntity) bool {
		next = min(next, cell.overtakenUntil)
		return true
	})
	return next
}

// Lead returns the living lead of a cell of any failure domain; the host is
// empty where none is known.
func (elector *Elector) Lead(domain identifier.FailureDomain, cell identifier.CellID) (identifier.HostID, identifier.Epoch) {
	if !elector.started {
		return "", 0
	}
	found := elector.cells.Get(cellKey{domain, cell})
	if found == nil {
		return "", 0
	}
	return found.told.host, found.told.epoch
}

func (elector *Elector) start() {
	elector.started = true
	elector.settles = elector.now.Add(elector.SettleTime)
	elector.isolation = isolation{alone: elector.Others > 0, stepsDownAt: elector.now.Add(stepDownWait)}
	elector.domains = tabulator.New[identifier.FailureDomain, domainEntity]()
	elector.cells = tabulator.New[cellKey, cellEntity]()
	elector.setLiving(elector.FailureDomain, nil)
	for cell := range elector.Cells {
		elector.cell(elector.FailureDomain, identifier.CellID(cell))
	}
}

// cell returns the entity of a cell, made when it is first named.
func (elector *Elector) cell(domain identifier.FailureDomain, cell identifier.CellID) *cellEntity {
	key := cellKey{domain, cell}
	found := elector.cells.Get(key)
	if found == nil {
		found = &cellEntity{overtakenUntil: identifier.Never}
		elector.cells.Put(key, found)
	}
	return found
}

func (elector *Elector) emit(output Output) {
	elector.outputs = append(elector.outputs, output)
}
