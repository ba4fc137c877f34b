package replicator

import "github.com/stoathitch/stoathitch/pkg/identifier"

// requestTransfer starts to transfer the leadership. Proposals are refused meanwhile, so that
// the target can reach the end of the log.
func (replicator *Replicator) requestTransfer() {
	leadership := &replicator.leadership
	if replicator.role != RoleLeader || leadership.transferTo != "" {
		return
	}
	best := identifier.HostID("")
	for _, host := range replicator.peers.Keys() {
		peer := replicator.peers.Get(host)
		if !isVoter(replicator.Members(), host) || !replicator.respondedRecently(peer) {
			continue
		}
		if best == "" || peer.match > replicator.peers.Get(best).match {
			best = host
		}
	}
	if best == "" {
		replicator.emit(TransferAbandoned{})
		return
	}
	leadership.transferTo = best
	leadership.transferDeadline = replicator.now.Add(replicator.Settings.ElectionTimeout)
}

// finishTransfer asks the target to campaign once it holds the whole log.
func (replicator *Replicator) finishTransfer() {
	leadership := &replicator.leadership
	if leadership.transferTo == "" || leadership.transferSent {
		return
	}
	peer := replicator.peers.Get(leadership.transferTo)
	if peer == nil || peer.match < replicator.log.lastIndex() {
		return
	}
	leadership.transferSent = true
	leadership.leaseGivenUp = true
	replicator.sendNow(leadership.transferTo, Message{CampaignNow: &CampaignNow{}})
}

// expireTransfer lets the leader accept proposals again if the target did not take over. The
// lease stays given up for this term, since the target may still campaign.
func (replicator *Replicator) expireTransfer() {
	leadership := &replicator.leadership
	if !leadership.transferDeadline.Due(replicator.now) {
		return
	}
	leadership.transferTo = ""
	leadership.transferSent = false
	leadership.transferDeadline = identifier.Never
	replicator.emit(TransferAbandoned{})
}

func (replicator *Replicator) receiveCampaignNow(from identifier.HostID) {
	if replicator.role != RoleFollower || replicator.leader != from || !replicator.mayVote() {
		return
	}
	replicator.startElection(true)
}
