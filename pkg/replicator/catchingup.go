package replicator

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// catchUpRound measures how far a peer lags in time. A round ends when the peer holds on its disk all
// that was committed when the round began, as in section 4.2.1 of Ongaro's thesis.
type catchUpRound struct {
	target identifier.LogIndex
	began  identifier.Moment
	// keptUpAt is when a round last ended that was no longer than the limit.
	keptUpAt identifier.Moment
}

// advance ends the round if the peer has reached its target, and begins the next one.
func (round *catchUpRound) advance(match, commit identifier.LogIndex, now identifier.Moment, limit time.Duration) {
	if match < round.target {
		return
	}
	if now.Before(round.began.Add(limit)) {
		round.keptUpAt = now
	}
	round.target, round.began = commit, now
}

// learnerCaughtUp reports whether a learner that responded recently holds all committed entries on
// its disk, or lacks only those of the last moments: while entries are accepted, its disk may be a sync
// behind at each instant. A learner promoted earlier would count for quorums before it holds what was
// accepted, so that the loss of one more keeper would block the log until it has caught up.
func (replicator *Replicator) learnerCaughtUp(host identifier.HostID) bool {
	peer := replicator.peers.Get(host)
	if peer == nil || !replicator.respondedRecently(peer) {
		return false
	}
	keepsUp := replicator.now.Before(peer.catchUp.keptUpAt.Add(replicator.Settings.ElectionTimeout))
	return keepsUp || peer.match >= replicator.hard.Commit
}
