package coordinator

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// chooseHolders returns the keepers that store the state of a cell, at most count of them. The first
// is one of the cell's own failure domain, which is within reach while that domain is cut off, and
// the others are in different failure domains as far as there are enough. Rendezvous hashing gives
// each keeper its share of the cells, and the loss of a keeper moves no other cell.
func chooseHolders(cell messenger.CellRef, keepers []gossiper.Member, count int) []identifier.HostID {
	ranked := slices.Clone(keepers)
	slices.SortFunc(ranked, func(first, second gossiper.Member) int {
		order := cmp.Compare(holderWeight(cell, second.Host), holderWeight(cell, first.Host))
		return cmp.Or(order, cmp.Compare(first.Host, second.Host))
	})
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

func holderWeight(cell messenger.CellRef, host identifier.HostID) uint64 {
	buffer := binary.LittleEndian.AppendUint64([]byte(cell.FailureDomain), uint64(cell.Cell))
	return xxhash.Sum64(append(buffer, host...))
}
