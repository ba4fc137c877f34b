package replicator

import (
	"time"
)

// repairInterval is how often the leader's host checks whether a keeper waits to be added.
const repairInterval = 200 * time.Millisecond

// loseDisk ends a keeper's process and empties its disk; the next process joins anew.
func (simulation *simulation) loseDisk(keeper *keeper) {
	if keeper.alive {
		simulation.crash(keeper)
	}
	keeper.disk = disk{}
	keeper.initial = nil
	keeper.joining = true
}

// maintainMembers makes each leader remove the keepers that lost their disk, and add and promote
// their new processes, one change at a time.
func (simulation *simulation) maintainMembers() {
	simulation.schedule(simulation.now+repairInterval, func() {
		for _, leader := range simulation.keepers {
			if leader.alive && !leader.paused && leader.replicator.Role() == RoleLeader {
				simulation.repairMembers(leader)
			}
		}
		simulation.maintainMembers()
	})
}

func (simulation *simulation) repairMembers(leader *keeper) {
	for _, keeper := range simulation.keepers {
		if keeper == leader || !keeper.alive || keeper.paused {
			continue
		}
		waits := keeper.joining
		incarnation := keeper.replicator.Incarnation
		member, found := findMember(leader.replicator.Members(), keeper.host)
		if leader.formerVersion {
			// It remembers whom it has added and names no incarnation in the log.
			member.Incarnation = leader.added[keeper.host]
			leader.added[keeper.host] = incarnation
			incarnation = noIncarnation
		}
		change := MembershipChangeProposed{Handle: repairHandle, Host: keeper.host, Incarnation: incarnation}
		switch {
		case waits && found && member.Incarnation != keeper.replicator.Incarnation:
			change.Kind = ChangeRemove
		case waits && !found:
			change.Kind = ChangeAddLearner
		case found && member.Role == MemberLearner:
			change.Kind = ChangePromote
		default:
			continue
		}
		simulation.input(leader, change)
		return
	}
}

// repairHandle is the handle of all changes of the members; their outcomes are ignored.
const repairHandle Handle = 1 << 62
