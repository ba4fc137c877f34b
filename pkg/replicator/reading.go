package replicator

import "github.com/stoathitch/stoathitch/pkg/identifier"

// pendingRead waits until it is confirmed that the leader still led after the request.
type pendingRead struct {
	handle      Handle
	requestedAt identifier.Moment
	// index is zero until the leader knows what is committed.
	index identifier.LogIndex
}

func (replicator *Replicator) requestRead(request ReadRequested) {
	if replicator.role != RoleLeader {
		replicator.refuseRead(request.Handle, OutcomeNotLeader)
		return
	}
	read := pendingRead{handle: request.Handle, requestedAt: replicator.now}
	if replicator.committedInTerm() {
		read.index = replicator.hard.Commit
	}
	replicator.reads = append(replicator.reads, read)
	if !replicator.holdsLease() {
		replicator.leadership.roundRequested = true
	}
}

func (replicator *Replicator) refuseRead(handle Handle, kind OutcomeKind) {
	replicator.emit(ReadRefused{Handle: handle, Kind: kind, LeaderHint: replicator.leader})
}

// confirmReads answers the reads that the lease or a round of responses since the request
// confirms. Otherwise a leader that was replaced without noticing would serve a state that
// lacks what the new one has accepted.
func (replicator *Replicator) confirmReads() {
	if replicator.role != RoleLeader || len(replicator.reads) == 0 || !replicator.committedInTerm() {
		return
	}
	leased := replicator.holdsLease()
	answered := replicator.quorumStamp()
	kept := replicator.reads[:0]
	for _, read := range replicator.reads {
		if read.index == 0 {
			read.index = replicator.hard.Commit
		}
		if !leased && answered.Before(read.requestedAt) {
			kept = append(kept, read)
			continue
		}
		replicator.emit(ReadReady{Handle: read.handle, Index: read.index})
	}
	replicator.reads = kept
}
