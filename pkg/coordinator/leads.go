package coordinator

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/forwarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// leads decides which cells of the own failure domain this host leads. The
// living host with the highest announced epoch leads; where none does, the first
// living host in rendezvous order takes the cell under the next epoch.
type leads struct {
	self     Host
	settleAt identifier.Moment
	// settled tells that settleAt has been reached: from then on every tick elects.
	settled  bool
	resigned bool
	// living are the reachable hosts of the own failure domain, self included,
	// in order of their ids.
	living []identifier.HostID
	// seen are the hosts of the own failure domain that have ever been reachable.
	seen  []identifier.HostID
	cells []cellLead
}

type cellLead struct {
	number messenger.CellNumber
	host   identifier.HostID
	// epoch is the epoch of host; seen is the highest epoch of any lead.
	epoch identifier.Epoch
	seen  identifier.Epoch
	held  bool
}

func newLeads(self Host, cells int) *leads {
	created := &leads{self: self, living: []identifier.HostID{self.ID}}
	for number := range max(cells, 1) {
		created.cells = append(created.cells, cellLead{number: messenger.CellNumber(number)})
	}
	return created
}

func (leads *leads) nextDeadline() identifier.Moment { return leads.settleAt }

func (leads *leads) setLiving(host identifier.HostID, living bool) {
	if position, found := slices.BinarySearch(leads.seen, host); !found {
		leads.seen = slices.Insert(leads.seen, position, host)
	}
	position, found := slices.BinarySearch(leads.living, host)
	if living && !found {
		leads.living = slices.Insert(leads.living, position, host)
	}
	if !living && found {
		leads.living = slices.Delete(leads.living, position, position+1)
	}
}

// missing lists the hosts that were reachable once and do not live now.
func (leads *leads) missing() []identifier.HostID {
	var missing []identifier.HostID
	for _, host := range leads.seen {
		if !slices.Contains(leads.living, host) {
			missing = append(missing, host)
		}
	}
	return missing
}

func (leads *leads) noticed(notice messenger.LeadNotice) {
	if notice.FailureDomain != leads.self.FailureDomain || int(notice.Cell) >= len(leads.cells) {
		return
	}
	cell := &leads.cells[notice.Cell]
	cell.seen = max(cell.seen, notice.Epoch)
	if notice.Epoch > cell.epoch {
		cell.host = notice.Host
		cell.epoch = notice.Epoch
	}
}

func (leads *leads) sawEpoch(number messenger.CellNumber, epoch identifier.Epoch) {
	cell := &leads.cells[number]
	cell.seen = max(cell.seen, epoch)
}

// resign makes this host give its cells away and take none.
func (leads *leads) resign() { leads.resigned = true }

// candidate returns the first living host of the cell's rendezvous order.
func (leads *leads) candidate(number messenger.CellNumber) identifier.HostID {
	candidates := slices.Clone(leads.living)
	if leads.resigned && len(candidates) > 1 {
		candidates = slices.DeleteFunc(candidates, func(host identifier.HostID) bool { return host == leads.self.ID })
	}
	return slices.MinFunc(candidates, func(first, second identifier.HostID) int {
		firstRank, secondRank := rank(number, first), rank(number, second)
		if firstRank != secondRank {
			if firstRank < secondRank {
				return -1
			}
			return 1
		}
		return strings.Compare(string(first), string(second))
	})
}

func rank(number messenger.CellNumber, host identifier.HostID) uint64 {
	return xxhash.Sum64String(string(host) + "/" + string(rune('0'+number)))
}

// elect brings the cells that this host leads up to date.
func (coordinator *Coordinator) elect() {
	leads := coordinator.leads
	if !leads.settled && !leads.settleAt.Due(coordinator.now) {
		return
	}
	leads.settled = true
	leads.settleAt = identifier.Never
	for index := range leads.cells {
		coordinator.electCell(&leads.cells[index])
	}
}

func (coordinator *Coordinator) electCell(cell *cellLead) {
	leads := coordinator.leads
	self := coordinator.Self.ID
	if cell.held && (cell.host != self || cell.seen > cell.epoch) {
		cell.held = false
		coordinator.tellDispatcher(&dispatcher.LeadLost{Cell: cell.number})
	}
	living := slices.Contains(leads.living, cell.host)
	resigning := leads.resigned && cell.host == self && len(leads.living) > 1
	if cell.host == self && !cell.held && !resigning {
		coordinator.takeCell(cell)
		return
	}
	if living && !resigning && cell.epoch == cell.seen {
		coordinator.tellForwarder(&forwarder.LeadKnown{Notice: coordinator.noticeOf(cell)})
		return
	}
	if resigning {
		coordinator.offerCell(cell)
		return
	}
	if leads.candidate(cell.number) == self {
		coordinator.takeCell(cell)
	}
}

// offerCell asks the next host to take the cell, by a notice in its name.
func (coordinator *Coordinator) offerCell(cell *cellLead) {
	if !cell.held {
		return
	}
	next := coordinator.leads.candidate(cell.number)
	cell.held = false
	coordinator.tellDispatcher(&dispatcher.LeadLost{Cell: cell.number})
	notice := coordinator.noticeOf(cell)
	notice.Host = next
	notice.Epoch = cell.seen + 1
	coordinator.outputs.toPeer(next, PeerMessage{LeadNotice: &notice})
}

func (coordinator *Coordinator) takeCell(cell *cellLead) {
	cell.seen = nextEpoch(cell.seen, coordinator.Self.ID)
	cell.epoch = cell.seen
	cell.host = coordinator.Self.ID
	cell.held = true
	notice := coordinator.noticeOf(cell)
	coordinator.tellDispatcher(&dispatcher.LeadTaken{
		Cell:    cell.number,
		Epoch:   cell.epoch,
		Hosts:   slices.Clone(coordinator.leads.living),
		Missing: coordinator.leads.missing(),
	})
	coordinator.tellForwarder(&forwarder.LeadKnown{Notice: notice})
	coordinator.outputs.add(&LeadChanged{Notice: notice})
	coordinator.broadcast(PeerMessage{LeadNotice: &notice})
}

func (coordinator *Coordinator) noticeOf(cell *cellLead) messenger.LeadNotice {
	return messenger.LeadNotice{
		FailureDomain: coordinator.Self.FailureDomain,
		Cell:          cell.number,
		Host:          cell.host,
		Epoch:         cell.epoch,
	}
}
