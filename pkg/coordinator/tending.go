package coordinator

import (
	"slices"
	"strconv"
	"time"

	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/keeper"
	"github.com/stoathitch/stoathitch/pkg/replicator"
)

const (
	// tendingInterval is how often the leader of the keepers looks at its members. A
	// change takes two syncs, about 20 ms; a keeper that lost its disk needs three
	// changes and must count again within seconds.
	tendingInterval = 200 * time.Millisecond
	// goneAfter is how long a keeper must not have lived before another takes its
	// place: longer than a restart takes.
	goneAfter = 3 * time.Second
	// changeHandles is the first handle of membership changes, away from those of
	// commands.
	changeHandles replicator.Handle = 1 << 62
)

// tending keeps the members of the keepers' log fit for what may be lost: the leader
// takes in keepers that are new or have lost their disk, and lets one take the place of
// another that is gone.
type tending struct {
	coordinator *Coordinator
	dueAt       identifier.Moment
	// joining holds the incarnation of each keeper that waits to be taken in.
	joining map[identifier.HostID]string
	// taken holds the incarnation under which this leader has added a keeper.
	taken map[identifier.HostID]string
	// missedSince is since when a member has not lived.
	missedSince map[identifier.HostID]identifier.Moment
	changes     replicator.Handle
}

func newTending(coordinator *Coordinator) *tending {
	created := &tending{
		coordinator: coordinator, dueAt: identifier.Never,
		joining:     make(map[identifier.HostID]string),
		taken:       make(map[identifier.HostID]string),
		missedSince: make(map[identifier.HostID]identifier.Moment),
	}
	if coordinator.keeper == nil || coordinator.Settings.Voters == 0 {
		return created
	}
	created.dueAt = coordinator.now
	if coordinator.Settings.JoinKeepers {
		incarnation := strconv.FormatUint(uint64(coordinator.Self.Incarnation), recordNumberBase)
		coordinator.publish(joiningRecordKey, incarnation)
	}
	return created
}

// learnJoining notes that a keeper waits to be taken in, or no longer does.
func (tending *tending) learnJoining(host identifier.HostID, incarnation string) {
	if incarnation == "" {
		delete(tending.joining, host)
		return
	}
	tending.joining[host] = incarnation
}

// settle proposes the next change when it is due. Changes go one at a time; one that is
// refused now is proposed again.
func (tending *tending) settle() {
	coordinator := tending.coordinator
	if !tending.dueAt.Due(coordinator.now) {
		return
	}
	tending.dueAt = coordinator.now.Add(tendingInterval)
	if !coordinator.keeper.Leads() {
		clear(tending.taken)
		clear(tending.missedSince)
		return
	}
	members := coordinator.keeper.Members()
	tending.noteMissed(members)
	kind, host, wanted := tending.next(members)
	if !wanted {
		return
	}
	tending.changes++
	coordinator.tellKeeper(&keeper.ToLog{Input: replicator.MembershipChangeProposed{
		Handle: changeHandles + tending.changes, Kind: kind, Host: host,
	}})
}

// noteMissed follows since when members have not lived.
func (tending *tending) noteMissed(members []replicator.Member) {
	for _, member := range members {
		if tending.lives(member.Host) {
			delete(tending.missedSince, member.Host)
			continue
		}
		if _, known := tending.missedSince[member.Host]; !known {
			tending.missedSince[member.Host] = tending.coordinator.now
		}
	}
}

func (tending *tending) lives(host identifier.HostID) bool {
	if host == tending.coordinator.Self.Host {
		return true
	}
	state, known := tending.coordinator.gossiper.State(host)
	return known && state.Living()
}

func (tending *tending) gone(host identifier.HostID) bool {
	since, missed := tending.missedSince[host]
	return missed && since.Add(goneAfter).Due(tending.coordinator.now)
}

// next returns the change that the members need most.
func (tending *tending) next(members []replicator.Member) (replicator.ChangeKind, identifier.HostID, bool) {
	self := tending.coordinator.Self.Host
	voters, learners := 0, 0
	var goneVoter, readyLearner identifier.HostID
	for _, member := range members {
		host := member.Host
		waits := tending.joining[host]
		if host != self && waits != "" && tending.taken[host] != waits && tending.lives(host) {
			// Its disk holds nothing of what the members believe that it holds.
			return replicator.ChangeRemove, host, true
		}
		gone := tending.gone(host)
		switch {
		case member.Role == replicator.MemberVoter:
			voters++
			if gone {
				goneVoter = host
			}
		case gone:
			return replicator.ChangeRemove, host, true
		default:
			learners++
			readyLearner = host
		}
	}
	wanted := tending.coordinator.Settings.Voters
	switch {
	case readyLearner != "" && (voters < wanted || goneVoter != ""):
		return replicator.ChangePromote, readyLearner, true
	case goneVoter != "" && voters > wanted:
		return replicator.ChangeRemove, goneVoter, true
	case voters+learners < wanted || goneVoter != "" && learners == 0:
		return tending.add(members)
	}
	return 0, "", false
}

// add takes in a living keeper that is no member, of the failure domain with the
// fewest, so that the loss of one failure domain leaves a quorum.
func (tending *tending) add(members []replicator.Member) (replicator.ChangeKind, identifier.HostID, bool) {
	counts := make(map[identifier.FailureDomain]int)
	for _, member := range members {
		if state, known := tending.coordinator.gossiper.State(member.Host); known && !tending.gone(member.Host) {
			counts[state.Member.FailureDomain]++
		}
	}
	var best gossiper.Member
	for _, state := range tending.coordinator.gossiper.Members() {
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
	tending.taken[best.Host] = tending.joining[best.Host]
	return replicator.ChangeAddLearner, best.Host, true
}
