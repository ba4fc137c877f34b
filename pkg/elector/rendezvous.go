package elector

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// averageRank is the place of a host among those that may lead one more cell.
type averageRank struct {
	host      identifier.HostID
	processor identifier.MilliCPU
	// cells counts the cells that the host would lead.
	cells int
}

// compareAverage compares the processor capacities per cell, without rounding.
func (rank averageRank) compareAverage(other averageRank) int {
	own, others := int64(rank.processor)*int64(other.cells), int64(other.processor)*int64(rank.cells)
	switch {
	case own > others:
		return 1
	case own < others:
		return -1
	default:
		return 0
	}
}

// preferredLead returns the living host that takes a cell without a lead, by the method of highest
// averages: the host with the most processor capacity per cell, this cell included. Cells without a
// lead are assigned in the order of their numbers, so that each host counts those before. Equal
// averages, and so hosts that state no capacity, are ordered by rendezvous hashing: the cells of a
// lost host spread over the remaining ones.
func (elector *Elector) preferredLead(cell identifier.CellID) identifier.HostID {
	counts := elector.countLeads()
	for _, leaderless := range elector.cellsWithoutLead() {
		host := elector.highestAverage(leaderless, counts).host
		if leaderless == cell {
			return host
		}
		counts[host]++
	}
	return elector.highestAverage(cell, counts).host
}

// highestAverage returns the living host of the own failure domain that comes first for one more
// cell, given how many each host leads. The host is empty if none lives.
func (elector *Elector) highestAverage(cell identifier.CellID, counts map[identifier.HostID]int) averageRank {
	domain := elector.domains.Get(elector.FailureDomain)
	var best averageRank
	var bestWeight uint64
	for _, host := range domain.living {
		if slices.Contains(elector.unfit, host) {
			continue
		}
		rank := averageRank{host: host, processor: domain.processors[host], cells: counts[host] + 1}
		order := 1
		if best.host != "" {
			order = rank.compareAverage(best)
		}
		if order < 0 {
			continue
		}
		weight := rendezvousWeight(cell, host)
		if order > 0 || weight > bestWeight || (weight == bestWeight && host < best.host) {
			best, bestWeight = rank, weight
		}
	}
	return best
}

// countLeads counts the cells of the own failure domain that each living host leads.
func (elector *Elector) countLeads() map[identifier.HostID]int {
	counts := make(map[identifier.HostID]int)
	for _, id := range elector.ownCells() {
		if lead := elector.leadOf(id); lead != "" {
			counts[lead]++
		}
	}
	return counts
}

// cellsWithoutLead lists the cells of the own failure domain that no living host leads.
func (elector *Elector) cellsWithoutLead() []identifier.CellID {
	var leaderless []identifier.CellID
	for _, id := range elector.ownCells() {
		if elector.leadOf(id) == "" {
			leaderless = append(leaderless, id)
		}
	}
	return leaderless
}

// leadOf returns the living host that leads a cell of the own failure domain, or none.
func (elector *Elector) leadOf(id identifier.CellID) identifier.HostID {
	return elector.lead(elector.FailureDomain, elector.cell(elector.FailureDomain, id)).host
}

func rendezvousWeight(cell identifier.CellID, host identifier.HostID) uint64 {
	buffer := binary.LittleEndian.AppendUint64(nil, uint64(cell))
	return xxhash.Sum64(append(buffer, host...))
}
