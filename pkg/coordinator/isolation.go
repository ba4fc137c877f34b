package coordinator

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/elector"
	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// A lead cut off by a silent partition keeps its cells until it receives the announcement that
// others have taken them. Messages that queued up on its connections arrive first: jobs, and
// receipts for copies. If it processed them as a lead, it would hand jobs that its successor has
// run to another failure domain, or answer a caller that a job has not run although it has. The
// trace would show this in the tick in which a host that was declared dead responds again, and the
// loss of the lead milliseconds later.

// recordSilentLoss records which hosts of the own failure domain were declared dead while their
// connection is open: their messages are delayed, not lost. The connection of a process that ends
// is closed by the kernel.
func (coordinator *Coordinator) recordSilentLoss(state gossiper.State) {
	host := state.Member.Host
	if state.Member.FailureDomain != coordinator.Self.FailureDomain {
		return
	}
	if state.Status == gossiper.StatusDead && coordinator.connected[host] {
		coordinator.deadButConnected[host] = true
		return
	}
	delete(coordinator.deadButConnected, host)
}

// handleIsolationEnd gives up the cells of this host before it acts on messages of a host in
// deadButConnected, and then waits for other leads like a host that has just started. A host that
// sees more than half of its failure domain keeps its cells: the hosts that return can't have taken
// them.
//
// Whether such a host responds again or its connection closes, this host may have missed what the
// others learned meanwhile, like a host that restarted without state.
func (coordinator *Coordinator) handleIsolationEnd(inputs []Input) {
	coordinator.handleContact(inputs)
	if len(coordinator.deadButConnected) == 0 {
		return
	}
	responded, closed := coordinator.respondedAgain(inputs)
	own := coordinator.Self.FailureDomain
	if !responded && !closed || len(coordinator.livingIn(own)) > coordinator.countMissing(own) {
		return
	}
	coordinator.notifyDispatcher(&dispatcher.IsolationEnded{})
	if responded {
		clear(coordinator.deadButConnected)
		coordinator.notifyElector(elector.ProcessStalled{})
		coordinator.settleMembership()
	}
}

// handleContact makes the last host of its failure domain count as one that may have missed records
// when it hears of others again. Hosts that it had seen leave may have started meanwhile.
func (coordinator *Coordinator) handleContact(inputs []Input) {
	if !coordinator.elector.IsLastHost() {
		return
	}
	if coordinator.elector.LostContact() && slices.ContainsFunc(inputs, isContact) {
		coordinator.notifyDispatcher(&dispatcher.IsolationEnded{})
	}
	if slices.ContainsFunc(inputs, isPeerBatch) {
		coordinator.notifyElector(elector.HostResponded{})
	}
}

// isContact reports whether an input comes from another host or from a backend server.
func isContact(input Input) bool {
	switch input.(type) {
	case *PeerConnected, *ServerEvent, *AllocatorEvent, *ServerReportAnnounced:
		return true
	}
	return isPeerBatch(input)
}

func isPeerBatch(input Input) bool {
	_, isBatch := input.(*PeerBatchArrived)
	return isBatch
}

// respondedAgain reports whether inputs contain a message of a host in deadButConnected, and
// whether they close the connection to one.
func (coordinator *Coordinator) respondedAgain(inputs []Input) (responded, closed bool) {
	for _, input := range inputs {
		switch input := input.(type) {
		case *PeerBatchArrived:
			responded = responded || coordinator.deadButConnected[input.From]
		case *PeerDisconnected:
			closed = closed || coordinator.deadButConnected[input.Host]
		}
	}
	return responded, closed
}

// isLiving reports whether the membership counts a host as living.
func (coordinator *Coordinator) isLiving(host identifier.HostID) bool {
	state, known := coordinator.gossiper.State(host)
	return known && state.Living()
}
