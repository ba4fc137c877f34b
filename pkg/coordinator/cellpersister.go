package coordinator

import (
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/allocator"
	"github.com/stoathitch/stoathitch/pkg/elector"
	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// persistDelay is how long a lead collects changes of its backend servers before it sends them to
// the keepers. A cell is sent whole, about 150 bytes a server, so that keepers that missed an
// update are correct again after the next one.
const persistDelay = 250 * time.Millisecond

// cellPersister has the keepers store on their disks which backend servers each cell has and under
// which epoch it is led.
//
// When all hosts of a failure domain restart, none of them knows a backend server until it
// announces itself, and each server has seen a higher epoch than the first one of the new lead. The
// symptom is refusals for one to two heartbeats while servers are idle. With the stored state, a
// lead calls all servers at once, under an epoch that they accept.
type cellPersister struct {
	coordinator *Coordinator
	// cells are the states of cells that a keeper stores.
	cells map[messenger.CellRef]messenger.StoredCell
	// changed marks the own cells that have to be sent to the keepers at dueAt.
	changed []bool
	dueAt   identifier.Moment
}

func newCellPersister(coordinator *Coordinator) *cellPersister {
	return &cellPersister{
		coordinator: coordinator,
		cells:       make(map[messenger.CellRef]messenger.StoredCell),
		changed:     make([]bool, coordinator.cells()),
		dueAt:       identifier.Never,
	}
}

// markChanged records that the backend servers of a cell or its epoch have changed.
func (cellPersister *cellPersister) markChanged(cell messenger.CellNumber) {
	cellPersister.changed[cell] = true
	cellPersister.dueAt = identifier.Earlier(cellPersister.dueAt, cellPersister.coordinator.now.Add(persistDelay))
}

// settle sends changed cells to the keepers when dueAt is reached.
func (cellPersister *cellPersister) settle() {
	coordinator := cellPersister.coordinator
	if !cellPersister.dueAt.Due(coordinator.now) {
		return
	}
	cellPersister.dueAt = identifier.Never
	for cell, changed := range cellPersister.changed {
		if !changed {
			continue
		}
		cellPersister.changed[cell] = false
		if storedCell, leads := cellPersister.ownCell(messenger.CellNumber(cell)); leads {
			cellPersister.sendToKeepers(&storedCell)
		}
	}
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

func (cellPersister *cellPersister) sendToKeepers(storedCell *messenger.StoredCell) {
	coordinator := cellPersister.coordinator
	if len(storedCell.Reports) == 0 {
		return
	}
	for _, state := range coordinator.gossiper.Members() {
		member := state.Member
		if state.Living() && member.Host != coordinator.Self.Host && slices.Contains(member.Roles, gossiper.RoleKeeper) {
			coordinator.outputs.toPeer(member.Host, PeerMessage{StoredCell: storedCell})
		}
	}
}

// exchangeWith sends stored cells to a host that has become live: leads send theirs to a keeper,
// and a keeper sends those of a failure domain to its entry hosts.
func (cellPersister *cellPersister) exchangeWith(host identifier.HostID) {
	coordinator := cellPersister.coordinator
	state, known := coordinator.gossiper.State(host)
	if !known || host == coordinator.Self.Host {
		return
	}
	if slices.Contains(state.Member.Roles, gossiper.RoleKeeper) {
		for cell := range cellPersister.changed {
			if storedCell, leads := cellPersister.ownCell(messenger.CellNumber(cell)); leads && len(storedCell.Reports) > 0 {
				coordinator.outputs.toPeer(host, PeerMessage{StoredCell: &storedCell})
			}
		}
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
		report := &storedCell.Reports[index]
		coordinator.notifyAllocator(coordinator.cellOfServer(report.Server), &allocator.ReportRecalled{Report: *report})
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
