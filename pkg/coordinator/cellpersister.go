package coordinator

import (
	"maps"
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/elector"
	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// persistDelay is how long a lead collects changes of its backend servers before it sends them to
// the keepers.
const persistDelay = 250 * time.Millisecond

// cellPersister has some keepers store on their disks which backend servers each cell has and under
// which epoch it is led. A keeper gets the whole cell once, and then only what has changed.
//
// When all hosts of a failure domain restart, none of them knows a backend server until it
// announces itself, and each server has seen a higher epoch than the first one of the new lead. The
// symptom is refusals for one to two heartbeats while servers are idle. With the stored state, a
// lead calls all servers at once, under an epoch that they accept.
type cellPersister struct {
	coordinator *Coordinator
	// cells are the states of cells that a keeper stores.
	cells map[messenger.CellRef]messenger.StoredCell
	// own is what the keepers lack of each cell of the own failure domain, by its number.
	own   []persistedCell
	dueAt identifier.Moment
}

// persistedCell is what has to be sent to the keepers of a cell while this host leads it.
type persistedCell struct {
	// changed reports that something has to be sent at dueAt.
	changed bool
	// updates are the reports that have changed since the last time.
	updates []messenger.ServerReport
	// complete are the keepers that have the whole cell up to the updates.
	complete map[identifier.HostID]bool
}

func newCellPersister(coordinator *Coordinator) *cellPersister {
	return &cellPersister{
		coordinator: coordinator,
		cells:       make(map[messenger.CellRef]messenger.StoredCell),
		own:         make([]persistedCell, coordinator.cells()),
		dueAt:       identifier.Never,
	}
}

// handleLeadTaken has the keepers store a cell and its new epoch.
func (cellPersister *cellPersister) handleLeadTaken(cell messenger.CellNumber) {
	cellPersister.own[cell] = persistedCell{complete: make(map[identifier.HostID]bool)}
	cellPersister.scheduleCell(cell)
}

// addUpdate records that the report of a backend server has changed.
func (cellPersister *cellPersister) addUpdate(cell messenger.CellNumber, report *messenger.ServerReport) {
	own := &cellPersister.own[cell]
	own.updates = append(own.updates, *report)
	cellPersister.scheduleCell(cell)
}

func (cellPersister *cellPersister) scheduleCell(cell messenger.CellNumber) {
	cellPersister.own[cell].changed = true
	cellPersister.dueAt = identifier.Earlier(cellPersister.dueAt, cellPersister.coordinator.now.Add(persistDelay))
}

// settle sends changed cells to their keepers when dueAt is reached.
func (cellPersister *cellPersister) settle() {
	if !cellPersister.dueAt.Due(cellPersister.coordinator.now) {
		return
	}
	cellPersister.dueAt = identifier.Never
	for cell := range cellPersister.own {
		if cellPersister.own[cell].changed {
			cellPersister.sendCell(messenger.CellNumber(cell))
		}
	}
}

// sendCell sends a cell to the keepers that lack it, and its updates to those that have it.
func (cellPersister *cellPersister) sendCell(cell messenger.CellNumber) {
	own := &cellPersister.own[cell]
	updates := own.updates
	own.changed, own.updates = false, nil
	whole, leads := cellPersister.ownCell(cell)
	if !leads || len(whole.Reports) == 0 {
		return
	}
	holders := cellPersister.holdersOf(whole.Cell)
	// A keeper that no longer stores the cell misses its updates.
	maps.DeleteFunc(own.complete, func(host identifier.HostID, _ bool) bool { return !slices.Contains(holders, host) })
	outputs := &cellPersister.coordinator.outputs
	update := messenger.StoredCell{Cell: whole.Cell, Epoch: whole.Epoch, Reports: updates}
	for _, holder := range holders {
		switch {
		case !own.complete[holder]:
			own.complete[holder] = true
			outputs.toPeer(holder, PeerMessage{StoredCell: &whole})
		case len(updates) > 0:
			outputs.toPeer(holder, PeerMessage{CellUpdate: &update})
		}
	}
}

// holdersOf returns the other hosts that store a cell as keepers.
func (cellPersister *cellPersister) holdersOf(cell messenger.CellRef) []identifier.HostID {
	coordinator := cellPersister.coordinator
	var keepers []gossiper.Member
	for _, state := range coordinator.gossiper.Members() {
		member := state.Member
		if state.Living() && member.Host != coordinator.Self.Host && slices.Contains(member.Roles, gossiper.RoleKeeper) {
			keepers = append(keepers, member)
		}
	}
	return chooseHolders(cell, keepers, coordinator.Settings.CellCopies)
}

// ownCell returns the state to store of a cell, and false if this host doesn't lead it.
func (cellPersister *cellPersister) ownCell(cell messenger.CellNumber) (messenger.StoredCell, bool) {
	coordinator := cellPersister.coordinator
	cellAllocator := coordinator.allocators[cell]
	if !cellAllocator.allocator.Leads() {
		return messenger.StoredCell{}, false
	}
	domain := coordinator.Self.FailureDomain
	_, epoch := coordinator.elector.Lead(domain, cell)
	return messenger.StoredCell{
		Cell: messenger.CellRef{FailureDomain: domain, Cell: cell}, Epoch: epoch, Reports: cellAllocator.allocator.Reports(),
	}, true
}

// exchangeWith sends stored cells to a host that has become live: leads send theirs to a keeper of
// them, and a keeper sends those of a failure domain to its entry hosts.
func (cellPersister *cellPersister) exchangeWith(host identifier.HostID) {
	coordinator := cellPersister.coordinator
	state, known := coordinator.gossiper.State(host)
	if !known || host == coordinator.Self.Host {
		return
	}
	if slices.Contains(state.Member.Roles, gossiper.RoleKeeper) {
		cellPersister.restartExchange(host)
	}
	if !slices.Contains(state.Member.Roles, gossiper.RoleEntry) {
		return
	}
	for ref, storedCell := range cellPersister.cells {
		if ref.FailureDomain == state.Member.FailureDomain {
			coordinator.outputs.toPeer(host, PeerMessage{StoredCell: &storedCell})
		}
	}
}

// restartExchange has the whole cells sent to a keeper again: updates may have been lost with an
// older connection or process.
func (cellPersister *cellPersister) restartExchange(keeper identifier.HostID) {
	for cell := range cellPersister.own {
		if cellPersister.coordinator.allocators[cell].allocator.Leads() {
			delete(cellPersister.own[cell].complete, keeper)
			cellPersister.scheduleCell(messenger.CellNumber(cell))
		}
	}
}

// handleUpdate applies what has changed in a cell to the state that this keeper stores.
func (cellPersister *cellPersister) handleUpdate(update *messenger.StoredCell) {
	if cellPersister.coordinator.keeper == nil {
		return
	}
	stored := *update
	stored.Reports = mergeReports(cellPersister.cells[update.Cell].Reports, update.Reports)
	cellPersister.store(&stored)
}

// mergeReports returns the known reports with the updates applied. Updates of servers that have
// ended remove theirs.
func mergeReports(known, updates []messenger.ServerReport) []messenger.ServerReport {
	last := make(map[identifier.ServerIncarnation]int, len(updates))
	for index := range updates {
		last[updates[index].Server] = index
	}
	merged := make([]messenger.ServerReport, 0, len(known)+len(updates))
	for _, report := range known {
		if _, updated := last[report.Server]; !updated {
			merged = append(merged, report)
		}
	}
	for index, report := range updates {
		if last[report.Server] == index && !report.Gone {
			merged = append(merged, report)
		}
	}
	return merged
}

// handleStoredCell processes the state of a cell from another host: a keeper stores it, an entry
// host of the cell's failure domain uses it.
func (cellPersister *cellPersister) handleStoredCell(storedCell *messenger.StoredCell) {
	coordinator := cellPersister.coordinator
	if coordinator.keeper != nil {
		cellPersister.store(storedCell)
	}
	if storedCell.Cell.FailureDomain != coordinator.Self.FailureDomain || !slices.Contains(coordinator.Self.Roles, gossiper.RoleEntry) {
		return
	}
	coordinator.notifyElector(elector.EpochSeen{Cell: storedCell.Cell.Cell, Epoch: storedCell.Epoch})
	for index := range storedCell.Reports {
		coordinator.receiveReport(storedCell.Reports[index], true)
	}
}

// store stores the state of a cell, unless a lead with a higher epoch has already sent one for the
// cell.
func (cellPersister *cellPersister) store(storedCell *messenger.StoredCell) {
	if cellPersister.cells[storedCell.Cell].Epoch > storedCell.Epoch {
		return
	}
	cellPersister.cells[storedCell.Cell] = *storedCell
	all := make([]messenger.StoredCell, 0, len(cellPersister.cells))
	for _, known := range cellPersister.cells {
		all = append(all, known)
	}
	cellPersister.coordinator.outputs.add(&StoreCells{Cells: all})
}

// restore loads the cells that this keeper had on its disk at startup.
func (cellPersister *cellPersister) restore(cells []messenger.StoredCell) {
	for _, storedCell := range cells {
		if cellPersister.cells[storedCell.Cell].Epoch <= storedCell.Epoch {
			cellPersister.cells[storedCell.Cell] = storedCell
		}
	}
}
