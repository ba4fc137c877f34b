package assembler

import (
	"math/rand/v2"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/journaler"
	"github.com/stoathitch/stoathitch/pkg/replicator"
)

// Guards against reports of persists that a loss of power undoes, and a writer that ends, while writes,
// syncs, snapshots and space fail at random and pages count as clean after a failed sync.
func TestRandomFailuresKeepWhatIsReported(t *testing.T) {
	for seed := range uint64(500) {
		playWriter(t, seed, 60, 0)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// As above, with so many persists that they are merged.
func TestRandomFailuresWithMergedPersists(t *testing.T) {
	for seed := range uint64(150) {
		playWriter(t, seed, 4000, 0)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

func playWriter(t *testing.T, seed uint64, steps int, folderShare int64) {
	random := rand.New(rand.NewPCG(seed, 7))
	test := startWriter(t)
	failFolder(seed, folderShare)
	var log []identifier.Term // by index, from 1
	base, commit, term := identifier.LogIndex(0), identifier.LogIndex(0), identifier.Term(1)
	type state struct {
		log  []identifier.Term
		hard replicator.HardState
	}
	states := []state{{}}
	errnos := []syscall.Errno{syscall.ENOSPC, syscall.EIO, syscall.EFBIG}
	for step := range steps {
		if step == 100 {
			errno := errnos[seed%3]
			test.disk.writeError.Store(&errno)
		}
		choice := random.IntN(12)
		if step > 100 {
			choice = -1
		}
		switch choice {
		case 0:
			errno := errnos[random.IntN(3)]
			test.disk.writeError.Store(&errno)
		case 1:
			errno := errnos[random.IntN(3)]
			test.disk.snapshotError.Store(&errno)
		case 2:
			test.disk.lostSyncs.Store(random.Int64N(3))
		case 3, 4, 5:
			test.disk.writeError.Store(nil)
			test.disk.snapshotError.Store(nil)
		case 6:
			time.Sleep(time.Duration(random.IntN(4)) * time.Millisecond)
		}
		persist := replicator.Persist{}
		last := identifier.LogIndex(len(log))
		if random.IntN(5) == 0 {
			term++
		}
		switch random.IntN(10) {
		case 0:
			if random.IntN(3) == 0 && last > 0 && (step < 100 || random.IntN(300) == 0) {
				// A leader's snapshot beyond all that is held.
				index := last + identifier.LogIndex(1+random.IntN(5))
				for identifier.LogIndex(len(log)) < index {
					log = append(log, term)
				}
				persist.Snapshot = &replicator.Snapshot{Index: index, Term: term, Data: []byte("state")}
				base, commit = index, index
			}
		case 1, 2:
			if last > commit {
				from := commit + 1 + identifier.LogIndex(random.IntN(int(last-commit)))
				term++
				log = append(append([]identifier.Term(nil), log[:from-1]...), term)
				persist.TruncateFrom = from
				persist.Entries = entriesOf(term, from)
			}
		case 3:
			commit = last
		default:
			for range 1 + random.IntN(3) {
				log = append(log, term)
				persist.Entries = append(persist.Entries, entriesOf(term, identifier.LogIndex(len(log)))...)
			}
		}
		persist.HardState = hard(term, commit)
		test.persist(persist)
		states = append(states, state{append([]identifier.Term(nil), log...), persist.HardState})
		if random.IntN(8) == 0 {
			// The keeper's own snapshot covers what is durable and committed.
			test.mutex.Lock()
			sequence := 0
			if count := len(test.durable); count > 0 {
				sequence = int(test.durable[count-1])
			}
			test.mutex.Unlock()
			index := min(identifier.LogIndex(len(states[sequence].log)), commit)
			if index > base && sequence > 0 && slices.Equal(states[sequence].log[:index], log[:index]) {
				base = index
				test.writer.queue.addSnapshot(replicator.Snapshot{Index: index, Term: log[index-1], Data: []byte("state")})
			}
		}
	}
	heal := random.IntN(2) == 0
	if heal {
		failFolder(seed, 0)
		test.disk.writeError.Store(nil)
		test.disk.snapshotError.Store(nil)
		deadline := time.Now().Add(10 * time.Second)
		for {
			test.mutex.Lock()
			done := len(test.durable) > 0 && int(test.durable[len(test.durable)-1]) == len(test.sent)
			test.mutex.Unlock()
			if done {
				break
			}
			select {
			case <-test.writer.stopped:
				t.Error("the writer has ended")
				last, hardState := test.writer.journal.Position()
				t.Logf("durable %v, saved %v, journal at %+v %+v, snapshot %+v", test.durable, test.saved, last, hardState, test.writer.journal.SnapshotPosition())
				return
			default:
			}
			if time.Now().After(deadline) {
				t.Error("the last persist is not durable")
				return
			}
			time.Sleep(time.Millisecond)
		}
	}
	test.cancel()
	<-test.writer.stopped
	failFolder(seed, 0)
	if len(test.early) > 0 {
		t.Errorf("early %v", test.early)
	}
	test.disk.Crash()
	recovered, err := (&journaler.Journal{Folder: "data", FileSystem: test.disk.Disk, SegmentBytes: 600}).Open()
	if err != nil {
		t.Error(err)
		return
	}
	sequence := 0
	if count := len(test.durable); count > 0 {
		sequence = int(test.durable[count-1])
	}
	// What is on the disk is the state of a persist that is not older than the reported one.
	snapshotIndex := identifier.LogIndex(0)
	if recovered.Snapshot != nil {
		snapshotIndex = recovered.Snapshot.Index
	}
	for _, candidate := range states[sequence:] {
		if holds(recovered, snapshotIndex, candidate.log) && recovered.HardState.Term >= states[sequence].hard.Term {
			return
		}
	}
	t.Errorf("reported %d of %d, on the disk %+v snapshot %d, %d entries", sequence, len(test.sent), recovered.HardState, snapshotIndex, len(recovered.Entries))
}

func holds(recovered journaler.Recovered, snapshotIndex identifier.LogIndex, log []identifier.Term) bool {
	if int(snapshotIndex)+len(recovered.Entries) != len(log) {
		return false
	}
	for _, entry := range recovered.Entries {
		if log[entry.Index-1] != entry.Term {
			return false
		}
	}
	return true
}
