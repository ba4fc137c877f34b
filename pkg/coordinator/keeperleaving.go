package coordinator

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/replicator"
)

// mayLeave reports whether the keeper of this host may end without harm to the log: another one leads,
// and the successor, if there is one, is a voter. A keeper that is replaced as planned thus stays a
// voter until the new one counts. The caller bounds the wait.
func (keeperMembership *keeperMembership) mayLeave() bool {
	coordinator := keeperMembership.coordinator
	if coordinator.keeper == nil || coordinator.Settings.Voters == 0 {
		return true
	}
	var voters []identifier.HostID
	for _, member := range coordinator.keeper.Members() {
		if member.Role == replicator.MemberVoter {
			voters = append(voters, member.Host)
		}
	}
	livingOthers := 0
	for _, host := range voters {
		if host != coordinator.Self.Host && keeperMembership.isLiving(host) {
			livingOthers++
		}
	}
	switch {
	case !slices.Contains(voters, coordinator.Self.Host) || livingOthers == 0:
		return true
	case coordinator.keeper.IsLeader():
		return false
	case !keeperMembership.hasSuccessor(voters):
		return true
	default:
		return len(voters) > coordinator.Settings.Voters && livingOthers > len(voters)/2
	}
}

// hasSuccessor reports whether a living keeper is no voter, so that it can become one.
func (keeperMembership *keeperMembership) hasSuccessor(voters []identifier.HostID) bool {
	isSuccessor := func(state gossiper.State) bool {
		member := state.Member
		return state.Living() && slices.Contains(member.Roles, gossiper.RoleKeeper) && !slices.Contains(voters, member.Host)
	}
	return slices.ContainsFunc(keeperMembership.coordinator.gossiper.Members(), isSuccessor)
}
