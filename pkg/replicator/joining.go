package replicator

import "github.com/stoathitch/stoathitch/pkg/identifier"

// joining keeps a keeper from voting until the other keepers have added it with this very disk.
//
// A keeper that lost its disk is still a voter to the others but has forgotten what it
// acknowledged. If it voted, it could elect a leader that lacks an accepted entry, and
// callers would see the configuration revert. The others remove it, add it as a learner and
// promote it once it has caught up. It votes only after it has seen itself as a voter that was
// added under its own incarnation. A keeper that loses its disk twice replays the admission of
// its former disk from the log, and entries that were acknowledged from that one may follow it.
//
// A leader of an earlier software version names no incarnation. The keeper abstains then until
// a leader of this version has added it again.
//
// What it acknowledges meanwhile counts, since it is on its disk; a candidate that lacks
// those entries still needs the votes of keepers that hold them, because this one abstains.
type joining struct {
	// abstains is set while this keeper grants no votes and does not campaign.
	abstains bool
}

// updateJoining ends the abstention once members list this keeper as a voter with this disk. Only a learner is
// ever added and promoted, so the leader has seen it caught up.
func (replicator *Replicator) updateJoining(members []Member) {
	if !replicator.joining.abstains {
		return
	}
	self, found := findMember(members, replicator.Self)
	if !found || self.Role != MemberVoter || self.Incarnation == noIncarnation || self.Incarnation != replicator.Incarnation {
		return
	}
	replicator.joining.abstains = false
	replicator.emit(Joined{})
}

// noIncarnation is the incarnation of members that did not join or were added by an earlier
// software version.
const noIncarnation identifier.Incarnation = 0

// mayVote reports whether this keeper may campaign: it is a voter and does not abstain.
func (replicator *Replicator) mayVote() bool {
	return !replicator.joining.abstains && isVoter(replicator.Members(), replicator.Self)
}
