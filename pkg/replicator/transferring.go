package replicator

import "github.com/stoathitch/stoathitch/pkg/identifier"

// requestTransfer starts to hand the leadership over. No proposals are taken
// meanwhile, so that the other keeper can reach the end of the log.
func (replicator *Replicator) requestTransfer() {
	leadership := &replicator.leadership
	if replicator.role != RoleLeader || leadership.transferTo != "" {
		return
	}
	best := identifier.HostID("")
	for _, host := range replicator.peers.Keys() {
		peer := replicator.peers.Get(host)
		if !isVoter(replicator.Members(), host) || !replicator.inTouch(peer) {
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

// finishTransfer asks the other keeper to campaign once it holds the whole log.
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

// expireTransfer takes proposals again if the other keeper did not take over. The
// lease stays given up for this term: that keeper may still campaign.
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
