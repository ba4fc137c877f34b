package assembler

import (
	"sync"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/journaler"
	"github.com/stoathitch/stoathitch/pkg/replicator"
)

const (
	// writeQueueSize is the number of waiting persists from which on further ones are merged into the
	// last one, so that a disk that refuses for hours costs no more memory than the log itself.
	writeQueueSize = 1024
	// mergedBytes bounds a merged persist and a group, since a frame of the journal must stay well below
	// its maximum size and a small write is more likely to fit on a full disk.
	mergedBytes = journaler.DefaultGroupBytes
	// persistOverhead is the estimated size of an entry or a hard state without its data.
	persistOverhead identifier.Bytes = 32
)

// writeQueue holds the writes of the replicated log in order until the disk has taken them. Adding
// never waits, since the coordinator's tick does it.
type writeQueue struct {
	// wake holds a token after something was added.
	wake chan struct{}

	mutex    sync.Mutex
	persists []waitingPersist
	// taken is the number of first persists that the writer is writing.
	taken int
	// snapshot is the keeper's own newest snapshot that is not written yet.
	snapshot *replicator.Snapshot
	closed   bool
}

type waitingPersist struct {
	persist replicator.Persist
	bytes   identifier.Bytes
	// owned reports that the entries are a copy, to which more can be appended.
	owned bool
}

func newWriteQueue() *writeQueue {
	return &writeQueue{wake: make(chan struct{}, 1)}
}

// add queues a persist. A snapshot from the leader replaces the whole log, so everything that waits
// before it needn't be written any more.
func (writeQueue *writeQueue) add(persist replicator.Persist) {
	writeQueue.mutex.Lock()
	defer writeQueue.mutex.Unlock()
	if writeQueue.closed {
		return
	}
	if persist.Snapshot != nil {
		writeQueue.persists = writeQueue.persists[:writeQueue.taken]
		writeQueue.snapshot = nil
	}
	added := waitingPersist{persist: persist, bytes: sizeOf(persist)}
	if len(writeQueue.persists)-writeQueue.taken < writeQueueSize || !writeQueue.persists[len(writeQueue.persists)-1].merge(added) {
		writeQueue.persists = append(writeQueue.persists, added)
	}
	writeQueue.notify()
}

// addSnapshot queues a snapshot of the keeper's own state in place of an older one.
func (writeQueue *writeQueue) addSnapshot(snapshot replicator.Snapshot) {
	writeQueue.mutex.Lock()
	defer writeQueue.mutex.Unlock()
	if writeQueue.closed {
		return
	}
	writeQueue.snapshot = &snapshot
	writeQueue.notify()
}

func (writeQueue *writeQueue) notify() {
	select {
	case writeQueue.wake <- struct{}{}:
	default:
	}
}

// take returns the first persists that may share a frame. It returns the same ones until they are
// removed. A persist with a snapshot is returned alone.
func (writeQueue *writeQueue) take() []replicator.Persist {
	writeQueue.mutex.Lock()
	defer writeQueue.mutex.Unlock()
	if writeQueue.taken == 0 {
		writeQueue.taken = writeQueue.groupSize()
	}
	group := make([]replicator.Persist, 0, writeQueue.taken)
	for _, waiting := range writeQueue.persists[:writeQueue.taken] {
		group = append(group, waiting.persist)
	}
	return group
}

func (writeQueue *writeQueue) groupSize() int {
	count := 0
	bytes := identifier.Bytes(0)
	for _, waiting := range writeQueue.persists {
		bytes += waiting.bytes
		if count > 0 && (waiting.persist.Snapshot != nil || bytes > mergedBytes) {
			break
		}
		count++
		if waiting.persist.Snapshot != nil {
			break
		}
	}
	return count
}

// remove removes the first persists, which are durable.
func (writeQueue *writeQueue) remove(count int) {
	writeQueue.mutex.Lock()
	defer writeQueue.mutex.Unlock()
	clear(writeQueue.persists[:count])
	writeQueue.persists = writeQueue.persists[count:]
	writeQueue.taken -= count
}

// ownSnapshot returns the snapshot that is to be written, or nil.
func (writeQueue *writeQueue) ownSnapshot() *replicator.Snapshot {
	writeQueue.mutex.Lock()
	defer writeQueue.mutex.Unlock()
	return writeQueue.snapshot
}

// removeSnapshot removes a written snapshot unless another one has replaced it.
func (writeQueue *writeQueue) removeSnapshot(written *replicator.Snapshot) {
	writeQueue.mutex.Lock()
	defer writeQueue.mutex.Unlock()
	if writeQueue.snapshot == written {
		writeQueue.snapshot = nil
	}
}

// length returns the number of persists that are not durable yet.
func (writeQueue *writeQueue) length() int {
	writeQueue.mutex.Lock()
	defer writeQueue.mutex.Unlock()
	return len(writeQueue.persists)
}

// close drops everything, and everything that is added later.
func (writeQueue *writeQueue) close() {
	writeQueue.mutex.Lock()
	defer writeQueue.mutex.Unlock()
	writeQueue.closed = true
	writeQueue.persists = nil
	writeQueue.taken = 0
	writeQueue.snapshot = nil
}

// merge adds the effect of the next persist to this one and reports whether it could. Two votes in
// one term are kept apart, so that the journal still refuses them.
func (waiting *waitingPersist) merge(next waitingPersist) bool {
	older, newer := &waiting.persist, &next.persist
	twoVotes := older.HardState.Term == newer.HardState.Term && older.HardState.Vote != "" && older.HardState.Vote != newer.HardState.Vote
	if twoVotes || newer.Snapshot != nil || waiting.bytes+next.bytes > mergedBytes {
		return false
	}
	if !waiting.owned {
		older.Entries = append([]replicator.Entry(nil), older.Entries...)
		waiting.owned = true
	}
	if newer.TruncateFrom != 0 {
		truncatePersist(older, newer.TruncateFrom)
	}
	older.Entries = append(older.Entries, newer.Entries...)
	older.HardState = newer.HardState
	older.Sequence = newer.Sequence
	waiting.bytes += next.bytes
	return true
}

// truncatePersist removes the entries from an index on. The journal itself is truncated only if it
// holds some of them.
func truncatePersist(persist *replicator.Persist, from identifier.LogIndex) {
	kept := 0
	for kept < len(persist.Entries) && persist.Entries[kept].Index < from {
		kept++
	}
	onlyOwn := len(persist.Entries) > 0 && persist.Entries[0].Index <= from
	persist.Entries = persist.Entries[:kept]
	switch {
	case persist.TruncateFrom != 0:
		persist.TruncateFrom = min(persist.TruncateFrom, from)
	case !onlyOwn:
		persist.TruncateFrom = from
	}
}

func sizeOf(persist replicator.Persist) identifier.Bytes {
	size := persistOverhead
	for _, entry := range persist.Entries {
		size += identifier.Bytes(len(entry.Data)) + persistOverhead
	}
	return size
}
