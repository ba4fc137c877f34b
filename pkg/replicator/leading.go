package replicator

import (
	"cmp"
	"math"
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// neverHeard is the stamp of a peer that has not answered in this term.
const neverHeard identifier.Moment = math.MinInt64 / 2

// leadership is what a leader keeps beside its peers.
type leadership struct {
	since        identifier.Moment
	firstIndex   identifier.LogIndex
	heartbeatDue identifier.Moment
	// roundWanted asks for a message to every peer in this tick.
	roundWanted bool
	// leaseGivenUp holds for the rest of the term once a transfer was tried: the
	// other keeper may campaign at any later time without waiting for the lease.
	leaseGivenUp     bool
	transferTo       identifier.HostID
	transferSent     bool
	transferDeadline identifier.Moment
}

// peer is what a leader knows of another member.
type peer struct {
	// match is the last index that the peer holds on its disk.
	match identifier.LogIndex
	// next is the index to be sent next.
	next identifier.LogIndex
	// windowStart is where next last jumped to; what lies before it was not sent.
	windowStart identifier.LogIndex
	// stamp is when the newest message was sent that the peer has answered.
	stamp identifier.Moment
	// resetAt is when next was last moved back; rejections of what was sent before
	// say nothing new.
	resetAt identifier.Moment
	// transfer is the snapshot under way, or nil.
	transfer *outgoingSnapshot
}

func newVotes() *tabulator.Table[identifier.HostID, VoteReply] {
	return tabulator.New[identifier.HostID, VoteReply]()
}

func (replicator *Replicator) newPeer() *peer {
	next := replicator.log.lastIndex() + 1
	return &peer{next: next, windowStart: next, stamp: neverHeard, resetAt: neverHeard}
}

// lead starts the leadership with an entry of the new term: only once that is
// committed does the leader know what else is.
func (replicator *Replicator) lead() {
	replicator.role = RoleLeader
	replicator.leadership = leadership{
		since:            replicator.now,
		heartbeatDue:     replicator.now.Add(replicator.Settings.HeartbeatInterval),
		transferDeadline: identifier.Never,
		firstIndex:       replicator.log.lastIndex() + 1,
	}
	replicator.peers = tabulator.New[identifier.HostID, peer]()
	replicator.alignPeers()
	replicator.setLeader(replicator.Self)
	replicator.appendOwn(EntryNoOp, nil)
}

// dropLeadership reports what had been taken and not committed as unknown: the
// next leader may hold it or not.
func (replicator *Replicator) dropLeadership() {
	for _, index := range replicator.pending.Keys() {
		proposal := replicator.pending.Get(index)
		replicator.emit(ProposalOutcome{Handle: proposal.handle, Kind: OutcomeUnknown, LeaderHint: replicator.leader})
	}
	replicator.pending = tabulator.New[identifier.LogIndex, pendingProposal]()
	for _, read := range replicator.reads {
		replicator.refuseRead(read.handle, OutcomeNotLeader)
	}
	replicator.reads = nil
}

// appendOwn appends an entry of the leader's term and returns its index.
func (replicator *Replicator) appendOwn(kind EntryKind, data []byte) identifier.LogIndex {
	entry := Entry{Index: replicator.log.lastIndex() + 1, Term: replicator.hard.Term, Kind: kind, Data: data}
	replicator.journal.touched(entry.Index)
	replicator.log.append(entry)
	replicator.recordMembership(entry)
	return entry.Index
}

// quorumStamp is the newest moment such that a quorum of the voters has answered a
// message sent at or after it.
func (replicator *Replicator) quorumStamp() identifier.Moment {
	var stamps []identifier.Moment
	for _, member := range replicator.Members() {
		if member.Role != MemberVoter {
			continue
		}
		if member.Host == replicator.Self {
			stamps = append(stamps, replicator.now)
			continue
		}
		stamps = append(stamps, replicator.peers.Get(member.Host).stamp)
	}
	return nthLargest(stamps, quorumSize(replicator.Members()))
}

// nthLargest returns the n-th largest of values, or the zero value if there are
// fewer.
func nthLargest[T cmp.Ordered](values []T, n int) T {
	var none T
	if n > len(values) {
		return none
	}
	slices.Sort(values)
	return values[len(values)-n]
}

// quorumContactEnds is when the leader must step down unless a quorum answers.
func (replicator *Replicator) quorumContactEnds() identifier.Moment {
	heard := max(replicator.leadership.since, replicator.quorumStamp())
	return heard.Add(replicator.Settings.ElectionTimeout)
}

// holdsLease tells whether no other leader can have been elected yet.
func (replicator *Replicator) holdsLease() bool {
	if replicator.leadership.leaseGivenUp {
		return false
	}
	return replicator.now.Before(replicator.quorumStamp().Add(replicator.Settings.leaseDuration()))
}

// expireLeadership steps down without a quorum, gives up a transfer that takes too
// long and sends heartbeats.
func (replicator *Replicator) expireLeadership() {
	if replicator.quorumContactEnds().Due(replicator.now) {
		replicator.follow(replicator.hard.Term, "")
		return
	}
	replicator.expireTransfer()
	if replicator.leadership.heartbeatDue.Due(replicator.now) {
		replicator.leadership.roundWanted = true
	}
}

// committedInTerm tells whether an entry of the leader's own term is committed.
func (replicator *Replicator) committedInTerm() bool {
	return replicator.hard.Commit >= replicator.leadership.firstIndex
}

// advanceCommit commits what a quorum of the voters holds on disk. Entries of
// earlier terms are committed only along with one of the own: a quorum that holds
// an older one can still be overruled by a leader that lacks it.
func (replicator *Replicator) advanceCommit() {
	if replicator.role != RoleLeader {
		return
	}
	var matches []identifier.LogIndex
	for _, member := range replicator.Members() {
		if member.Role != MemberVoter {
			continue
		}
		if member.Host == replicator.Self {
			matches = append(matches, replicator.journal.durableIndex)
			continue
		}
		matches = append(matches, replicator.peers.Get(member.Host).match)
	}
	agreed := nthLargest(matches, replicator.copiesWanted())
	if agreed > replicator.hard.Commit && replicator.log.matches(agreed, replicator.hard.Term) {
		replicator.hard.Commit = agreed
	}
}

func (replicator *Replicator) receiveAppendReply(from identifier.HostID, reply *AppendReply) {
	peer := replicator.answeringPeer(from, reply.Stamp)
	if peer == nil || reply.Match > replicator.log.lastIndex() {
		return
	}
	peer.match = max(peer.match, reply.Match)
	peer.next = max(peer.next, peer.match+1)
	if peer.transfer != nil && peer.match >= peer.transfer.index {
		peer.transfer = nil
	}
	if reply.Rejected && !identifier.Moment(reply.Stamp).Before(peer.resetAt) {
		peer.sendAgainFrom(max(peer.match+1, min(peer.next, reply.Hint+1)), replicator.now)
	}
}

// answeringPeer returns the peer that answered a message of this leader's term,
// with its stamp noted, or nil.
func (replicator *Replicator) answeringPeer(from identifier.HostID, stamp Stamp) *peer {
	if replicator.role != RoleLeader {
		return nil
	}
	peer := replicator.peers.Get(from)
	if peer != nil {
		peer.stamp = max(peer.stamp, identifier.Moment(stamp))
	}
	return peer
}

// peerReachable tries a peer at once that may have missed much.
func (replicator *Replicator) peerReachable(host identifier.HostID) {
	if replicator.role == RoleLeader && replicator.peers.Get(host) != nil {
		replicator.sendHeartbeat(host, replicator.peers.Get(host))
	}
}

// peerUnreachable goes back to what the peer has confirmed.
func (replicator *Replicator) peerUnreachable(host identifier.HostID) {
	if replicator.role != RoleLeader || replicator.peers.Get(host) == nil {
		return
	}
	peer := replicator.peers.Get(host)
	peer.sendAgainFrom(peer.match+1, replicator.now)
}

func (peer *peer) sendAgainFrom(index identifier.LogIndex, now identifier.Moment) {
	peer.next = index
	peer.windowStart = index
	peer.resetAt = now
}
