package allocator

import (
	"cmp"
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// serverIndex finds the incarnations at an address and those of a server id. Both are fixed for an
// incarnation.
type serverIndex struct {
	byAddress map[string][]*server
	byID      map[identifier.BackendServerID][]*server
	// added counts the incarnations that were added.
	added uint64
}

func newServerIndex() serverIndex {
	return serverIndex{byAddress: make(map[string][]*server), byID: make(map[identifier.BackendServerID][]*server)}
}

func (serverIndex *serverIndex) add(added *server) {
	serverIndex.added++
	added.order = serverIndex.added
	address, id := added.report.Address, added.report.Server.Server()
	serverIndex.byAddress[address] = append(serverIndex.byAddress[address], added)
	serverIndex.byID[id] = append(serverIndex.byID[id], added)
}

func (serverIndex *serverIndex) remove(removed *server) {
	removeServer(serverIndex.byAddress, removed.report.Address, removed)
	removeServer(serverIndex.byID, removed.report.Server.Server(), removed)
}

// removeServer removes an incarnation from the list under a key.
func removeServer[Key comparable](lists map[Key][]*server, key Key, removed *server) {
	list := slices.DeleteFunc(lists[key], func(other *server) bool { return other == removed })
	if len(list) == 0 {
		delete(lists, key)
		return
	}
	lists[key] = list
}

// sharing lists the incarnations that share the address or the server id of a report, in the order
// in which they were added. Calls to the incarnation of the report would reach one of them, or be
// refused by it.
func (serverIndex *serverIndex) sharing(report *messenger.ServerReport) []*server {
	found := slices.Concat(serverIndex.byAddress[report.Address], serverIndex.byID[report.Server.Server()])
	slices.SortFunc(found, func(first, second *server) int { return cmp.Compare(first.order, second.order) })
	return slices.Compact(found)
}
