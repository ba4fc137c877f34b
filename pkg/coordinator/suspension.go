package coordinator

import (
	"github.com/stoathitch/stoathitch/pkg/elector"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/supervisor"
)

// detectSuspension detects that this host was suspended: one of its deadlines passed long ago.
//
// A suspended process continues where it stopped. Others have taken its cells meanwhile, but
// callers' jobs and hosts' requests that queued up for it arrive before the announcement of the new
// lead. Believing that it still leads, it would grant capacity at backend servers that the new lead
// hasn't reached, for jobs that have been run elsewhere since. The log would show grants right
// after a gap of seconds, and then the loss of the lead.
func (coordinator *Coordinator) detectSuspension(now identifier.Moment) {
	limit := coordinator.Settings.Gossiper.LocalSuspicionTimeout
	coordinator.wasSuspended = coordinator.dispatcher != nil && coordinator.NextDeadline().Add(limit) < now
}

// handleSuspension gives up the cells of a host that was suspended, before it decides anything
// else. It waits for other leads like a host that has just started, and takes the cells again if
// nobody else has.
//
// The limit is how long the others suspect an unresponsive host before they declare it dead: nobody
// takes a cell from a host that was unresponsive for less. Calls of a busy host are late by some
// tenths of a second.
func (coordinator *Coordinator) handleSuspension() {
	if !coordinator.wasSuspended {
		return
	}
	coordinator.overload.throttler.Resume(coordinator.now)
	coordinator.notifyElector(elector.ProcessStalled{})
	coordinator.notifySupervisor(&supervisor.HostResumed{})
	coordinator.settleMembership()
}
