package elector

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// preferredLead returns the living host of the own failure domain that comes first in
// rendezvous order for a cell. Each cell has its own order, so that the cells of a lost host
// spread over the remaining hosts.
func (elector *Elector) preferredLead(cell identifier.CellID) identifier.HostID {
	var best identifier.HostID
	var bestWeight uint64
	for _, host := range elector.domains.Get(elector.FailureDomain).living {
		if slices.Contains(elector.unfit, host) {
			continue
		}
		weight := rendezvousWeight(cell, host)
		if best == "" || weight > bestWeight || (weight == bestWeight && host < best) {
			best, bestWeight = host, weight
		}
	}
	return best
}

func rendezvousWeight(cell identifier.CellID, host identifier.HostID) uint64 {
	buffer := binary.LittleEndian.AppendUint64(nil, uint64(cell))
	return xxhash.Sum64(append(buffer, host...))
}
