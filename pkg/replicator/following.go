package replicator

import "github.com/stoathitch/stoathitch/pkg/identifier"

// recordLeaderContact records that from leads the current term and is alive.
func (replicator *Replicator) recordLeaderContact(from identifier.HostID, stamp Stamp) {
	if replicator.role != RoleFollower || replicator.leader != from {
		replicator.becomeFollower(replicator.hard.Term, from)
	}
	replicator.lastLeaderContactAt = replicator.now
	replicator.yielded = false
	replicator.ackStamp = max(replicator.ackStamp, stamp)
	replicator.resetElectionDeadline()
}

// receiveAppend makes the log match the leader's. Entries are acknowledged once they are
// synced; a heartbeat is acknowledged at once, since the lease must not depend on a slow
// disk.
func (replicator *Replicator) receiveAppend(from identifier.HostID, message *Append) {
	if replicator.role == RoleLeader {
		return
	}
	replicator.recordLeaderContact(from, message.Stamp)
	previous, entries := replicator.skipCompacted(message)
	if !replicator.matchesPrevious(message) {
		replicator.rejectAppend(message)
		return
	}
	for position, entry := range entries {
		if replicator.log.matches(entry.Index, entry.Term) {
			continue
		}
		replicator.replaceEntries(entries[position:])
		break
	}
	end := previous + identifier.LogIndex(len(entries))
	replicator.verified = max(replicator.verified, end)
	replicator.hard.Commit = max(replicator.hard.Commit, min(message.Commit, replicator.verified))
	if len(message.Entries) == 0 || replicator.journal.durableIndex >= replicator.verified {
		replicator.acknowledge()
	}
}

// skipCompacted drops the entries that the own snapshot covers. They are committed, so they
// equal the leader's.
func (replicator *Replicator) skipCompacted(message *Append) (identifier.LogIndex, []Entry) {
	if message.PreviousIndex >= replicator.log.base {
		return message.PreviousIndex, message.Entries
	}
	covered := int(replicator.log.base - message.PreviousIndex)
	if covered >= len(message.Entries) {
		return message.PreviousIndex + identifier.LogIndex(len(message.Entries)), nil
	}
	return replicator.log.base, message.Entries[covered:]
}

// matchesPrevious reports whether the log holds the entry before the append's. An entry that
// the own snapshot covers is committed, so it matches.
func (replicator *Replicator) matchesPrevious(message *Append) bool {
	if message.PreviousIndex < replicator.log.base {
		return true
	}
	return replicator.log.matches(message.PreviousIndex, message.PreviousTerm)
}

// replaceEntries replaces the log from the first of the entries on. A leader that contradicts
// a committed entry shows that a keeper has lost data that it had synced; halting preserves
// the accepted entry.
func (replicator *Replicator) replaceEntries(entries []Entry) {
	first := entries[0].Index
	if first <= replicator.hard.Commit {
		replicator.halt(inconsistentJournal("the leader contradicts a committed entry"))
		return
	}
	if first <= replicator.log.lastIndex() {
		replicator.log.truncateFrom(first)
		if replicator.memberships.lastIndex() >= first {
			replicator.memberships.truncateFrom(first)
			replicator.membershipUpdated()
		}
	}
	replicator.journal.markDirty(first)
	replicator.log.append(entries...)
	for _, entry := range entries {
		replicator.recordMembership(entry)
	}
}

// rejectAppend sends the leader a hint where the logs may match: before all entries of the
// conflicting term, so that the leader needs one round trip per term and not per entry.
func (replicator *Replicator) rejectAppend(message *Append) {
	hint := replicator.log.lastIndex()
	if message.PreviousIndex <= hint {
		hint = replicator.log.lastIndexBelowTermAt(message.PreviousIndex)
	}
	hint = max(hint, replicator.hard.Commit)
	reply := AppendReply{Match: replicator.durableMatch(), Stamp: message.Stamp, Rejected: true, Hint: hint}
	replicator.sendNow(replicator.leader, Message{AppendReply: &reply})
}

// durableMatch returns the last index up to which the log is both equal to the leader's and
// synced.
func (replicator *Replicator) durableMatch() identifier.LogIndex {
	return min(replicator.verified, replicator.journal.durableIndex)
}

func (replicator *Replicator) acknowledge() {
	reply := AppendReply{Match: replicator.durableMatch(), Stamp: replicator.ackStamp}
	replicator.sendNow(replicator.leader, Message{AppendReply: &reply})
}
