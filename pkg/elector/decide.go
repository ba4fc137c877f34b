package elector

import (
	"cmp"
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

func (elector *Elector) take(input Input) {
	switch input := input.(type) {
	case HostsChanged:
		elector.setLiving(input.FailureDomain, input.Living)
		if input.FailureDomain == elector.FailureDomain {
			elector.noteHosts(elector.others(), input.Missing)
		}
	case ServerHeard:
		elector.noteServer()
	case HostRestarted:
		elector.dropAnnouncements(input.FailureDomain, input.Host)
	case LeadSeen:
		elector.takeAnnouncement(input)
	case LeadWithdrawn:
		if input.FailureDomain != elector.FailureDomain || input.Host != elector.Self {
			elector.cell(input.FailureDomain, input.Cell).withdraw(input.Host)
		}
	case EpochSeen:
		cell := elector.cell(elector.FailureDomain, input.Cell)
		cell.highest = max(cell.highest, input.Epoch)
	case Joined:
		elector.noteJoined()
	case StoodStill:
		elector.startOver()
	case Resign:
		elector.resign()
	}
}

// setLiving keeps a copy; this host is alive as far as it is concerned.
func (elector *Elector) setLiving(domain identifier.FailureDomain, living []identifier.HostID) {
	living = slices.Clone(living)
	if domain == elector.FailureDomain {
		living = slices.DeleteFunc(living, func(host identifier.HostID) bool { return host == elector.Self })
		if !elector.resigned {
			living = append(living, elector.Self)
		}
	}
	elector.domains.Put(domain, &domainEntity{living: living})
}

// others counts the living hosts of the own failure domain but this one.
func (elector *Elector) others() int {
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

// takeAnnouncement notes the newest epoch that a host announces. This host's own
// comes back with the membership and says nothing new, unless it stems from an
// earlier process; then only its epoch counts.
func (elector *Elector) takeAnnouncement(seen LeadSeen) {
	cell := elector.cell(seen.FailureDomain, seen.Cell)
	cell.highest = max(cell.highest, seen.Epoch)
	if seen.FailureDomain == elector.FailureDomain && seen.Host == elector.Self {
		return
	}
	cell.announce(announcement{seen.Host, seen.Epoch})
}

func (cell *cellEntity) announce(told announcement) {
	cell.highest = max(cell.highest, told.epoch)
	for position, known := range cell.announced {
		if known.host == told.host {
			cell.announced[position].epoch = max(known.epoch, told.epoch)
			return
		}
	}
	cell.announced = append(cell.announced, told)
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

// startOver gives up the cells that this host leads and listens before it takes any.
func (elector *Elector) startOver() {
	elector.settles = elector.now.Add(elector.SettleTime)
	elector.cells.Each(func(key cellKey, cell *cellEntity) bool {
		if cell.mine != 0 {
			elector.giveUp(key.cell, cell, "")
		}
		return true
	})
}

// giveUp ends this host's lead of a cell; next takes it over, if somebody does.
func (elector *Elector) giveUp(id identifier.CellID, cell *cellEntity, next identifier.HostID) {
	elector.emit(LeadLost{Cell: id, Epoch: cell.mine, To: next})
	cell.mine = 0
	cell.overtakenUntil = identifier.Never
	cell.withdraw(elector.Self)
}

func (elector *Elector) resign() {
	elector.resigned = true
	elector.setLiving(elector.FailureDomain, elector.domains.Get(elector.FailureDomain).living)
}

// lead returns the living host with the highest epoch; among equal epochs the
// smaller host id, so that all hosts choose the same.
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

// decide brings this host's part in one cell of its failure domain up to date.
func (elector *Elector) decide(id identifier.CellID, cell *cellEntity) {
	lead := elector.lead(elector.FailureDomain, cell)
	if cell.mine != 0 {
		elector.defend(id, cell, lead)
		return
	}
	if lead.host != "" || elector.resigned || !elector.settled() || elector.cutOff() {
		return
	}
	if elector.first(id) == elector.Self {
		elector.takeLead(id, cell)
	}
}

func (elector *Elector) settled() bool { return elector.settles == identifier.Never }

// defend keeps or gives up a cell that this host leads.
func (elector *Elector) defend(id identifier.CellID, cell *cellEntity, lead announcement) {
	switch {
	case elector.stepsDown():
		elector.giveUp(id, cell, "")
	case lead.host != elector.Self:
		next := lead.host
		if next == "" {
			next = elector.first(id)
		}
		elector.giveUp(id, cell, next)
	case elector.dueling(cell):
		// Backend servers can't tell two leads of one epoch apart. The one that
		// stays takes a higher epoch, so that the other's starts are refused.
		elector.takeLead(id, cell)
	case cell.highest == cell.mine:
		cell.overtakenUntil = identifier.Never
	case cell.overtakenUntil == identifier.Never:
		// Someone leads or led with a higher epoch, and backend servers refuse
		// this host's starts. Its announcement is mostly on the way.
		cell.overtakenUntil = elector.now.Add(cmp.Or(elector.OvertakenTime, elector.SettleTime))
	case cell.overtakenUntil.Due(elector.now):
		elector.takeLead(id, cell)
	}
}

// dueling tells whether another living host announces this host's own epoch.
func (elector *Elector) dueling(cell *cellEntity) bool {
	return slices.ContainsFunc(cell.announced, func(known announcement) bool {
		return known.host != elector.Self && known.epoch == cell.mine &&
			elector.isLiving(elector.FailureDomain, known.host)
	})
}

func (elector *Elector) takeLead(id identifier.CellID, cell *cellEntity) {
	cell.mine = elector.nextEpoch(cell.highest)
	cell.overtakenUntil = identifier.Never
	cell.announce(announcement{elector.Self, cell.mine})
	elector.emit(LeadTaken{Cell: id, Epoch: cell.mine})
}

func (elector *Elector) nextEpoch(after identifier.Epoch) identifier.Epoch {
	if elector.NextEpoch == nil {
		return after + 1
	}
	return elector.NextEpoch(after)
}

// tell outputs the lead of a cell when it differs from the one told before.
func (elector *Elector) tell(key cellKey, cell *cellEntity) {
	lead := elector.lead(key.domain, cell)
	if lead == cell.told {
		return
	}
	cell.told = lead
	elector.emit(LeadIs{FailureDomain: key.domain, Cell: key.cell, Host: lead.host, Epoch: lead.epoch})
}
