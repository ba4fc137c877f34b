package replicator

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// journal tracks which changes were handed out to be synced and which of them are synced.
type journal struct {
	sequence        PersistSequence
	durableSequence PersistSequence
	durableIndex    identifier.LogIndex
	issuedHard      HardState
	// issuedLastIndex is the last index of the log as handed out.
	issuedLastIndex identifier.LogIndex
	// dirtyFrom is the first index whose current entry was not handed out yet; zero if none.
	dirtyFrom   identifier.LogIndex
	snapshot    *Snapshot
	outstanding []outstandingPersist
	// lastSync is how long the last synced persist took, from its request on.
	lastSync time.Duration
	waiting  []waitingMessage
}

// outstandingPersist makes the log durable up to lastIndex.
type outstandingPersist struct {
	sequence  PersistSequence
	lastIndex identifier.LogIndex
	issuedAt  identifier.Moment
}

// waitingMessage may be sent once sequence is durable; zero stands for the persist of this
// tick.
type waitingMessage struct {
	sequence PersistSequence
	send     Send
}

// markDirty records that the log changed from index on. What earlier persists made or will
// make durable from there on no longer equals the log.
func (journal *journal) markDirty(index identifier.LogIndex) {
	if journal.dirtyFrom == 0 || index < journal.dirtyFrom {
		journal.dirtyFrom = index
	}
	journal.durableIndex = min(journal.durableIndex, index-1)
	for position := range journal.outstanding {
		outstanding := &journal.outstanding[position]
		outstanding.lastIndex = min(outstanding.lastIndex, index-1)
	}
}

// markReplaced records that a snapshot replaced the whole log.
func (journal *journal) markReplaced(snapshot Snapshot) {
	journal.markDirty(1)
	journal.dirtyFrom = 0
	journal.issuedLastIndex = snapshot.Index
	journal.snapshot = &snapshot
}

// flushPersist emits everything that changed in this tick as one Persist.
func (replicator *Replicator) flushPersist() {
	journal := &replicator.journal
	hardChanged := replicator.hard.Term != journal.issuedHard.Term || replicator.hard.Vote != journal.issuedHard.Vote
	if !hardChanged && journal.dirtyFrom == 0 && journal.snapshot == nil {
		return
	}
	journal.sequence++
	persist := Persist{Sequence: journal.sequence, HardState: replicator.hard, Snapshot: journal.snapshot}
	if journal.dirtyFrom != 0 {
		persist.Entries = replicator.log.from(journal.dirtyFrom)
	}
	if journal.dirtyFrom != 0 && journal.dirtyFrom <= journal.issuedLastIndex {
		persist.TruncateFrom = journal.dirtyFrom
	}
	last := replicator.log.lastIndex()
	journal.outstanding = append(journal.outstanding, outstandingPersist{journal.sequence, last, replicator.now})
	journal.issuedHard = replicator.hard
	journal.issuedLastIndex = last
	journal.dirtyFrom = 0
	journal.snapshot = nil
	replicator.emit(persist)
}

// handlePersisted records that all persists up to sequence are synced.
func (replicator *Replicator) handlePersisted(sequence PersistSequence) {
	journal := &replicator.journal
	if sequence > journal.sequence {
		return
	}
	journal.durableSequence = max(journal.durableSequence, sequence)
	done := 0
	for done < len(journal.outstanding) && journal.outstanding[done].sequence <= sequence {
		journal.durableIndex = max(journal.durableIndex, journal.outstanding[done].lastIndex)
		journal.lastSync = replicator.now.Sub(journal.outstanding[done].issuedAt)
		done++
	}
	journal.outstanding = journal.outstanding[done:]
	if done > 0 && replicator.role != RoleLeader && replicator.leader != "" {
		replicator.acknowledge()
	}
}

// syncTime estimates how long a sync takes now, from the last one and the one that is under way. The
// bound keeps a disk that refuses writes from silencing its keeper for good.
func (replicator *Replicator) syncTime() time.Duration {
	journal := &replicator.journal
	took := journal.lastSync
	if len(journal.outstanding) > 0 {
		took = max(took, replicator.now.Sub(journal.outstanding[0].issuedAt))
	}
	return min(took, replicator.Settings.ElectionTimeout)
}

// sendNow sends a message that promises nothing beyond what is already durable on this
// keeper.
func (replicator *Replicator) sendNow(to identifier.HostID, message Message) {
	message.Term = replicator.hard.Term
	replicator.emit(Send{To: to, Message: message})
}

// sendAfterSync sends a message once all that this keeper has decided so far is synced. A
// vote sent earlier could be granted a second time after a crash, which could elect two
// leaders in one term.
func (replicator *Replicator) sendAfterSync(to identifier.HostID, message Message) {
	message.Term = replicator.hard.Term
	journal := &replicator.journal
	journal.waiting = append(journal.waiting, waitingMessage{send: Send{To: to, Message: message}})
}

// releaseMessages runs after flushPersist: messages of this tick wait for the latest persist,
// those of earlier ticks for the one that was the latest then.
func (replicator *Replicator) releaseMessages() {
	journal := &replicator.journal
	kept := journal.waiting[:0]
	for _, waiting := range journal.waiting {
		if waiting.sequence == 0 {
			waiting.sequence = journal.sequence
		}
		if waiting.sequence > journal.durableSequence {
			kept = append(kept, waiting)
			continue
		}
		replicator.emit(waiting.send)
	}
	journal.waiting = kept
}
