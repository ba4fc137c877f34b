package replicator

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// campaignTimeoutDivisor divides the election timeout; the result is the minimum time before
// an unsuccessful campaign is retried.
const campaignTimeoutDivisor = 4

// becomeFollower makes this keeper a follower in term, of leader if the leader is known.
func (replicator *Replicator) becomeFollower(term identifier.Term, leader identifier.HostID) {
	wasLeader := replicator.role == RoleLeader
	if term > replicator.hard.Term {
		replicator.hard.Term = term
		replicator.hard.Vote = ""
	}
	replicator.role = RoleFollower
	replicator.verified = 0
	replicator.ackStamp = 0
	replicator.incoming = incomingSnapshot{}
	replicator.setLeader(leader)
	if wasLeader {
		replicator.failPendingRequests()
		replicator.resetElectionDeadline()
	}
}

func (replicator *Replicator) setLeader(leader identifier.HostID) {
	if replicator.leader == leader {
		return
	}
	replicator.leader = leader
	replicator.emit(LeaderChanged{Leader: leader, Term: replicator.hard.Term})
}

func (replicator *Replicator) resetElectionDeadline() {
	timeout := replicator.Settings.ElectionTimeout
	replicator.electionDeadline = replicator.now.Add(timeout + replicator.randomUpTo(timeout/2))
}

// campaignSyncs is the number of syncs that an election waits for one after the other, on the disks of
// the candidate and of a voter, each behind a sync under way.
const campaignSyncs = 4

// resetCampaignDeadline gives a campaign the time that the votes take to reach the disks: votes that
// arrive after the candidate has given up don't count. The random part keeps two candidates apart.
func (replicator *Replicator) resetCampaignDeadline() {
	timeout := replicator.Settings.ElectionTimeout/campaignTimeoutDivisor + campaignSyncs*replicator.syncTime()
	replicator.electionDeadline = replicator.now.Add(timeout + replicator.randomUpTo(timeout))
}

func (replicator *Replicator) randomUpTo(bound time.Duration) time.Duration {
	return time.Duration(replicator.random.Int64N(int64(bound) + 1))
}

// startPreVote asks the voters whether an election would succeed, without changing the term.
// However long a keeper is partitioned, its pre-votes fail and its term does not grow, so on
// its return it cannot depose the leader with a higher term.
func (replicator *Replicator) startPreVote() {
	replicator.setLeader("")
	replicator.yielded = false
	replicator.resetCampaignDeadline()
	if !replicator.mayVote() {
		replicator.role = RoleFollower
		return
	}
	replicator.role = RolePreCandidate
	replicator.votes = newVotes()
	replicator.requestVotes(VoteRequest{CampaignTerm: replicator.hard.Term + 1, PreVote: true})
}

// startElection raises the term and requests votes. The requests are sent only after the own
// vote and the log are synced: voters compare this log with theirs, and it must not shrink
// after they have done so.
func (replicator *Replicator) startElection(transfer bool) {
	replicator.becomeFollower(replicator.hard.Term+1, "")
	replicator.role = RoleCandidate
	replicator.hard.Vote = replicator.Self
	replicator.selfVoteSequence = replicator.journal.sequence + 1
	replicator.resetCampaignDeadline()
	replicator.votes = newVotes()
	replicator.requestVotes(VoteRequest{CampaignTerm: replicator.hard.Term, Transfer: transfer})
}

func (replicator *Replicator) requestVotes(request VoteRequest) {
	request.LastIndex = replicator.log.lastIndex()
	request.LastTerm = replicator.log.lastTerm()
	for _, member := range replicator.Members() {
		if member.Role != MemberVoter || member.Host == replicator.Self {
			continue
		}
		message := Message{VoteRequest: &request}
		if request.PreVote {
			replicator.sendNow(member.Host, message)
		} else {
			replicator.sendAfterSync(member.Host, message)
		}
	}
}

