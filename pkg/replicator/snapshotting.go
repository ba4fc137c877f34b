package replicator

import "github.com/stoathitch/stoathitch/pkg/identifier"

// outgoingSnapshot is a snapshot in transfer to one peer; the next chunk is sent once the
// last one is answered.
type outgoingSnapshot struct {
	index  identifier.LogIndex
	term   identifier.Term
	data   []byte
	offset identifier.Bytes
}

// incomingSnapshot collects the chunks of one snapshot from the current leader.
type incomingSnapshot struct {
	index identifier.LogIndex
	data  []byte
}

// snapshotDue reports whether enough entries, or enough data, were applied since the last snapshot.
func (replicator *Replicator) snapshotDue() bool {
	dueAt := replicator.snapshot.Index + identifier.LogIndex(replicator.Settings.SnapshotEvery)
	applied := replicator.log.bytesAfter(replicator.snapshot.Index, replicator.applied)
	return replicator.applied >= dueAt || applied >= replicator.Settings.SnapshotEveryBytes
}

// takeSnapshotIfDue takes a snapshot of the own state machine when one is due and all that was
// applied is synced.
func (replicator *Replicator) takeSnapshotIfDue() {
	if replicator.saving != 0 || !replicator.snapshotDue() || replicator.journal.durableIndex < replicator.applied {
		return
	}
	term, _ := replicator.log.term(replicator.applied)
	replicator.saving = replicator.applied
	replicator.snapshot = Snapshot{
		Index:   replicator.applied,
		Term:    term,
		Members: replicator.memberships.at(replicator.applied),
		Data:    replicator.StateMachine.Snapshot(),
	}
	replicator.emit(SaveSnapshot{Snapshot: replicator.snapshot})
}

// handleSnapshotSaved drops the entries that the synced snapshot covers, except for some that
// slightly lagging keepers still need.
func (replicator *Replicator) handleSnapshotSaved(index identifier.LogIndex) {
	if index != replicator.saving {
		return
	}
	replicator.saving = 0
	behind := min(index, identifier.LogIndex(replicator.Settings.EntriesKeptBehindSnapshot))
	first := replicator.log.firstIndexWithin(index-behind, index, replicator.Settings.BytesKeptBehindSnapshot)
	replicator.log.compactTo(first)
	replicator.memberships.compactTo(first)
}

// startSnapshot starts sending the newest snapshot to a peer that needs entries which were
// dropped. The transfer continues with that snapshot even if a newer one is taken.
func (replicator *Replicator) startSnapshot(host identifier.HostID, peer *peer) bool {
	data, err := encode("encode snapshot", replicator.snapshot)
	if err != nil {
		replicator.halt(err)
		return false
	}
	peer.transfer = &outgoingSnapshot{index: replicator.snapshot.Index, term: replicator.snapshot.Term, data: data}
	replicator.sendSnapshotChunk(host, peer)
	return true
}

func (replicator *Replicator) sendSnapshotChunk(host identifier.HostID, peer *peer) {
	transfer := peer.transfer
	total := identifier.Bytes(len(transfer.data))
	end := min(total, transfer.offset+replicator.Settings.SnapshotChunkBytes)
	chunk := SnapshotChunk{
		Index:      transfer.index,
		LastTerm:   transfer.term,
		Offset:     transfer.offset,
		TotalBytes: total,
		Stamp:      Stamp(replicator.now),
		Data:       transfer.data[transfer.offset:end],
	}
	replicator.sendNow(host, Message{SnapshotChunk: &chunk})
}

// receiveSnapshotReply sends the next chunk. A reply to a duplicated chunk has no effect, so
// that duplicates do not multiply.
func (replicator *Replicator) receiveSnapshotReply(from identifier.HostID, reply *SnapshotReply) {
	peer := replicator.respondingPeer(from, reply.Stamp)
	if peer == nil || peer.transfer == nil || peer.transfer.index != reply.Index {
		return
	}
	if reply.Offset == peer.transfer.offset || reply.Offset > identifier.Bytes(len(peer.transfer.data)) {
		return
	}
	peer.transfer.offset = reply.Offset
	if reply.Offset < identifier.Bytes(len(peer.transfer.data)) {
		replicator.sendSnapshotChunk(from, peer)
	}
}

func (replicator *Replicator) receiveSnapshotChunk(from identifier.HostID, chunk *SnapshotChunk) {
	if replicator.role == RoleLeader {
		return
	}
	replicator.recordLeaderContact(from, chunk.Stamp)
	if chunk.Index <= replicator.hard.Commit {
		// What is committed here is in the leader's log too.
		replicator.verified = max(replicator.verified, replicator.hard.Commit)
		replicator.incoming = incomingSnapshot{}
		replicator.acknowledge()
		return
	}
	incoming := &replicator.incoming
	if incoming.index != chunk.Index {
		*incoming = incomingSnapshot{index: chunk.Index}
	}
	if chunk.Offset == identifier.Bytes(len(incoming.data)) {
		incoming.data = append(incoming.data, chunk.Data...)
	}
	received := identifier.Bytes(len(incoming.data))
	reply := SnapshotReply{Index: chunk.Index, Offset: received, Stamp: replicator.ackStamp}
	replicator.sendNow(from, Message{SnapshotReply: &reply})
	if received == chunk.TotalBytes {
		replicator.installSnapshot(chunk)
	}
}

// installSnapshot replaces the state machine and the log by the leader's snapshot, unless the
// log already holds all that it covers.
func (replicator *Replicator) installSnapshot(chunk *SnapshotChunk) {
	data := replicator.incoming.data
	replicator.incoming = incomingSnapshot{}
	replicator.verified = max(replicator.verified, chunk.Index)
	if replicator.log.matches(chunk.Index, chunk.LastTerm) {
		replicator.hard.Commit = max(replicator.hard.Commit, chunk.Index)
		replicator.acknowledge()
		return
	}
	var snapshot Snapshot
	err := decode("decode snapshot", data, &snapshot)
	if err == nil {
		err = replicator.restoreSnapshot(snapshot)
	}
	if err != nil {
		replicator.halt(err)
		return
	}
	replicator.hard.Commit = snapshot.Index
	replicator.saving = 0
	replicator.journal.markReplaced(snapshot)
	replicator.emit(SnapshotInstalled{Index: snapshot.Index})
	replicator.updateJoining(snapshot.Members)
	replicator.membershipUpdated()
}
