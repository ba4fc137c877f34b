package assembler

import (
	"syscall"
	"testing"

	"github.com/stoathitch/stoathitch/pkg/replicator"
)

// Guards against a keeper that never writes again after its disk has refused a truncation that a
// leader's snapshot overtook: the journal still holds the entries that were to be truncated, and if it
// contains the snapshot's position it keeps them behind the snapshot, where the next entry can't follow.
func TestInstallationOvertakesRefusedTruncation(t *testing.T) {
	test := startWriter(t)
	test.persist(replicator.Persist{HardState: hard(2, 2), Entries: entriesOf(2, 1, 2, 3, 4, 5)})
	test.waitDurable(t)
	full := syscall.ENOSPC
	test.disk.writeError.Store(&full)
	// This one is taken, so that the truncation waits behind it.
	test.persist(replicator.Persist{HardState: hard(3, 2)})
	test.waitRefused(t, 2)
	// The leader of term 3 replaces entry 3 and ends; the one of term 4 has committed entries 3 and 4 of term 2.
	test.persist(replicator.Persist{HardState: hard(3, 2), TruncateFrom: 3, Entries: entriesOf(3, 3)})
	test.persist(replicator.Persist{HardState: hard(4, 4), Snapshot: &replicator.Snapshot{Index: 4, Term: 2, Data: []byte("state")}})
	test.disk.writeError.Store(nil)
	test.waitDurable(t)
	test.persist(replicator.Persist{HardState: hard(4, 4), Entries: entriesOf(4, 5)})
	test.waitDurableOrStopped(t)
	recovered := test.recovered(t)
	if len(recovered.Entries) != 1 || recovered.Entries[0].Term != 4 {
		t.Errorf("behind the snapshot are %+v", recovered.Entries)
	}
}

// waitDurableOrStopped waits until the last persist is reported, and fails if the writer has ended.
func (test *writerTest) waitDurableOrStopped(t *testing.T) {
	t.Helper()
	waitUntil(t, "the last persist is durable or the writer has ended", func() bool {
		select {
		case <-test.writer.stopped:
			return true
		default:
		}
		test.mutex.Lock()
		defer test.mutex.Unlock()
		return len(test.durable) > 0 && int(test.durable[len(test.durable)-1]) == len(test.sent)
	})
	select {
	case <-test.writer.stopped:
		t.Errorf("the writer has ended; durable %v of %d", test.durable, len(test.sent))
	default:
	}
}