// inLease reports whether this keeper must still withhold its vote because of a promise to a
// leader.
func (replicator *Replicator) inLease() bool {
	if replicator.role == RoleLeader {
		return replicator.now.Before(replicator.stepDownDeadline())
	}
	return replicator.now.Before(replicator.lastLeaderContactAt.Add(replicator.Settings.ElectionTimeout))
}

// receiveVoteRequest votes even if its own member list has neither this keeper nor the
// candidate as a voter: that list may be older than the candidate's.
func (replicator *Replicator) receiveVoteRequest(from identifier.HostID, term identifier.Term, request *VoteRequest) {
	if replicator.joining.abstains {
		return
	}
	if replicator.inLease() && !request.Transfer {
		if request.PreVote {
			replicator.replyVote(from, request, false)
		}
		return
	}
	if term > replicator.hard.Term {
		replicator.becomeFollower(term, "")
	}
	if request.PreVote {
		granted := request.CampaignTerm > replicator.hard.Term && replicator.logIsCurrent(request)
		if granted {
			replicator.yield()
		}
		replicator.replyVote(from, request, granted)
		return
	}
	voteAvailable := replicator.hard.Vote == "" || replicator.hard.Vote == from
	granted := request.CampaignTerm == replicator.hard.Term && voteAvailable && replicator.logIsCurrent(request)
	if granted {
		replicator.hard.Vote = from
		replicator.resetElectionDeadline()
	}
	replicator.replyVote(from, request, granted)
}

// yield puts the own campaign off after a pre-vote for another candidate, whose request for votes leaves
// only after a sync. It does so once: a candidate that can't win must not hold up the others.
func (replicator *Replicator) yield() {
	if replicator.role != RoleFollower || replicator.yielded {
		return
	}
	replicator.yielded = true
	replicator.resetCampaignDeadline()
}

// logIsCurrent reports whether the candidate's log is at least as up to date as this one, so
// that it lacks no committed entry.
func (replicator *Replicator) logIsCurrent(request *VoteRequest) bool {
	if request.LastTerm != replicator.log.lastTerm() {
		return request.LastTerm > replicator.log.lastTerm()
	}
	return request.LastIndex >= replicator.log.lastIndex()
}

func (replicator *Replicator) replyVote(to identifier.HostID, request *VoteRequest, granted bool) {
	message := Message{VoteReply: &VoteReply{CampaignTerm: request.CampaignTerm, PreVote: request.PreVote, Granted: granted}}
	if request.PreVote {
		// A pre-vote promises nothing that has to be on the disk.
		replicator.sendNow(to, message)
		return
	}
	replicator.sendAfterSync(to, message)
}

func (replicator *Replicator) receiveVoteReply(from identifier.HostID, reply VoteReply) {
	campaign := replicator.hard.Term
	if reply.PreVote {
		campaign++
	}
	requested := reply.PreVote && replicator.role == RolePreCandidate || !reply.PreVote && replicator.role == RoleCandidate
	if requested && reply.Granted && reply.CampaignTerm == campaign {
		replicator.votes.Put(from, &reply)
	}
}

// tallyVotes advances a campaign once a quorum of the voters has granted it. The own vote
// counts once it is synced.
func (replicator *Replicator) tallyVotes() {
	if replicator.role != RolePreCandidate && replicator.role != RoleCandidate {
		return
	}
	granted := 0
	for _, member := range replicator.Members() {
		if member.Role == MemberVoter && replicator.hasVoteOf(member.Host) {
			granted++
		}
	}
	if granted < quorumSize(replicator.Members()) {
		return
	}
	if replicator.role == RolePreCandidate {
		replicator.startElection(false)
		return
	}
	replicator.becomeLeader()
}

func (replicator *Replicator) hasVoteOf(host identifier.HostID) bool {
	if host != replicator.Self {
		return replicator.votes.Get(host) != nil
	}
	return replicator.role == RolePreCandidate || replicator.journal.durableSequence >= replicator.selfVoteSequence
}
