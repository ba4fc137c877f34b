package coordinator

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/allocator"
	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// following tells the ledger of a cell that this host leads what the other hosts have said
// of the lead: that they follow its epoch, and have named the runs that their jobs still have.
//
// A former lead may not know that it was replaced, and renews leases at backend servers which
// the new lead doesn't reach. Only its own word, or the end of its process, proves that it gives
// none any more. What it gave before ends by itself.
type following struct {
	coordinator *Coordinator
	// followed holds, for each own cell, what the other hosts have said.
	followed []map[identifier.HostID]follower
	// learned are the leads to be told that this host follows them, once it has sent them the
	// requests that name its runs.
	learned []messenger.LeadNotice
	// toldAs is the life of this host in which it has told its leads.
	toldAs identifier.Incarnation
	// changed tells that the hosts may have changed that the own cells wait for.
	changed bool
}

// follower is what a host has said: the epoch that it follows, and in which life it said so.
type follower struct {
	epoch       identifier.Epoch
	incarnation identifier.Incarnation
}

func newFollowing(coordinator *Coordinator) *following {
	created := &following{coordinator: coordinator, followed: make([]map[identifier.HostID]follower, coordinator.cells())}
	for cell := range created.followed {
		created.followed[cell] = make(map[identifier.HostID]follower)
	}
	return created
}

// learn notes who leads a cell of any failure domain.
func (following *following) learn(notice messenger.LeadNotice) {
	following.learned = append(following.learned, notice)
	following.changed = true
}

// settle tells the leads that were learned of, after the requests of the same tick.
func (following *following) settle() {
	incarnation := following.coordinator.gossiper.Self.Incarnation
	if following.toldAs != incarnation {
		following.toldAs = incarnation
		following.learnAll()
	}
	for _, notice := range following.learned {
		following.tell(notice)
	}
	following.learned = nil
	if following.changed {
		following.changed = false
		for cell := range following.followed {
			following.check(messenger.CellNumber(cell))
		}
	}
}

// tell tells a lead that this host follows it. This host has given up the cell by then, if it
// had it.
func (following *following) tell(notice messenger.LeadNotice) {
	coordinator := following.coordinator
	if notice.Host == "" || notice.Host == coordinator.Self.Host || !slices.Contains(coordinator.Self.Roles, gossiper.RoleEntry) {
		return
	}
	coordinator.outputs.toPeer(notice.Host, PeerMessage{LeadFollowed: &messenger.LeadFollowed{
		Cell: messenger.CellRef{FailureDomain: notice.FailureDomain, Cell: notice.Cell}, Epoch: notice.Epoch, Incarnation: following.toldAs,
	}})
}

// learnAll has all leads told again: this host's life counts as another one now.
func (following *following) learnAll() {
	for _, state := range following.coordinator.gossiper.Members() {
		following.tellAgain(state.Member.Host)
	}
}

// tellAgain has a host told again which of its cells this host follows. What was said before may
// have been lost with an older connection.
func (following *following) tellAgain(host identifier.HostID) {
	coordinator := following.coordinator
	state, known := coordinator.gossiper.State(host)
	if !known {
		return
	}
	domain := state.Member.FailureDomain
	for cell := range following.followed {
		number := messenger.CellNumber(cell)
		if lead, epoch := coordinator.elector.Lead(domain, number); lead == host {
			following.learned = append(following.learned, messenger.LeadNotice{FailureDomain: domain, Cell: number, Host: host, Epoch: epoch})
		}
	}
}

// take notes that a host follows this one.
func (following *following) take(from identifier.HostID, followed *messenger.LeadFollowed) {
	cell := followed.Cell.Cell
	if followed.Cell.FailureDomain != following.coordinator.Self.FailureDomain || int(cell) >= len(following.followed) {
		return
	}
	following.followed[cell][from] = follower{epoch: followed.Epoch, incarnation: followed.Incarnation}
	following.check(cell)
}

// check tells the ledger of a cell whether all hosts have spoken that it waits for.
func (following *following) check(cell messenger.CellNumber) {
	coordinator := following.coordinator
	lead, epoch := coordinator.elector.Lead(coordinator.Self.FailureDomain, cell)
	if lead != coordinator.Self.Host {
		return
	}
	allFollow, allNamed := true, true
	for _, state := range coordinator.gossiper.Members() {
		member := state.Member
		if member.Host == coordinator.Self.Host || !slices.Contains(member.Roles, gossiper.RoleEntry) || following.follows(cell, epoch, &member) {
			continue
		}
		mayLead := member.FailureDomain == coordinator.Self.FailureDomain && state.Status != gossiper.StatusLeft
		allFollow = allFollow && !mayLead
		allNamed = allNamed && !state.Living() && !coordinator.leaver(state)
	}
	coordinator.tellAllocator(cell, &allocator.OthersFollow{Following: allFollow})
	if allNamed {
		coordinator.tellAllocator(cell, &allocator.RunsNamed{})
	}
}

func (following *following) follows(cell messenger.CellNumber, epoch identifier.Epoch, member *gossiper.Member) bool {
	said, known := following.followed[cell][member.Host]
	return known && said.epoch == epoch && said.incarnation == member.Incarnation
}
