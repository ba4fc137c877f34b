package replicator

// joining keeps a keeper from voting until the other keepers have added it again.
//
// A keeper that lost its disk is still a voter to the others but has forgotten what it
// acknowledged. If it voted, it could elect a leader that lacks an accepted entry, and
// callers would see the configuration revert. The others remove it, add it as a learner and
// promote it once it has caught up. It votes only after it has seen itself first as a learner
// and then as a voter: being listed as a voter before that only means that an earlier
// incarnation was one.
//
// What it acknowledges meanwhile counts, since it is on its disk; a candidate that lacks
// those entries still needs the votes of keepers that hold them, because this one abstains.
type joining struct {
	// abstains is set while this keeper grants no votes and does not campaign.
	abstains bool
	// seenAsLearner is set once this keeper has seen itself as a learner.
	seenAsLearner bool
}

// updateJoining advances the joining state by the role that members give this keeper.
func (replicator *Replicator) updateJoining(members []Member) {
	if !replicator.joining.abstains {
		return
	}
	self, found := findMember(members, replicator.Self)
	switch {
	case !found:
	case self.Role == MemberLearner:
		replicator.joining.seenAsLearner = true
	case replicator.joining.seenAsLearner:
		replicator.joining.abstains = false
		replicator.emit(Joined{})
	}
}

// mayVote reports whether this keeper may campaign: it is a voter and does not abstain.
func (replicator *Replicator) mayVote() bool {
	return !replicator.joining.abstains && isVoter(replicator.Members(), replicator.Self)
}
