package replicator

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// campaignShare divides the election timeout into the time that a campaign gets
// before it is tried again.
const campaignShare = 4

// follow makes this keeper a follower in term, of leader if it is known.
func (replicator *Replicator) follow(term identifier.Term, leader identifier.HostID) {
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
		replicator.dropLeadership()
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

func (replicator *Replicator) resetCampaignDeadline() {
	timeout := replicator.Settings.ElectionTimeout / campaignShare
	replicator.electionDeadline = replicator.now.Add(timeout + replicator.randomUpTo(timeout))
}

func (replicator *Replicator) randomUpTo(bound time.Duration) time.Duration {
	return time.Duration(replicator.random.Int64N(int64(bound) + 1))
}

// startPreVote asks whether an election would succeed, without touching the term.
// A keeper that is cut off asks in vain however long it lasts, so its term does not
// grow, and on its return it can't unseat the leader by a higher one.
func (replicator *Replicator) startPreVote() {
	replicator.setLeader("")
	replicator.resetCampaignDeadline()
	if !replicator.mayVote() {
		replicator.role = RoleFollower
		return
	}
	replicator.role = RolePreCandidate
	replicator.votes = newVotes()
	replicator.askForVotes(VoteRequest{CampaignTerm: replicator.hard.Term + 1, PreVote: true})
}

// startElection raises the term and asks for votes. The requests leave only after
// the own vote and the log are synced: voters compare this log with theirs, and
// it must not shrink after they did.
func (replicator *Replicator) startElection(transfer bool) {
	replicator.follow(replicator.hard.Term+1, "")
	replicator.role = RoleCandidate
	replicator.hard.Vote = replicator.Self
	replicator.selfVoteSequence = replicator.journal.sequence + 1
	replicator.resetCampaignDeadline()
	replicator.votes = newVotes()
	replicator.askForVotes(VoteRequest{CampaignTerm: replicator.hard.Term, Transfer: transfer})
}

func (replicator *Replicator) askForVotes(request VoteRequest) {
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
			replicator.sendDurably(member.Host, message)
		}
	}
}

// inLease tells whether this keeper has promised a leader not to vote yet.
func (replicator *Replicator) inLease() bool {
	if replicator.role == RoleLeader {
		return replicator.now.Before(replicator.quorumContactEnds())
	}
	return replicator.now.Before(replicator.heardLeaderAt.Add(replicator.Settings.ElectionTimeout))
}

// receiveVoteRequest votes whether or not this keeper or the candidate is a voter
// by its own members: they may be older than the candidate's.
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
		replicator.follow(term, "")
	}
	if request.PreVote {
		granted := request.CampaignTerm > replicator.hard.Term && replicator.logIsCurrent(request)
		replicator.replyVote(from, request, granted)
		return
	}
	free := replicator.hard.Vote == "" || replicator.hard.Vote == from
	granted := request.CampaignTerm == replicator.hard.Term && free && replicator.logIsCurrent(request)
	if granted {
		replicator.hard.Vote = from
		replicator.resetElectionDeadline()
	}
	replicator.replyVote(from, request, granted)
}

// logIsCurrent tells whether the candidate's log holds at least what this one
// does, so that nothing committed is missing from it.
func (replicator *Replicator) logIsCurrent(request *VoteRequest) bool {
	if request.LastTerm != replicator.log.lastTerm() {
		return request.LastTerm > replicator.log.lastTerm()
	}
	return request.LastIndex >= replicator.log.lastIndex()
}

func (replicator *Replicator) replyVote(to identifier.HostID, request *VoteRequest, granted bool) {
	reply := VoteReply{CampaignTerm: request.CampaignTerm, PreVote: request.PreVote, Granted: granted}
	replicator.sendDurably(to, Message{VoteReply: &reply})
}

func (replicator *Replicator) receiveVoteReply(from identifier.HostID, reply VoteReply) {
	campaign := replicator.hard.Term
	if reply.PreVote {
		campaign++
	}
	asked := reply.PreVote && replicator.role == RolePreCandidate || !reply.PreVote && replicator.role == RoleCandidate
	if asked && reply.Granted && reply.CampaignTerm == campaign {
		replicator.votes.Put(from, &reply)
	}
}

// tallyVotes moves a campaign on once a quorum of the voters has granted it. The
// own vote counts once it is synced.
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
	replicator.lead()
}

func (replicator *Replicator) hasVoteOf(host identifier.HostID) bool {
	if host != replicator.Self {
		return replicator.votes.Get(host) != nil
	}
	return replicator.role == RolePreCandidate || replicator.journal.durableSequence >= replicator.selfVoteSequence
}
