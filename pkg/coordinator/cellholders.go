package coordinator

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/ranker"
)

// chooseHolders returns the keepers that store the state of a cell, at most count of them. The first
// is one of the cell's own failure domain, which is within reach while that domain is cut off, and
// the others are in different failure domains as far as there are enough. Rendezvous hashing gives
// each keeper its share of the cells by its capacity, and the loss of a keeper moves no other cell.
func chooseHolders(cell messenger.CellRef, keepers []gossiper.Member, count int) []identifier.HostID {
	ranked := rankMembers(keepers, func(host identifier.HostID) uint64 { return holderWeight(cell, host) })
	var holders []identifier.HostID
	used := make(map[identifier.FailureDomain]bool)
	choose := func(eligible func(keeper gossiper.Member) bool) {
		for _, keeper := range ranked {
			if len(holders) < count && !slices.Contains(holders, keeper.Host) && eligible(keeper) {
				holders = append(holders, keeper.Host)
				used[keeper.FailureDomain] = true
			}
		}
	}
	choose(func(keeper gossiper.Member) bool {
		return keeper.FailureDomain == cell.FailureDomain && !used[keeper.FailureDomain]
	})
	choose(func(keeper gossiper.Member) bool { return !used[keeper.FailureDomain] })
	choose(func(gossiper.Member) bool { return true })
	return holders
}

// rankMembers orders members for a duty by their capacity and their hash for it.
func rankMembers(members []gossiper.Member, hash func(host identifier.HostID) uint64) []gossiper.Member {
	candidates := make([]ranker.Candidate, len(members))
	byHost := make(map[identifier.HostID]gossiper.Member, len(members))
	for index, member := range members {
		candidates[index] = ranker.Candidate{
			Host: member.Host, Hash: hash(member.Host), Capacity: member.Capacity.OrUnknown().MilliCPU,
		}
		byHost[member.Host] = member
	}
	ranker.Rank(candidates)
	ranked := make([]gossiper.Member, len(members))
	for index, candidate := range candidates {
		ranked[index] = byHost[candidate.Host]
	}
	return ranked
}

func holderWeight(cell messenger.CellRef, host identifier.HostID) uint64 {
	buffer := binary.LittleEndian.AppendUint64([]byte(cell.FailureDomain), uint64(cell.Cell))
	return xxhash.Sum64(append(buffer, host...))
}
