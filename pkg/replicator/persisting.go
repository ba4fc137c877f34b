package replicator

import "github.com/stoathitch/stoathitch/pkg/identifier"

// journal tracks what has been handed out to be synced and what has been.
type journal struct {
	sequence        PersistSequence
	durableSequence PersistSequence
	durableIndex    identifier.LogIndex
	issuedHard      HardState
	// issuedLast is the last index of the log as handed out.
	issuedLast identifier.LogIndex
	// dirtyFrom is the first index not handed out as it stands; zero if none.
	dirtyFrom   identifier.LogIndex
	snapshot    *Snapshot
	outstanding []outstandingPersist
	waiting     []waitingMessage
}

// outstandingPersist makes the log durable up to lastIndex.
type outstandingPersist struct {
	sequence  PersistSequence
	lastIndex identifier.LogIndex
}

// waitingMessage may leave once sequence is durable.
type waitingMessage struct {
	sequence PersistSequence
	send     Send
}

// touched notes that the log changed from index on. What earlier persists made or
// will make durable from there on is no longer what stands in the log.
func (journal *journal) touched(index identifier.LogIndex) {
	if journal.dirtyFrom == 0 || index < journal.dirtyFrom {
		journal.dirtyFrom = index
	}
	journal.durableIndex = min(journal.durableIndex, index-1)
	for position := range journal.outstanding {
		outstanding := &journal.outstanding[position]
		outstanding.lastIndex = min(outstanding.lastIndex, index-1)
	}
}

// replaced notes that a snapshot took the place of the whole log.
func (journal *journal) replaced(snapshot Snapshot) {
	journal.touched(1)
	journal.dirtyFrom = 0
	journal.issuedLast = snapshot.Index
	journal.snapshot = &snapshot
}

// flushPersist hands out everything that changed in this tick as one Persist.
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
	if journal.dirtyFrom != 0 && journal.dirtyFrom <= journal.issuedLast {
		persist.TruncateFrom = journal.dirtyFrom
	}
	last := replicator.log.lastIndex()
	journal.outstanding = append(journal.outstanding, outstandingPersist{journal.sequence, last})
	journal.issuedHard = replicator.hard
	journal.issuedLast = last
	journal.dirtyFrom = 0
	journal.snapshot = nil
	replicator.emit(persist)
}

// persisted notes that all persists up to sequence are synced.
func (replicator *Replicator) persisted(sequence PersistSequence) {
	journal := &replicator.journal
	if sequence > journal.sequence {
		return
	}
	journal.durableSequence = max(journal.durableSequence, sequence)
	done := 0
	for done < len(journal.outstanding) && journal.outstanding[done].sequence <= sequence {
		journal.durableIndex = max(journal.durableIndex, journal.outstanding[done].lastIndex)
		done++
	}
	journal.outstanding = journal.outstanding[done:]
	if done > 0 && replicator.role != RoleLeader && replicator.leader != "" {
		replicator.acknowledge()
	}
}

// sendNow sends a message that promises nothing about this keeper's disk.
func (replicator *Replicator) sendNow(to identifier.HostID, message Message) {
	message.Term = replicator.hard.Term
	replicator.emit(Send{To: to, Message: message})
}

// sendDurably sends a message once all that this keeper has decided so far is
// synced. A vote that left earlier could be given a second time after a crash, and
// one would notice two leaders of one term.
func (replicator *Replicator) sendDurably(to identifier.HostID, message Message) {
	message.Term = replicator.hard.Term
	journal := &replicator.journal
	journal.waiting = append(journal.waiting, waitingMessage{send: Send{To: to, Message: message}})
}

// releaseMessages runs after flushPersist: messages of this tick wait for the last
// persist, those of earlier ticks for theirs.
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
