package replicator

import "github.com/stoathitch/stoathitch/pkg/identifier"

// hearLeader notes that from leads the current term and is alive.
func (replicator *Replicator) hearLeader(from identifier.HostID, stamp Stamp) {
	if replicator.role != RoleFollower || replicator.leader != from {
		replicator.follow(replicator.hard.Term, from)
	}
	replicator.heardLeaderAt = replicator.now
	replicator.ackStamp = max(replicator.ackStamp, stamp)
	replicator.resetElectionDeadline()
}

// receiveAppend makes the log agree with the leader's. Entries are acknowledged
// once they are synced; a heartbeat at once, since the lease must not hang on a
// slow disk.
func (replicator *Replicator) receiveAppend(from identifier.HostID, message *Append) {
	if replicator.role == RoleLeader {
		return
	}
	replicator.hearLeader(from, message.Stamp)
	previous, entries := replicator.skipCompacted(message)
	if !replicator.agreesAt(message) {
		replicator.rejectAppend(message)
		return
	}
	for position, entry := range entries {
		if replicator.log.matches(entry.Index, entry.Term) {
			continue
		}
		replicator.takeEntries(entries[position:])
		break
	}
	end := previous + identifier.LogIndex(len(entries))
	replicator.verified = max(replicator.verified, end)
	replicator.hard.Commit = max(replicator.hard.Commit, min(message.Commit, replicator.verified))
	if len(message.Entries) == 0 || replicator.journal.durableIndex >= replicator.verified {
		replicator.acknowledge()
	}
}

// skipCompacted drops the entries that the own snapshot covers. They are committed,
// so they are the same here.
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

// agreesAt tells whether the log holds the entry before the append's. What the own
// snapshot covers is committed, so it agrees.
func (replicator *Replicator) agreesAt(message *Append) bool {
	if message.PreviousIndex < replicator.log.base {
		return true
	}
	return replicator.log.matches(message.PreviousIndex, message.PreviousTerm)
}

// takeEntries replaces the log from the first of the entries on. A leader that
// contradicts a committed entry shows that a keeper has lost what it had synced;
// stopping keeps the accepted one.
func (replicator *Replicator) takeEntries(entries []Entry) {
	first := entries[0].Index
	if first <= replicator.hard.Commit {
		replicator.halt(inconsistentJournal("the leader contradicts a committed entry"))
		return
	}
	if first <= replicator.log.lastIndex() {
		replicator.log.truncateFrom(first)
		if replicator.memberships.lastIndex() >= first {
			replicator.memberships.truncateFrom(first)
			replicator.membershipMoved()
		}
	}
	replicator.journal.touched(first)
	replicator.log.append(entries...)
	for _, entry := range entries {
		replicator.recordMembership(entry)
	}
}

// rejectAppend tells the leader where to look for agreement: past the whole run of
// entries of a term that differs, so that it needs one round trip for each term
// and not for each entry.
func (replicator *Replicator) rejectAppend(message *Append) {
	hint := replicator.log.lastIndex()
	if message.PreviousIndex <= hint {
		hint = replicator.log.lastIndexBelowTermAt(message.PreviousIndex)
	}
	hint = max(hint, replicator.hard.Commit)
	reply := AppendReply{Match: replicator.durableMatch(), Stamp: message.Stamp, Rejected: true, Hint: hint}
	replicator.sendNow(replicator.leader, Message{AppendReply: &reply})
}

// durableMatch is what this keeper vouches for: equal to the leader's log and
// synced.
func (replicator *Replicator) durableMatch() identifier.LogIndex {
	return min(replicator.verified, replicator.journal.durableIndex)
}

func (replicator *Replicator) acknowledge() {
	reply := AppendReply{Match: replicator.durableMatch(), Stamp: replicator.ackStamp}
	replicator.sendNow(replicator.leader, Message{AppendReply: &reply})
}
