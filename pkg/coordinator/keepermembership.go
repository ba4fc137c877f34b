package coordinator

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/keeper"
	"github.com/stoathitch/stoathitch/pkg/replicator"
)

const (
	// membershipCheckInterval is how often the leader of the keepers checks their membership. A
	// change takes two syncs, about 20 ms. A keeper that lost its disk needs three changes and must
	// be a voter again within seconds.
	membershipCheckInterval = 200 * time.Millisecond
	// replaceAfter is how long a keeper must be dead before another replaces it. It is longer than
	// a restart takes.
	replaceAfter = 3 * time.Second
	// changeHandles is the first handle of membership changes. It is far from the handles of
	// commands.
	changeHandles replicator.Handle = 1 << 62
)

// keeperMembership maintains the members of the keepers' log, so that the log keeps a quorum when
// hosts are lost: the leader adds keepers that are new or have lost their disk, and replaces
// keepers that are gone.
type keeperMembership struct {
	coordinator *Coordinator
	dueAt       identifier.Moment
	// joining holds the incarnation of each keeper that waits to be added.
	joining map[identifier.HostID]identifier.Incarnation
	// notLivingSince holds since when a member has not been living.
	notLivingSince map[identifier.HostID]identifier.Moment
	changes        replicator.Handle
	// proposed is the newest change without its handle, and refusal the last outcome of it that was
	// reported.
	proposed replicator.MembershipChangeProposed
	refusal  replicator.OutcomeKind
}

func newKeeperMembership(coordinator *Coordinator) *keeperMembership {
	created := &keeperMembership{
		coordinator: coordinator, dueAt: identifier.Never,
		joining:        make(map[identifier.HostID]identifier.Incarnation),
		notLivingSince: make(map[identifier.HostID]identifier.Moment),
	}
	if coordinator.keeper == nil || coordinator.Settings.Voters == 0 {
		return created
	}
	created.dueAt = coordinator.now
	if coordinator.Settings.JoinKeepers {
		incarnation := strconv.FormatUint(uint64(coordinator.joiningAs()), recordNumberBase)
		coordinator.publish(joiningRecordKey, incarnation)
	}
	return created
}

// joiningAs returns the incarnation under which this host's keeper waits to be added.
func (coordinator *Coordinator) joiningAs() identifier.Incarnation {
	return cmp.Or(coordinator.Settings.JoiningAs, coordinator.Self.Incarnation)
}

// recordJoining records that a keeper waits to be added, or, with an empty incarnation, no longer
// does.
func (keeperMembership *keeperMembership) recordJoining(host identifier.HostID, incarnation string) {
	number, err := strconv.ParseUint(incarnation, recordNumberBase, 64)
	if err != nil {
		delete(keeperMembership.joining, host)
		return
	}
	keeperMembership.joining[host] = identifier.Incarnation(number)
}

// settle proposes the next change when dueAt is reached. Changes are made one at a time. A rejected
// one is proposed again.
func (keeperMembership *keeperMembership) settle() {
	coordinator := keeperMembership.coordinator
	if !keeperMembership.dueAt.Due(coordinator.now) {
		return
	}
	keeperMembership.dueAt = coordinator.now.Add(membershipCheckInterval)
	if !coordinator.keeper.IsLeader() {
		clear(keeperMembership.notLivingSince)
		return
	}
	if coordinator.draining {
		// The first transfer may have been abandoned.
		coordinator.notifyKeeper(&keeper.LogInput{Input: replicator.TransferRequested{}})
		return
	}
	members := coordinator.keeper.Members()
	keeperMembership.recordMissing(members)
	kind, host, wanted := keeperMembership.nextChange(members)
	if !wanted {
		return
	}
	proposed := replicator.MembershipChangeProposed{Kind: kind, Host: host, Incarnation: keeperMembership.joining[host]}
	if proposed != keeperMembership.proposed {
		keeperMembership.proposed, keeperMembership.refusal = proposed, replicator.OutcomeAccepted
	}
	keeperMembership.changes++
	proposed.Handle = changeHandles + keeperMembership.changes
	coordinator.notifyKeeper(&keeper.LogInput{Input: proposed})
}

// handleDecided reports why the newest change was refused, once for each reason in a row.
func (keeperMembership *keeperMembership) handleDecided(decided *keeper.MembershipDecided) {
	isNewest := decided.Handle == changeHandles+keeperMembership.changes
	if !isNewest || decided.Outcome == replicator.OutcomeAccepted || decided.Outcome == keeperMembership.refusal {
		return
	}
	keeperMembership.refusal = decided.Outcome
	proposed := keeperMembership.proposed
	keeperMembership.coordinator.outputs.add(&KeeperChangeRefused{Change: proposed.Kind, Host: proposed.Host, Reason: decided.Outcome})
}

