package coordinator

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/allocator"
	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// followerTracker reports to the allocator of a cell that this host leads whether the other hosts
// follow this lead's epoch, and whether they have named the runs of their jobs.
//
// A former lead may not know that it was replaced and may go on renewing leases at backend servers
// that the new lead can't reach. Only its own message, or the end of its process, proves that it
// grants no more leases. Leases that it granted before expire on their own.
type followerTracker struct {
	coordinator *Coordinator
	// followers holds, for each own cell, the last announcement of each other host.
	followers []map[identifier.HostID]follower
	// pendingNotices are the leads to notify that this host follows them, after the requests that
	// name its runs have been sent to them.
	pendingNotices []messenger.LeadNotice
	// notifiedAs is the incarnation under which this host has notified its leads.
	notifiedAs identifier.Incarnation
	// changed reports that the set of hosts that the own cells wait for may have changed.
	changed bool
}

// follower is the last announcement of a host: the epoch that it follows, and its incarnation at
// the time.
type follower struct {
	epoch       identifier.Epoch
	incarnation identifier.Incarnation
}

func newFollowerTracker(coordinator *Coordinator) *followerTracker {
	created := &followerTracker{coordinator: coordinator}
	created.setCells(coordinator.cells())
	return created
}

// setCells sets the number of own cells.
func (followerTracker *followerTracker) setCells(cells int) {
	followerTracker.followers = make([]map[identifier.HostID]follower, cells)
	for cell := range followerTracker.followers {
		followerTracker.followers[cell] = make(map[identifier.HostID]follower)
	}
}

// handleLeadKnown records who leads a cell of any failure domain.
func (followerTracker *followerTracker) handleLeadKnown(notice messenger.LeadNotice) {
	followerTracker.pendingNotices = append(followerTracker.pendingNotices, notice)
	followerTracker.changed = true
}

// settle notifies the recorded leads, after the requests of the same tick.
func (followerTracker *followerTracker) settle() {
	incarnation := followerTracker.coordinator.gossiper.Self.Incarnation
	if followerTracker.notifiedAs != incarnation {
		followerTracker.notifiedAs = incarnation
		followerTracker.renotifyAll()
	}
	for _, notice := range followerTracker.pendingNotices {
		followerTracker.notifyLead(notice)
	}
	followerTracker.pendingNotices = nil
	if followerTracker.changed {
		followerTracker.changed = false
		for cell := range followerTracker.followers {
			followerTracker.check(messenger.CellNumber(cell))
		}
	}
}

// notifyLead notifies a lead that this host follows it. If this host led the cell before, it has
// given it up by then.
func (followerTracker *followerTracker) notifyLead(notice messenger.LeadNotice) {
	coordinator := followerTracker.coordinator
	if notice.Host == "" || notice.Host == coordinator.Self.Host || !slices.Contains(coordinator.Self.Roles, gossiper.RoleEntry) {
		return
	}
	coordinator.outputs.toPeer(notice.Host, PeerMessage{LeadFollowed: &messenger.LeadFollowed{
		Cell: messenger.CellRef{FailureDomain: notice.FailureDomain, Cell: notice.Cell}, Epoch: notice.Epoch, Incarnation: followerTracker.notifiedAs,
	}})
}

// renotifyAll schedules another notification of all leads, because this host has a new incarnation.
func (followerTracker *followerTracker) renotifyAll() {
	for _, state := range followerTracker.coordinator.gossiper.Members() {
		followerTracker.renotify(state.Member.Host)
	}
}

// renotify schedules another notification of a host about those of its cells that this host
// follows. An earlier one may have been lost with an older connection.
func (followerTracker *followerTracker) renotify(host identifier.HostID) {
	coordinator := followerTracker.coordinator
	state, known := coordinator.gossiper.State(host)
	if !known {
		return
	}
	domain := state.Member.FailureDomain
	for cell := range coordinator.cellsIn(domain) {
		number := messenger.CellNumber(cell)
		if lead, epoch := coordinator.elector.Lead(domain, number); lead == host {
			followerTracker.pendingNotices = append(followerTracker.pendingNotices, messenger.LeadNotice{FailureDomain: domain, Cell: number, Host: host, Epoch: epoch})
		}
	}
}

// handleFollowed records that a host follows this one.
func (followerTracker *followerTracker) handleFollowed(from identifier.HostID, followed *messenger.LeadFollowed) {
	cell := followed.Cell.Cell
	if followed.Cell.FailureDomain != followerTracker.coordinator.Self.FailureDomain || int(cell) >= len(followerTracker.followers) {
		return
	}
	followerTracker.followers[cell][from] = follower{epoch: followed.Epoch, incarnation: followed.Incarnation}
	followerTracker.check(cell)
}

// check reports to the allocator of a cell whether all hosts that it waits for have sent their
// announcements.
func (followerTracker *followerTracker) check(cell messenger.CellNumber) {
	coordinator := followerTracker.coordinator
	lead, epoch := coordinator.elector.Lead(coordinator.Self.FailureDomain, cell)
	if lead != coordinator.Self.Host {
		return
	}
	allFollow, allNamed := true, true
	for _, state := range coordinator.gossiper.Members() {
		member := state.Member
		if member.Host == coordinator.Self.Host || !slices.Contains(member.Roles, gossiper.RoleEntry) || followerTracker.follows(cell, epoch, &member) {
			continue
		}
		mayLead := member.FailureDomain == coordinator.Self.FailureDomain && state.Status != gossiper.StatusLeft
		allFollow = allFollow && !mayLead
		allNamed = allNamed && !state.Living() && !coordinator.isLeaving(state)
	}
	coordinator.notifyAllocator(cell, &allocator.OthersFollow{Following: allFollow})
	if allNamed {
		coordinator.notifyAllocator(cell, &allocator.RunsReported{})
	}
}

func (followerTracker *followerTracker) follows(cell messenger.CellNumber, epoch identifier.Epoch, member *gossiper.Member) bool {
	last, known := followerTracker.followers[cell][member.Host]
	return known && last.epoch == epoch && last.incarnation == member.Incarnation
}
