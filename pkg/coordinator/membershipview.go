package coordinator

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// membershipView lists the hosts of each failure domain by their status. It is built anew once the
// membership has changed, not for each host that changes: when many hosts join or die together,
// their changes arrive in few messages.
type membershipView struct {
	version gossiper.Version
	domains map[identifier.FailureDomain]domainView
}

// domainView lists the hosts of one failure domain, sorted by id.
type domainView struct {
	// living includes this host; entry are those of them that serve callers.
	living []identifier.HostID
	entry  []identifier.HostID
	// capacities are the plausible capacities that living hosts state, and processors those of them
	// that a lead is chosen by.
	capacities map[identifier.HostID]identifier.HostCapacity
	processors map[identifier.HostID]identifier.MilliCPU
	// suspected are the living hosts that missed a probe.
	suspected []identifier.HostID
	// dead counts the hosts that were declared dead and not forgotten.
	dead int
}

// domainView returns the hosts of a failure domain. Its lists are shared and must not be changed.
func (coordinator *Coordinator) domainView(domain identifier.FailureDomain) domainView {
	view := &coordinator.membershipView
	if version := coordinator.gossiper.Version(); view.domains == nil || view.version != version {
		view.version = version
		view.domains = coordinator.newDomainViews()
	}
	return view.domains[domain]
}

func (coordinator *Coordinator) newDomainViews() map[identifier.FailureDomain]domainView {
	self := coordinator.Self
	views := make(map[identifier.FailureDomain]domainView)
	views[self.FailureDomain] = domainView{}.withLiving(&self)
	coordinator.gossiper.EachState(func(state *gossiper.State) {
		domain := state.Member.FailureDomain
		view := views[domain]
		switch {
		case state.Status == gossiper.StatusDead:
			view.dead++
		case state.Living() && state.Member.Host != self.Host:
			view = view.withLiving(&state.Member)
			if state.Status == gossiper.StatusSuspect {
				view.suspected = append(view.suspected, state.Member.Host)
			}
		}
		views[domain] = view
	})
	for domain, view := range views {
		slices.Sort(view.living)
		slices.Sort(view.entry)
		// Callers append to the lists.
		view.living, view.entry = slices.Clip(view.living), slices.Clip(view.entry)
		views[domain] = view
	}
	return views
}

func (view domainView) withLiving(member *gossiper.Member) domainView {
	view.living = append(view.living, member.Host)
	if slices.Contains(member.Roles, gossiper.RoleEntry) {
		view.entry = append(view.entry, member.Host)
	}
	capacity := member.Capacity.OrUnknown()
	if capacity == (identifier.HostCapacity{}) {
		return view
	}
	if view.capacities == nil {
		view.capacities = make(map[identifier.HostID]identifier.HostCapacity)
		view.processors = make(map[identifier.HostID]identifier.MilliCPU)
	}
	view.capacities[member.Host] = capacity
	if capacity.MilliCPU > 0 {
		view.processors[member.Host] = capacity.MilliCPU
	}
	return view
}

// livingIn lists the living hosts of a failure domain, sorted by id, including this host.
func (coordinator *Coordinator) livingIn(domain identifier.FailureDomain) []identifier.HostID {
	return coordinator.domainView(domain).living
}

// entryHostsIn lists those living hosts of a failure domain that serve callers. A host that only
// keeps the replicated log must not lead a cell, since it has no part in the data path.
func (coordinator *Coordinator) entryHostsIn(domain identifier.FailureDomain) []identifier.HostID {
	return coordinator.domainView(domain).entry
}

// countMissing counts the known hosts of a failure domain that were declared dead but may live out
// of reach.
func (coordinator *Coordinator) countMissing(domain identifier.FailureDomain) int {
	return coordinator.domainView(domain).dead
}
