package elector

import (
	"cmp"
	"maps"
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

func (elector *Elector) handleInput(input Input) {
	switch input := input.(type) {
	case ServerResponded:
		elector.recordServerResponse()
		return
	case HostResponded:
		elector.recordResponse()
		return
	case HostsChanged:
		elector.setLiving(input.FailureDomain, input.Living, input.Processors)
		elector.domains.Get(input.FailureDomain).suspected = slices.Clone(input.Suspected)
		if input.FailureDomain == elector.FailureDomain {
			elector.recordHosts(elector.countOthers(), input.MissingHosts)
		}
	case HostRestarted:
		elector.dropAnnouncements(input.FailureDomain, input.Host)
		elector.restartLiving(input.FailureDomain, input.Host)
	case LeadSeen:
		elector.handleAnnouncement(input)
	case LeadWithdrawn:
		if input.FailureDomain != elector.FailureDomain || input.Host != elector.Self {
			elector.cell(input.FailureDomain, input.Cell).withdraw(input.Host)
		}
	case EpochSeen:
		cell := elector.cell(elector.FailureDomain, input.Cell)
		cell.highestEpoch = max(cell.highestEpoch, input.Epoch)
	case Joined:
		elector.handleJoined()
	case ProcessStalled:
		elector.handleStall()
	case LayoutKnown:
		elector.Cells = input.Cells
		elector.createCells()
	case UnfitChanged:
		elector.unfit = slices.Clone(input.Hosts)
	case Resign:
		elector.resign()
	}
	elector.movesStale = true
}

// setLiving stores a copy of the living hosts and their capacities. This host counts itself as
// living until it resigns.
func (elector *Elector) setLiving(
	domain identifier.FailureDomain, living []identifier.HostID, processors map[identifier.HostID]identifier.MilliCPU,
) {
	living = slices.Clone(living)
	if domain == elector.FailureDomain {
		living = slices.DeleteFunc(living, func(host identifier.HostID) bool { return host == elector.Self })
		if !elector.resigned {
			living = append(living, elector.Self)
		}
	}
	entity := &domainEntity{living: living, processors: maps.Clone(processors)}
	entity.livingSince = make(map[identifier.HostID]identifier.Moment, len(living))
	known := elector.domains.Get(domain)
	for _, host := range living {
		entity.livingSince[host] = elector.now
		if known == nil {
			continue
		}
		if since, lived := known.livingSince[host]; lived {
			entity.livingSince[host] = since
		}
	}
	elector.domains.Put(domain, entity)
}

// restartLiving counts the life of a host that runs a new process from now.
func (elector *Elector) restartLiving(domain identifier.FailureDomain, host identifier.HostID) {
	if found := elector.domains.Get(domain); found != nil {
		delete(found.livingSince, host)
	}
}

// countOthers counts the living hosts of the own failure domain, this one excluded.
func (elector *Elector) countOthers() int {
	count := 0
	for _, host := range elector.domains.Get(elector.FailureDomain).living {
		if host != elector.Self {
			count++
		}
	}
	return count
}

func (elector *Elector) isLiving(domain identifier.FailureDomain, host identifier.HostID) bool {
	found := elector.domains.Get(domain)
	return found != nil && slices.Contains(found.living, host)
}

// handleAnnouncement records the latest epoch that a host announces. This host's own
// announcement comes back through the membership and adds nothing, unless it was made by an
// earlier process; then only its epoch counts.
func (elector *Elector) handleAnnouncement(seen LeadSeen) {
	cell := elector.cell(seen.FailureDomain, seen.Cell)
	cell.highestEpoch = max(cell.highestEpoch, seen.Epoch)
	if seen.FailureDomain == elector.FailureDomain && seen.Host == elector.Self {
		return
	}
	cell.announce(announcement{seen.Host, seen.Epoch})
}

func (cell *cellEntity) announce(latest announcement) {
	cell.highestEpoch = max(cell.highestEpoch, latest.epoch)
	for position, known := range cell.announced {
		if known.host == latest.host {
			cell.announced[position].epoch = max(known.epoch, latest.epoch)
			return
		}
	}
	cell.announced = append(cell.announced, latest)
}

func (cell *cellEntity) withdraw(host identifier.HostID) {
	cell.announced = slices.DeleteFunc(cell.announced, func(known announcement) bool {
		return known.host == host
	})
}

func (elector *Elector) dropAnnouncements(domain identifier.FailureDomain, host identifier.HostID) {
	if domain == elector.FailureDomain && host == elector.Self {
		return
	}
	elector.cells.Each(func(key cellKey, cell *cellEntity) bool {
		if key.domain == domain {
			cell.withdraw(host)
		}
		return true
	})
}

// handleStall gives up the cells that this host leads and waits for the settle time before it
// acquires any.
func (elector *Elector) handleStall() {
	elector.settlesAt = elector.now.Add(elector.SettleTime)
	elector.cells.Each(func(key cellKey, cell *cellEntity) bool {
		if cell.ownEpoch != 0 {
			elector.giveUp(key.cell, cell, "")
		}
		return true
	})
}

// giveUp ends this host's lead of a cell. next is the host that takes over, if any.
func (elector *Elector) giveUp(id identifier.CellID, cell *cellEntity, next identifier.HostID) {
	elector.emit(LeadLost{Cell: id, Epoch: cell.ownEpoch, To: next})
	cell.ownEpoch = 0
	cell.retakeAt = identifier.Never
	cell.withdraw(elector.Self)
}

func (elector *Elector) resign() {
	elector.resigned = true
	own := elector.domains.Get(elector.FailureDomain)
	elector.setLiving(elector.FailureDomain, own.living, own.processors)
}

// lead returns the living host with the highest epoch. Among equal epochs the smaller host id
// wins, so that all hosts choose the same one.
func (elector *Elector) lead(domain identifier.FailureDomain, cell *cellEntity) announcement {
	var best announcement
	for _, known := range cell.announced {
		if !elector.isLiving(domain, known.host) {
			continue
		}
		higher := known.epoch > best.epoch
		if higher || (known.epoch == best.epoch && known.host < best.host) {
			best = known
		}
	}
	return best
}

// decide re-evaluates whether this host leads a cell of its failure domain.
func (elector *Elector) decide(id identifier.CellID, cell *cellEntity) {
	lead := elector.lead(elector.FailureDomain, cell)
	if cell.ownEpoch != 0 {
		elector.reviewOwnLead(id, cell, lead)
		return
	}
	if lead.host != "" || elector.resigned || !elector.hasSettled() || elector.isCutOff() {
		return
	}
	if elector.preferredLead(id) == elector.Self {
		elector.acquireLead(id, cell)
	}
}

func (elector *Elector) hasSettled() bool { return elector.settlesAt == identifier.Never }

// reviewOwnLead keeps, renews or gives up a cell that this host leads.
func (elector *Elector) reviewOwnLead(id identifier.CellID, cell *cellEntity, lead announcement) {
	switch {
	case elector.mustStepDown():
		elector.giveUp(id, cell, "")
	case slices.Contains(elector.unfit, elector.Self):
		elector.giveUp(id, cell, elector.preferredLead(id))
	case lead.host != elector.Self:
		next := lead.host
		if next == "" {
			next = elector.preferredLead(id)
		}
		elector.giveUp(id, cell, next)
	case elector.hasEpochConflict(cell):
		// Backend servers cannot distinguish two leads with one epoch. The lead that stays
		// acquires a higher epoch, so that the other's starts are refused.
		elector.acquireLead(id, cell)
	case cell.highestEpoch == cell.ownEpoch:
		cell.retakeAt = identifier.Never
	case cell.retakeAt == identifier.Never:
		// Another host leads or led with a higher epoch, and backend servers refuse this
		// host's starts. Its announcement is usually on its way.
		cell.retakeAt = elector.now.Add(cmp.Or(elector.OvertakenTime, elector.SettleTime))
	case cell.retakeAt.Due(elector.now):
		elector.acquireLead(id, cell)
	}
}

// hasEpochConflict reports whether another living host announces this host's own epoch.
func (elector *Elector) hasEpochConflict(cell *cellEntity) bool {
	return slices.ContainsFunc(cell.announced, func(known announcement) bool {
		return known.host != elector.Self && known.epoch == cell.ownEpoch &&
			elector.isLiving(elector.FailureDomain, known.host)
	})
}

func (elector *Elector) acquireLead(id identifier.CellID, cell *cellEntity) {
	if !elector.leadsAnyCell() {
		elector.extendContact()
	}
	cell.ownEpoch = elector.nextEpoch(cell.highestEpoch)
	cell.retakeAt = identifier.Never
	cell.announce(announcement{elector.Self, cell.ownEpoch})
	elector.emit(LeadTaken{Cell: id, Epoch: cell.ownEpoch})
}

func (elector *Elector) nextEpoch(after identifier.Epoch) identifier.Epoch {
	if elector.NextEpoch == nil {
		return after + 1
	}
	return elector.NextEpoch(after)
}

// reportLead outputs the lead of a cell when it differs from the one last output.
func (elector *Elector) reportLead(key cellKey, cell *cellEntity) {
	lead := elector.lead(key.domain, cell)
	if lead == cell.reported {
		return
	}
	if key.domain == elector.FailureDomain && lead.host != cell.reported.host {
		elector.recordLeadChange(cell, lead.host)
	}
	cell.reported = lead
	elector.emit(LeadIs{FailureDomain: key.domain, Cell: key.cell, Host: lead.host, Epoch: lead.epoch})
}
