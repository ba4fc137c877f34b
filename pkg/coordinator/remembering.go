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

// rememberDelay is how long a lead gathers changes of its backend servers before it
// tells the keepers. A cell is told whole, about 150 bytes a server, so that keepers
// that missed something are right again with the next change.
const rememberDelay = 250 * time.Millisecond

// remembering has the keepers remember, on their disks, which backend servers each cell
// has and under which epoch it is led.
//
// When all hosts of a failure domain start again, none of them knows a backend server
// until it announces itself, and each server has seen a higher epoch than the new lead's
// first. It shows as refusals for one to two heartbeats while servers stand idle. With
// what the keepers remember a lead calls all servers at once, under an epoch that they
// accept.
type remembering struct {
	coordinator *Coordinator
	// cells is what a keeper remembers.
	cells map[messenger.CellRef]messenger.CellMemory
	// changed are the own cells that the keepers have to be told of, at dueAt.
	changed []bool
	dueAt   identifier.Moment
}

func newRemembering(coordinator *Coordinator) *remembering {
	return &remembering{
		coordinator: coordinator,
		cells:       make(map[messenger.CellRef]messenger.CellMemory),
		changed:     make([]bool, coordinator.cells()),
		dueAt:       identifier.Never,
	}
}

// change notes that the backend servers of a cell or its epoch have changed.
func (remembering *remembering) change(cell messenger.CellNumber) {
	remembering.changed[cell] = true
	remembering.dueAt = identifier.Earlier(remembering.dueAt, remembering.coordinator.now.Add(rememberDelay))
}

// settle tells the keepers of what has changed, when it is time.
func (remembering *remembering) settle() {
	coordinator := remembering.coordinator
	if !remembering.dueAt.Due(coordinator.now) {
		return
	}
	remembering.dueAt = identifier.Never
	for cell, changed := range remembering.changed {
		if !changed {
			continue
		}
		remembering.changed[cell] = false
		if memory, leads := remembering.ownCell(messenger.CellNumber(cell)); leads {
			remembering.tellKeepers(&memory)
		}
	}
}

// ownCell returns what is to be remembered of a cell that this host leads.
func (remembering *remembering) ownCell(cell messenger.CellNumber) (messenger.CellMemory, bool) {
	coordinator := remembering.coordinator
	room := coordinator.rooms[cell]
	if !room.allocator.Leads() {
		return messenger.CellMemory{}, false
	}
	domain := coordinator.Self.FailureDomain
	_, epoch := coordinator.elector.Lead(domain, cell)
	return messenger.CellMemory{
		Cell: messenger.CellRef{FailureDomain: domain, Cell: cell}, Epoch: epoch, Cards: room.allocator.Cards(),
	}, true
}

func (remembering *remembering) tellKeepers(memory *messenger.CellMemory) {
	coordinator := remembering.coordinator
	if len(memory.Cards) == 0 {
		return
	}
	for _, state := range coordinator.gossiper.Members() {
		member := state.Member
		if state.Living() && member.Host != coordinator.Self.Host && slices.Contains(member.Roles, gossiper.RoleKeeper) {
			coordinator.outputs.toPeer(member.Host, PeerMessage{CellMemory: memory})
		}
	}
}

// meet exchanges memories with a host that lives now: leads tell a keeper, a keeper tells
// a host that serves callers.
func (remembering *remembering) meet(host identifier.HostID) {
	coordinator := remembering.coordinator
	state, known := coordinator.gossiper.State(host)
	if !known || host == coordinator.Self.Host {
		return
	}
	if slices.Contains(state.Member.Roles, gossiper.RoleKeeper) {
		for cell := range remembering.changed {
			if memory, leads := remembering.ownCell(messenger.CellNumber(cell)); leads && len(memory.Cards) > 0 {
				coordinator.outputs.toPeer(host, PeerMessage{CellMemory: &memory})
			}
		}
	}
	if !slices.Contains(state.Member.Roles, gossiper.RoleEntry) {
		return
	}
	for ref, memory := range remembering.cells {
		if ref.FailureDomain == state.Member.FailureDomain {
			coordinator.outputs.toPeer(host, PeerMessage{CellMemory: &memory})
		}
	}
}

// take takes what another host tells of a cell: a keeper notes it, a host of the cell's
// failure domain uses it.
func (remembering *remembering) take(memory *messenger.CellMemory) {
	coordinator := remembering.coordinator
	if coordinator.keeper != nil {
		remembering.note(memory)
	}
	if memory.Cell.FailureDomain != coordinator.Self.FailureDomain || !slices.Contains(coordinator.Self.Roles, gossiper.RoleEntry) {
		return
	}
	coordinator.tellElector(elector.EpochSeen{Cell: memory.Cell.Cell, Epoch: memory.Epoch})
	for index := range memory.Cards {
		card := &memory.Cards[index]
		coordinator.tellAllocator(coordinator.cellOfServer(card.Server), &allocator.CardRecalled{Card: *card})
	}
}

// note keeps what a lead told, unless a later lead has told of the cell.
func (remembering *remembering) note(memory *messenger.CellMemory) {
	if remembering.cells[memory.Cell].Epoch > memory.Epoch {
		return
	}
	remembering.cells[memory.Cell] = *memory
	all := make([]messenger.CellMemory, 0, len(remembering.cells))
	for _, known := range remembering.cells {
		all = append(all, known)
	}
	remembering.coordinator.outputs.add(&RememberCells{Cells: all})
}

// recall takes what this keeper had on its disk at its start.
func (remembering *remembering) recall(cells []messenger.CellMemory) {
	for _, memory := range cells {
		if remembering.cells[memory.Cell].Epoch <= memory.Epoch {
			remembering.cells[memory.Cell] = memory
		}
	}
}
