package assembler

import (
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/replicator"
)

// Guards against a keeper whose disk stays full although its own snapshot would free it: while a persist
// finds no room, the snapshot, which is smaller and lets the journal drop its segments, is never tried.
func TestOwnSnapshotFreesAFullDisk(t *testing.T) {
	test := startWriter(t)
	const written = 60
	for index := identifier.LogIndex(1); index <= written; index++ {
		test.persist(replicator.Persist{HardState: hard(1, index-1), Entries: entriesOf(1, index)})
		test.waitDurable(t)
	}
	test.disk.Disk.FreeBytes = 500
	large := replicator.Entry{Index: written + 1, Term: 1, Data: make([]byte, 1000)}
	test.persist(replicator.Persist{HardState: hard(1, written), Entries: []replicator.Entry{large}})
	// The entries before are committed meanwhile, and the journal is due to be compacted.
	test.writer.queue.addSnapshot(replicator.Snapshot{Index: written, Term: 1, Data: []byte("state")})
	for range 2000 {
		time.Sleep(testRetryInterval)
		test.mutex.Lock()
		done := len(test.durable) > 0 && int(test.durable[len(test.durable)-1]) == len(test.sent)
		test.mutex.Unlock()
		if done {
			return
		}
	}
	test.mutex.Lock()
	defer test.mutex.Unlock()
	t.Errorf("after 2,000 retry intervals the persist still waits; snapshots saved: %v", test.saved)
}
