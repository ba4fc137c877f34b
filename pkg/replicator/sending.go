package replicator

import "github.com/stoathitch/stoathitch/pkg/identifier"

// sendToPeers sends every peer the entries that it lacks, as far as its window allows, and
// heartbeats where they are due. Appends are sent before the own disk has synced: the leader
// counts itself only after that, so its sync runs in parallel with those of the others.
func (replicator *Replicator) sendToPeers() {
	if replicator.role != RoleLeader {
		return
	}
	round := replicator.leadership.roundRequested
	replicator.leadership.roundRequested = false
	if round {
		replicator.leadership.heartbeatDue = replicator.now.Add(replicator.Settings.HeartbeatInterval)
	}
	for _, host := range replicator.peers.Keys() {
		peer := replicator.peers.Get(host)
		sent := replicator.sendEntries(host, peer)
		if round && !sent {
			replicator.sendHeartbeat(host, peer)
		}
	}
	replicator.finishTransfer()
}

// sendEntries fills the peer's window and reports whether anything was sent.
func (replicator *Replicator) sendEntries(host identifier.HostID, peer *peer) bool {
	sent := false
	for replicator.mayPipeline(peer) {
		if peer.next <= replicator.log.base {
			return replicator.startSnapshot(host, peer) || sent
		}
		replicator.sendAppend(host, peer, replicator.nextBatch(peer))
		sent = true
	}
	return sent
}

func (replicator *Replicator) mayPipeline(peer *peer) bool {
	if peer.transfer != nil || peer.next > replicator.log.lastIndex() {
		return false
	}
	inFlight := int(peer.next - max(peer.match+1, peer.windowStart))
	return inFlight < replicator.Settings.MaxInFlightEntries && replicator.hasRoomInBytes(peer)
}

// hasRoomInBytes reports whether the data that the peer got and has not acknowledged leaves room
// for more. Once its match is known, all behind it counts: a window that began anew after each
// lost message would let a peer that syncs nothing collect entries without bound.
func (replicator *Replicator) hasRoomInBytes(peer *peer) bool {
	acknowledged := peer.windowStart - 1
	if peer.matchKnown {
		acknowledged = peer.match
	}
	last := peer.next - 1
	if acknowledged < replicator.log.base && last >= replicator.log.base {
		// Some of what is in flight was compacted, so its size is not known.
		return false
	}
	return replicator.log.bytesAfter(acknowledged, last) < replicator.Settings.MaxInFlightBytes
}

// nextBatch returns the entries of the next append, at least one.
func (replicator *Replicator) nextBatch(peer *peer) []Entry {
	entries := replicator.log.from(peer.next)
	size := identifier.Bytes(0)
	count := 0
	for count < len(entries) && count < replicator.Settings.MaxBatchEntries {
		size += identifier.Bytes(len(entries[count].Data))
		if count > 0 && size > replicator.Settings.MaxBatchBytes {
			break
		}
		count++
	}
	return entries[:count:count]
}

func (replicator *Replicator) sendAppend(host identifier.HostID, peer *peer, entries []Entry) {
	previous := peer.next - 1
	previousTerm, _ := replicator.log.term(previous)
	message := Append{
		PreviousIndex: previous,
		PreviousTerm:  previousTerm,
		Commit:        replicator.hard.Commit,
		Stamp:         Stamp(replicator.now),
		Entries:       entries,
	}
	peer.next += identifier.LogIndex(len(entries))
	replicator.sendNow(host, Message{Append: &message})
}

// sendHeartbeat shows the peer that the leader is alive. It also detects lost messages: a
// peer that lacks the previous entry rejects it.
func (replicator *Replicator) sendHeartbeat(host identifier.HostID, peer *peer) {
	if peer.transfer != nil {
		replicator.sendSnapshotChunk(host, peer)
		return
	}
	if peer.next <= replicator.log.base {
		replicator.startSnapshot(host, peer)
		return
	}
	replicator.sendAppend(host, peer, nil)
}
