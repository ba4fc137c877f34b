package coordinator

import (
	"github.com/stoathitch/stoathitch/pkg/elector"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// noteStandstill notices that this host has stood still: a deadline of its own passed long ago.
//
// A process that was suspended goes on where it stopped. Others have taken its cells meanwhile,
// but what waited for it, a caller's job or a host's request, comes before the word of that. As
// the lead that it holds itself for it would grant room at backend servers that the new lead has
// not reached, for jobs that run elsewhere since. The log would show grants right after a gap of
// seconds, and then the loss of the lead.
func (coordinator *Coordinator) noteStandstill(now identifier.Moment) {
	limit := coordinator.Settings.Gossiper.LocalSuspicionTimeout
	coordinator.stoodStill = coordinator.dispatcher != nil && coordinator.NextDeadline().Add(limit) < now
}

// endStandstill gives up the cells of a host that has stood still, before anything else is
// decided. It listens as if it had just started, and takes them again if nobody else has.
//
// The limit is how long the others suspect a silent host before they count it as dead: nobody
// takes a cell from one that was silent for less. Calls of a busy host are later than usual by
// some tenths of a second.
func (coordinator *Coordinator) endStandstill() {
	if !coordinator.stoodStill {
		return
	}
	coordinator.tellElector(elector.StoodStill{})
	coordinator.settleMembership()
}