// recordMissing updates notLivingSince for the members.
func (keeperMembership *keeperMembership) recordMissing(members []replicator.Member) {
	for _, member := range members {
		if keeperMembership.isLiving(member.Host) {
			delete(keeperMembership.notLivingSince, member.Host)
			continue
		}
		if _, known := keeperMembership.notLivingSince[member.Host]; !known {
			keeperMembership.notLivingSince[member.Host] = keeperMembership.coordinator.now
		}
	}
}

func (keeperMembership *keeperMembership) isLiving(host identifier.HostID) bool {
	if host == keeperMembership.coordinator.Self.Host {
		return true
	}
	state, known := keeperMembership.coordinator.gossiper.State(host)
	return known && state.Living()
}

func (keeperMembership *keeperMembership) isGone(host identifier.HostID) bool {
	since, missed := keeperMembership.notLivingSince[host]
	return missed && since.Add(replaceAfter).Due(keeperMembership.coordinator.now)
}

// isLeaving reports whether a host has announced its shutdown. It takes part until its process ends.
func (keeperMembership *keeperMembership) isLeaving(host identifier.HostID) bool {
	state, known := keeperMembership.coordinator.gossiper.State(host)
	return known && state.Status == gossiper.StatusLeft
}

// nextChange returns the change of the membership that is needed most.
func (keeperMembership *keeperMembership) nextChange(members []replicator.Member) (replicator.ChangeKind, identifier.HostID, bool) {
	self := keeperMembership.coordinator.Self.Host
	voters, learners := 0, 0
	var voterToReplace, readyLearner identifier.HostID
	for _, member := range members {
		host := member.Host
		joiningAs, joins := keeperMembership.joining[host]
		if host != self && joins && member.Incarnation != joiningAs && keeperMembership.isLiving(host) {
			// The keeper's disk lacks what the other members believe it holds, or a leader of an
			// earlier version has added it, without the incarnation that it waits for.
			return replicator.ChangeRemove, host, true
		}
		gone := keeperMembership.isGone(host)
		switch {
		case member.Role == replicator.MemberVoter:
			voters++
			if gone || keeperMembership.isLeaving(host) {
				voterToReplace = host
			}
		case gone:
			return replicator.ChangeRemove, host, true
		default:
			learners++
			readyLearner = host
		}
	}
	wanted := keeperMembership.coordinator.Settings.Voters
	switch {
	case readyLearner != "" && (voters < wanted || voterToReplace != ""):
		return replicator.ChangePromote, readyLearner, true
	case voterToReplace != "" && voters > wanted:
		return replicator.ChangeRemove, voterToReplace, true
	case learners == 0:
		// A learner beside enough voters takes the place of one that is lost without delay.
		return keeperMembership.chooseNewMember(members)
	case voters+learners < wanted:
		return keeperMembership.chooseNewMember(members)
	}
	return 0, "", false
}

// chooseNewMember returns the addition of a living keeper that is no member. It takes one from the
// failure domain with the fewest members, so that the loss of a failure domain isLeaving a quorum.
func (keeperMembership *keeperMembership) chooseNewMember(members []replicator.Member) (replicator.ChangeKind, identifier.HostID, bool) {
	counts := make(map[identifier.FailureDomain]int)
	for _, member := range members {
		if state, known := keeperMembership.coordinator.gossiper.State(member.Host); known && !keeperMembership.isGone(member.Host) {
			counts[state.Member.FailureDomain]++
		}
	}
	var best gossiper.Member
	for _, state := range keeperMembership.coordinator.gossiper.Members() {
		member := state.Member
		isMember := slices.ContainsFunc(members, func(known replicator.Member) bool { return known.Host == member.Host })
		if isMember || !state.Living() || !slices.Contains(member.Roles, gossiper.RoleKeeper) {
			continue
		}
		fewer := counts[member.FailureDomain] < counts[best.FailureDomain]
		if best.Host == "" || fewer || counts[member.FailureDomain] == counts[best.FailureDomain] && member.Host < best.Host {
			best = member
		}
	}
	if best.Host == "" {
		return 0, "", false
	}
	return replicator.ChangeAddLearner, best.Host, true
}
