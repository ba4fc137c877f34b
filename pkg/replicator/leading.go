package replicator

import (
	"cmp"
	"math"
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// neverResponded is the stamp of a peer that has not responded in this term.
const neverResponded identifier.Moment = math.MinInt64 / 2

// leadership is the state of a leader apart from its peers.
type leadership struct {
	since        identifier.Moment
	firstIndex   identifier.LogIndex
	heartbeatDue identifier.Moment
	// roundRequested makes this tick send a message to every peer.
	roundRequested bool
	// leaseGivenUp is set for the rest of the term once the target of a transfer was asked to
	// campaign: the target may campaign at any later time without waiting for the lease.
	leaseGivenUp     bool
	transferTo       identifier.HostID
	transferSent     bool
	transferDeadline identifier.Moment
}

// peer is a leader's view of another member.
type peer struct {
	// match is the last index that the peer holds on its disk.
	match identifier.LogIndex
	// matchKnown is set once the peer has accepted a message of this term, so that match counts
	// all that it holds on its disk.
	matchKnown bool
	// next is the next index to send.
	next identifier.LogIndex
	// windowStart is where next was last reset to; entries before it were not sent since, so
	// they do not count as in flight.
	windowStart identifier.LogIndex
	// stamp is the send time of the newest message that the peer has answered.
	stamp identifier.Moment
	// resetAt is when next was last moved back; rejections of messages sent before then are
	// outdated.
	resetAt identifier.Moment
	// transfer is the snapshot in transfer to the peer, or nil.
	transfer *outgoingSnapshot
	catchUp  catchUpRound
}

func newVotes() *tabulator.Table[identifier.HostID, VoteReply] {
	return tabulator.New[identifier.HostID, VoteReply]()
}

func (replicator *Replicator) newPeer() *peer {
	next := replicator.log.lastIndex() + 1
	return &peer{
		next: next, windowStart: next, stamp: neverResponded, resetAt: neverResponded,
		catchUp: catchUpRound{target: next - 1, began: replicator.now, keptUpAt: neverResponded},
	}
}

// becomeLeader starts the leadership with an entry of the new term: the leader knows which
// earlier entries are committed only once that one is.
func (replicator *Replicator) becomeLeader() {
	replicator.role = RoleLeader
	replicator.leadership = leadership{
		since:            replicator.now,
		heartbeatDue:     replicator.now.Add(replicator.Settings.HeartbeatInterval),
		transferDeadline: identifier.Never,
		firstIndex:       replicator.log.lastIndex() + 1,
	}
	replicator.peers = tabulator.New[identifier.HostID, peer]()
	replicator.reconcilePeers()
	replicator.setLeader(replicator.Self)
	replicator.appendAsLeader(EntryNoOp, nil)
}

// failPendingRequests reports proposals that were appended and not committed as unknown,
// since the next leader may or may not hold them, and refuses pending reads.
func (replicator *Replicator) failPendingRequests() {
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

// appendAsLeader appends an entry of the leader's term and returns its index.
func (replicator *Replicator) appendAsLeader(kind EntryKind, data []byte) identifier.LogIndex {
	entry := Entry{Index: replicator.log.lastIndex() + 1, Term: replicator.hard.Term, Kind: kind, Data: data}
	replicator.journal.markDirty(entry.Index)
	replicator.log.append(entry)
	replicator.recordMembership(entry)
	return entry.Index
}

// quorumStamp returns the latest moment such that a quorum of the voters has answered a
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

// stepDownDeadline returns when the leader must step down unless a quorum responds before.
func (replicator *Replicator) stepDownDeadline() identifier.Moment {
	lastQuorumContact := max(replicator.leadership.since, replicator.quorumStamp())
	return lastQuorumContact.Add(replicator.Settings.ElectionTimeout)
}

// holdsLease reports whether it is certain that no other leader has been elected yet.
func (replicator *Replicator) holdsLease() bool {
	if replicator.leadership.leaseGivenUp {
		return false
	}
	return replicator.now.Before(replicator.quorumStamp().Add(replicator.Settings.leaseDuration()))
}

// ownDiskLags reports whether the own disk alone holds the leader back: a quorum commits without
// it, and so much data waits for it that proposals are refused.
func (replicator *Replicator) ownDiskLags() bool {
	durable := replicator.journal.durableIndex
	waiting := replicator.log.bytesAfter(durable, replicator.log.lastIndex())
	return replicator.hard.Commit > durable && waiting >= replicator.Settings.MaxUncommittedBytes
}

// expireLeadership steps down if no quorum responds, abandons a transfer that takes too long, starts
// one if the own disk lags, and schedules heartbeats.
func (replicator *Replicator) expireLeadership() {
	if replicator.stepDownDeadline().Due(replicator.now) {
		replicator.becomeFollower(replicator.hard.Term, "")
		return
	}
	replicator.expireTransfer()
	if replicator.ownDiskLags() {
		replicator.requestTransfer()
	}
	if replicator.leadership.heartbeatDue.Due(replicator.now) {
		replicator.leadership.roundRequested = true
	}
}

// committedInTerm reports whether an entry of the leader's own term is committed.
func (replicator *Replicator) committedInTerm() bool {
	return replicator.hard.Commit >= replicator.leadership.firstIndex
}

// advanceCommit commits the entries that enough voters hold on disk. Entries of earlier terms
// are committed only together with one of the own term: an older entry that a quorum holds
// can still be overwritten by a leader that lacks it.
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
	agreed := nthLargest(matches, replicator.requiredCopies())
	if agreed > replicator.hard.Commit && replicator.log.matches(agreed, replicator.hard.Term) {
		replicator.hard.Commit = agreed
	}
}

func (replicator *Replicator) receiveAppendReply(from identifier.HostID, reply *AppendReply) {
	peer := replicator.respondingPeer(from, reply.Stamp)
	if peer == nil || reply.Match > replicator.log.lastIndex() {
		return
	}
	peer.match = max(peer.match, reply.Match)
	peer.matchKnown = peer.matchKnown || !reply.Rejected
	peer.catchUp.advance(peer.match, replicator.hard.Commit, replicator.now, replicator.Settings.ElectionTimeout)
	peer.next = max(peer.next, peer.match+1)
	if peer.transfer != nil && peer.match >= peer.transfer.index {
		peer.transfer = nil
	}
	if reply.Rejected && !identifier.Moment(reply.Stamp).Before(peer.resetAt) {
		peer.resendFrom(max(peer.match+1, min(peer.next, reply.Hint+1)), replicator.now)
	}
}

// respondingPeer records the stamp of a response and returns the peer that sent it, or nil if
// this keeper does not lead or from is not a peer.
func (replicator *Replicator) respondingPeer(from identifier.HostID, stamp Stamp) *peer {
	if replicator.role != RoleLeader {
		return nil
	}
	peer := replicator.peers.Get(from)
	if peer != nil {
		peer.stamp = max(peer.stamp, identifier.Moment(stamp))
	}
	return peer
}

// handlePeerReachable sends a heartbeat at once, since the peer may have missed many
// messages.
func (replicator *Replicator) handlePeerReachable(host identifier.HostID) {
	if replicator.role == RoleLeader && replicator.peers.Get(host) != nil {
		replicator.sendHeartbeat(host, replicator.peers.Get(host))
	}
}

// handlePeerUnreachable resumes sending after the last index that the peer has acknowledged.
func (replicator *Replicator) handlePeerUnreachable(host identifier.HostID) {
	if replicator.role != RoleLeader || replicator.peers.Get(host) == nil {
		return
	}
	peer := replicator.peers.Get(host)
	peer.resendFrom(peer.match+1, replicator.now)
}

func (peer *peer) resendFrom(index identifier.LogIndex, now identifier.Moment) {
	peer.next = index
	peer.windowStart = index
	peer.resetAt = now
}
