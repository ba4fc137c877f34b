package coordinator

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/forwarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// connectPeer notes that a host can be reached and tells it who leads which cell.
//
// It tells of other hosts' cells as well. A lead that restarts has forgotten its
// epoch; if it took the same epoch again, the hosts that forward to it would see
// nothing new and their unanswered jobs would hang.
func (coordinator *Coordinator) connectPeer(host Host) {
	coordinator.connected(host.ID, true)
	if host.FailureDomain == coordinator.Self.FailureDomain {
		coordinator.leads.setLiving(host.ID, true)
		coordinator.hostsChanged()
		coordinator.tellDispatcher(&dispatcher.HostReturned{Host: host.ID})
	}
	coordinator.tellDispatcher(&dispatcher.RemoteReachable{Host: host.ID, Reachable: true})
	coordinator.tellForwarder(&forwarder.HostReachable{Host: host.ID, Reachable: true})
	for index := range coordinator.leads.cells {
		cell := &coordinator.leads.cells[index]
		if cell.epoch > 0 {
			notice := coordinator.noticeOf(cell)
			coordinator.outputs.toPeer(host.ID, PeerMessage{LeadNotice: &notice})
		}
	}
}

func (coordinator *Coordinator) disconnectPeer(host Host) {
	coordinator.connected(host.ID, false)
	if host.FailureDomain == coordinator.Self.FailureDomain {
		coordinator.leads.setLiving(host.ID, false)
		coordinator.hostsChanged()
		coordinator.tellDispatcher(&dispatcher.HostGone{Host: host.ID})
	}
	coordinator.tellDispatcher(&dispatcher.RemoteReachable{Host: host.ID, Reachable: false})
	coordinator.tellForwarder(&forwarder.HostReachable{Host: host.ID, Reachable: false})
}

func (coordinator *Coordinator) hostsChanged() {
	living := slices.Clone(coordinator.leads.living)
	coordinator.tellForwarder(&forwarder.HostsChanged{Living: living})
}

// connected keeps the list of reachable hosts in order of their ids, so that
// messages to all leave in the same order on every run.
func (coordinator *Coordinator) connected(host identifier.HostID, reachable bool) {
	position, found := slices.BinarySearch(coordinator.reachable, host)
	if reachable && !found {
		coordinator.reachable = slices.Insert(coordinator.reachable, position, host)
	}
	if !reachable && found {
		coordinator.reachable = slices.Delete(coordinator.reachable, position, position+1)
	}
}

func (coordinator *Coordinator) broadcast(message PeerMessage) {
	for _, host := range coordinator.reachable {
		coordinator.outputs.toPeer(host, message)
	}
}
