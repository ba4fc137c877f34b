package replicator

// joining keeps a keeper from voting until the others have taken it in anew.
//
// A keeper that lost its disk is still a voter for the others, and has forgotten what
// it acknowledged. If it voted, it could elect a leader that lacks an accepted entry,
// and one would notice a configuration that goes back. The others remove it, add it as
// a learner and promote it once it has caught up. It votes only after it has seen
// itself as a learner and then as a voter: that it stands among the voters before says
// only that it was one in an earlier life.
//
// What it acknowledges meanwhile counts, since it is on its disk; a candidate that
// lacks it still needs the votes of keepers that hold it, because this one abstains.
type joining struct {
	// abstains tells that this keeper gives no votes and does not campaign.
	abstains bool
	// learned tells that it has seen itself as a learner.
	learned bool
}

// noteJoined follows what the log says of this keeper.
func (replicator *Replicator) noteJoined(members []Member) {
	if !replicator.joining.abstains {
		return
	}
	self, found := findMember(members, replicator.Self)
	switch {
	case !found:
	case self.Role == MemberLearner:
		replicator.joining.learned = true
	case replicator.joining.learned:
		replicator.joining.abstains = false
		replicator.emit(Joined{})
	}
}

// mayVote tells whether this keeper counts in elections.
func (replicator *Replicator) mayVote() bool {
	return !replicator.joining.abstains && isVoter(replicator.Members(), replicator.Self)
}
