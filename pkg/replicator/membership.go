package replicator

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// membershipHistory holds the members as of the log's base and each later change. A change
// takes effect when it is appended, committed or not; if its entry is removed again, the
// previous one takes effect again.
type membershipHistory []membershipChange

type membershipChange struct {
	index   identifier.LogIndex
	members []Member
}

func (history membershipHistory) current() []Member {
	if len(history) == 0 {
		return nil
	}
	return history[len(history)-1].members
}

func (history membershipHistory) lastIndex() identifier.LogIndex {
	if len(history) == 0 {
		return 0
	}
	return history[len(history)-1].index
}

// at returns the members in effect at index.
func (history membershipHistory) at(index identifier.LogIndex) []Member {
	var members []Member
	for _, change := range history {
		if change.index <= index {
			members = change.members
		}
	}
	return members
}

func (history *membershipHistory) truncateFrom(index identifier.LogIndex) {
	kept := len(*history)
	for kept > 1 && (*history)[kept-1].index >= index {
		kept--
	}
	*history = (*history)[:kept]
}

// compactTo drops all but the newest of the changes up to index.
func (history *membershipHistory) compactTo(index identifier.LogIndex) {
	first := 0
	for first+1 < len(*history) && (*history)[first+1].index <= index {
		first++
	}
	*history = slices.Clone((*history)[first:])
}

func findMember(members []Member, host identifier.HostID) (Member, bool) {
	for _, member := range members {
		if member.Host == host {
			return member, true
		}
	}
	return Member{}, false
}

func isVoter(members []Member, host identifier.HostID) bool {
	member, found := findMember(members, host)
	return found && member.Role == MemberVoter
}

func countVoters(members []Member) int {
	voters := 0
	for _, member := range members {
		if member.Role == MemberVoter {
			voters++
		}
	}
	return voters
}

// quorumSize returns the smallest majority of the voters.
func quorumSize(members []Member) int { return countVoters(members)/2 + 1 }

// requiredCopies returns how many voters must hold an entry before it is committed. While
// there are few voters, a majority of them may be no more than the disks that can be lost at
// once.
func (replicator *Replicator) requiredCopies() int {
	members := replicator.Members()
	return max(quorumSize(members), min(replicator.Settings.MinCopies, countVoters(members)))
}

// membersAfterChange returns the members after a change, or false if the change does not
// apply to them.
func membersAfterChange(members []Member, change MembershipChangeProposed) ([]Member, bool) {
	host := change.Host
	member, found := findMember(members, host)
	switch change.Kind {
	case ChangeAddLearner:
		if found || host == "" {
			return nil, false
		}
		return append(slices.Clone(members), Member{Host: host, Role: MemberLearner, Incarnation: change.Incarnation}), true
	case ChangePromote:
		if !found || member.Role != MemberLearner {
			return nil, false
		}
		changed := slices.Clone(members)
		changed[slices.Index(changed, member)].Role = MemberVoter
		return changed, true
	case ChangeRemove:
		if !found {
			return nil, false
		}
		changed := slices.Clone(members)
		return slices.Delete(changed, slices.Index(changed, member), slices.Index(changed, member)+1), true
	}
	return nil, false
}

// proposeMembershipChange appends one change. Changes are made one at a time and only after
// an entry of the leader's own term is committed: otherwise two leaders could count quorums
// that do not overlap.
func (replicator *Replicator) proposeMembershipChange(proposal MembershipChangeProposed) {
	refusal, refused := replicator.refusalReason()
	if refused {
		replicator.refuseProposal(proposal.Handle, refusal)
		return
	}
	changed, applicable := membersAfterChange(replicator.Members(), proposal)
	if !applicable || proposal.Kind == ChangeRemove && proposal.Host == replicator.Self {
		replicator.refuseProposal(proposal.Handle, OutcomeNoSuchChange)
		return
	}
	if !replicator.committedInTerm() || replicator.memberships.lastIndex() > replicator.hard.Commit {
		replicator.refuseProposal(proposal.Handle, OutcomeChangeInProgress)
		return
	}
	if proposal.Kind == ChangePromote && !replicator.learnerCaughtUp(proposal.Host) {
		replicator.refuseProposal(proposal.Handle, OutcomeNotCaughtUp)
		return
	}
	if proposal.Kind != ChangeAddLearner && replicator.countRespondingVoters(changed) < quorumSize(changed) {
		replicator.refuseProposal(proposal.Handle, OutcomeQuorumAtRisk)
		return
	}
	data, err := encode("encode members", changed)
	if err != nil {
		replicator.refuseProposal(proposal.Handle, OutcomeNoSuchChange)
		return
	}
	index := replicator.appendAsLeader(EntryMembership, data)
	replicator.pending.Put(index, &pendingProposal{handle: proposal.Handle})
}

func (replicator *Replicator) respondedRecently(peer *peer) bool {
	return replicator.now.Before(peer.stamp.Add(replicator.Settings.ElectionTimeout))
}

// countRespondingVoters counts the voters among members that have responded to this leader
// recently.
func (replicator *Replicator) countRespondingVoters(members []Member) int {
	count := 0
	for _, member := range members {
		if member.Role != MemberVoter {
			continue
		}
		peer := replicator.peers.Get(member.Host)
		if member.Host == replicator.Self || peer != nil && replicator.respondedRecently(peer) {
			count++
		}
	}
	return count
}

// recordMembership puts the members of a membership entry into effect.
func (replicator *Replicator) recordMembership(entry Entry) {
	if entry.Kind != EntryMembership {
		return
	}
	var members []Member
	if err := decode("decode members", entry.Data, &members); err != nil {
		replicator.halt(err)
		return
	}
	replicator.memberships = append(replicator.memberships, membershipChange{entry.Index, members})
	replicator.updateJoining(members)
	replicator.membershipUpdated()
}

func (replicator *Replicator) membershipUpdated() {
	replicator.emit(MembershipChanged{Members: slices.Clone(replicator.Members())})
	if replicator.role == RoleLeader {
		replicator.reconcilePeers()
	}
}

// reconcilePeers makes the table of peers hold exactly the other members.
func (replicator *Replicator) reconcilePeers() {
	members := replicator.Members()
	for _, host := range replicator.peers.Keys() {
		if _, found := findMember(members, host); !found {
			replicator.peers.Remove(host)
		}
	}
	for _, member := range members {
		if member.Host != replicator.Self && replicator.peers.Get(member.Host) == nil {
			replicator.peers.Put(member.Host, replicator.newPeer())
		}
	}
}
