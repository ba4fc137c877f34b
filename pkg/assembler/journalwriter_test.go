package assembler

import (
	"context"
	"io"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/journaler"
	"github.com/stoathitch/stoathitch/pkg/journaler/fakedisk"
	"github.com/stoathitch/stoathitch/pkg/loader"
	"github.com/stoathitch/stoathitch/pkg/provider"
	"github.com/stoathitch/stoathitch/pkg/replicator"
)

// refusingDisk is a disk whose writes or syncs fail while an error is set.
type refusingDisk struct {
	*fakedisk.Disk
	writeError, syncError, snapshotError atomic.Pointer[syscall.Errno]
	refused                              atomic.Int64
	// lostSyncs is the number of next syncs that fail in the disk below, which treats the pages as
	// clean then. The writer's goroutine hands it on, as the disk is not safe for concurrent use.
	lostSyncs atomic.Int64
}

type refusingFile struct {
	journaler.File
	disk       *refusingDisk
	isSnapshot bool
}

func newRefusingDisk() *refusingDisk { return &refusingDisk{Disk: fakedisk.New(1)} }

func (disk *refusingDisk) wrap(path string, file journaler.File, err error) (journaler.File, error) {
	if err != nil {
		return nil, err
	}
	return refusingFile{File: file, disk: disk, isSnapshot: filepath.Ext(path) == ".tmp"}, nil
}

func (disk *refusingDisk) Create(path string) (journaler.File, error) {
	file, err := disk.Disk.Create(path)
	return disk.wrap(path, file, err)
}

func (disk *refusingDisk) Open(path string) (journaler.File, error) {
	file, err := disk.Disk.Open(path)
	return disk.wrap(path, file, err)
}

func (disk *refusingDisk) failure(errs ...*atomic.Pointer[syscall.Errno]) error {
	for _, candidate := range errs {
		if failure := candidate.Load(); failure != nil {
			disk.refused.Add(1)
			return *failure
		}
	}
	return nil
}

func (file refusingFile) WriteAt(content []byte, offset int64) (int, error) {
	if err := file.disk.failure(&file.disk.writeError); err != nil {
		return 0, err
	}
	if file.isSnapshot {
		if err := file.disk.failure(&file.disk.snapshotError); err != nil {
			return 0, err
		}
	}
	return file.File.WriteAt(content, offset)
}

func (file refusingFile) Sync() error {
	if err := file.disk.failure(&file.disk.syncError); err != nil {
		return err
	}
	if lost := file.disk.lostSyncs.Swap(0); lost > 0 {
		file.disk.Disk.FailSyncs = int(lost)
	}
	return file.File.Sync()
}

// writerTest runs a journalWriter over a refusingDisk.
type writerTest struct {
	disk    *refusingDisk
	writer  *journalWriter
	cancel  context.CancelFunc
	mutex   sync.Mutex
	durable []replicator.PersistSequence
	saved   []identifier.LogIndex
	// early lists reports of persists that were not on the disk.
	early []replicator.PersistSequence
	// failed is the error with which the process ends; read it once the writer has stopped.
	failed error
	// sent holds the persists by sequence.
	sent []replicator.Persist
}

const testRetryInterval = time.Millisecond

func startWriter(t *testing.T) *writerTest {
	t.Helper()
	test := &writerTest{disk: newRefusingDisk()}
	journal := &journaler.Journal{Folder: "data", FileSystem: test.disk, SegmentBytes: 600}
	if _, err := journal.Open(); err != nil {
		t.Fatal(err)
	}
	settings := loader.Defaults()
	test.writer = &journalWriter{
		Common: provider.New(&settings, io.Discard), post: test.post, journal: journal,
		queue: newWriteQueue(), stopped: make(chan struct{}), retryInterval: testRetryInterval,
		fail: func(cause error) { test.failed = cause },
	}
	ctx, cancel := context.WithCancel(context.Background())
	test.cancel = cancel
	go test.writer.run(ctx)
	t.Cleanup(func() {
		cancel()
		<-test.writer.stopped
	})
	return test
}

// post records a report, and whether the journal held what it covers.
func (test *writerTest) post(_ context.Context, input coordinator.Input) bool {
	test.mutex.Lock()
	defer test.mutex.Unlock()
	switch input := input.(type) {
	case *coordinator.Persisted:
		last, hardState := test.writer.journal.Position()
		persist := test.sent[input.Sequence-1]
		if last.Index < lastIndex(test.sent[:input.Sequence]) || hardState.Term < persist.HardState.Term {
			test.early = append(test.early, input.Sequence)
		}
		test.durable = append(test.durable, input.Sequence)
	case *coordinator.SnapshotSaved:
		test.saved = append(test.saved, input.Index)
	}
	return true
}

func lastIndex(persists []replicator.Persist) identifier.LogIndex {
	for _, persist := range slices.Backward(persists) {
		if count := len(persist.Entries); count > 0 {
			return persist.Entries[count-1].Index
		}
		if persist.Snapshot != nil {
			return persist.Snapshot.Index
		}
	}
	return 0
}

// persist queues the next persist.
func (test *writerTest) persist(persist replicator.Persist) {
	test.mutex.Lock()
	persist.Sequence = replicator.PersistSequence(len(test.sent) + 1)
	test.sent = append(test.sent, persist)
	test.mutex.Unlock()
	test.writer.queue.add(persist)
}

// waitDurable waits until the last persist is reported, and checks the reports.
func (test *writerTest) waitDurable(t *testing.T) {
	t.Helper()
	waitUntil(t, "the last persist is durable", func() bool {
		test.mutex.Lock()
		defer test.mutex.Unlock()
		return len(test.durable) > 0 && int(test.durable[len(test.durable)-1]) == len(test.sent)
	})
	test.mutex.Lock()
	defer test.mutex.Unlock()
	if len(test.early) > 0 {
		t.Errorf("reported before they were on the disk: %v", test.early)
	}
	if !slices.IsSorted(test.durable) {
		t.Errorf("reported out of order: %v", test.durable)
	}
}

func (test *writerTest) waitRefused(t *testing.T, count int64) {
	t.Helper()
	before := test.disk.refused.Load()
	waitUntil(t, "the disk has refused", func() bool { return test.disk.refused.Load() >= before+count })
}

// recovered stops the writer, loses power and reads what the disk holds.
func (test *writerTest) recovered(t *testing.T) journaler.Recovered {
	t.Helper()
	test.cancel()
	<-test.writer.stopped
	test.disk.Crash()
	recovered, err := (&journaler.Journal{Folder: "data", FileSystem: test.disk.Disk, SegmentBytes: 600}).Open()
	if err != nil {
		t.Fatal(err)
	}
	return recovered
}

func waitUntil(t *testing.T, what string, reached func() bool) {
	t.Helper()
	const limit = 30 * time.Second
	for deadline := time.Now().Add(limit); !reached(); time.Sleep(testRetryInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("not in %s: %s", limit, what)
		}
	}
}

func entriesOf(term identifier.Term, indices ...identifier.LogIndex) []replicator.Entry {
	var entries []replicator.Entry
	for _, index := range indices {
		entries = append(entries, replicator.Entry{Index: index, Term: term, Data: []byte("configuration")})
	}
	return entries
}

func hard(term identifier.Term, commit identifier.LogIndex) replicator.HardState {
	return replicator.HardState{Term: term, Vote: "keeper-1", Commit: commit}
}

// failures are the ways in which a disk refuses writes.
var failures = []struct {
	name   string
	refuse func(disk *refusingDisk, failure *syscall.Errno)
	errno  syscall.Errno
}{
	{"no space", refuseWrites, syscall.ENOSPC},
	{"file size limit", refuseWrites, syscall.EFBIG},
	{"failed write", refuseWrites, syscall.EIO},
	{"failed sync", refuseSyncs, syscall.EIO},
}

func refuseWrites(disk *refusingDisk, failure *syscall.Errno) { disk.writeError.Store(failure) }
func refuseSyncs(disk *refusingDisk, failure *syscall.Errno)  { disk.syncError.Store(failure) }

// Guards against a refused write that is dropped: a later persist without entries would be reported as
// durable together with it, and each later one with entries would leave a gap. The disk refuses while
// persists with entries, a truncation and a new term arrive, and takes writes again.
func TestRefusedPersistsAreWrittenAgain(t *testing.T) {
	for _, failure := range failures {
		t.Run(failure.name, func(t *testing.T) {
			test := startWriter(t)
			test.persist(replicator.Persist{HardState: hard(1, 0), Entries: entriesOf(1, 1, 2)})
			test.waitDurable(t)
			failure.refuse(test.disk, &failure.errno)
			test.persist(replicator.Persist{HardState: hard(1, 1), Entries: entriesOf(1, 3, 4)})
			test.waitRefused(t, 2)
			test.persist(replicator.Persist{HardState: hard(2, 1)})
			test.persist(replicator.Persist{HardState: hard(2, 1), TruncateFrom: 4, Entries: entriesOf(2, 4, 5)})
			test.waitRefused(t, 2)
			test.mutex.Lock()
			if len(test.durable) != 1 {
				t.Errorf("durable while the disk refuses: %v", test.durable)
			}
			test.mutex.Unlock()
			failure.refuse(test.disk, nil)
			test.waitDurable(t)
			test.persist(replicator.Persist{HardState: hard(2, 5), Entries: entriesOf(2, 6)})
			test.waitDurable(t)
			recovered := test.recovered(t)
			if recovered.HardState.Term != 2 || recovered.HardState.Commit != 5 || len(recovered.Entries) != 6 {
				t.Fatalf("on the disk are %+v and %d entries", recovered.HardState, len(recovered.Entries))
			}
			for index, term := range []identifier.Term{1, 1, 1, 2, 2, 2} {
				if recovered.Entries[index].Term != term {
					t.Errorf("entry %d is of term %d, want %d", index+1, recovered.Entries[index].Term, term)
				}
			}
		})
	}
}

// Guards against a report that covers a refused persist: the disk refuses one with entries and takes the
// next one, which has only a hard state and would fit without them.
func TestReportCoversNoRefusedPersist(t *testing.T) {
	test := startWriter(t)
	test.persist(replicator.Persist{HardState: hard(1, 0), Entries: entriesOf(1, 1, 2)})
	test.waitDurable(t)
	errno := syscall.ENOSPC
	test.disk.writeError.Store(&errno)
	test.persist(replicator.Persist{HardState: hard(1, 1), Entries: entriesOf(1, 3, 4)})
	test.waitRefused(t, 1)
	test.disk.writeError.Store(nil)
	test.persist(replicator.Persist{HardState: hard(2, 1)})
	test.waitDurable(t)
	if recovered := test.recovered(t); len(recovered.Entries) != 4 || recovered.HardState.Term != 2 {
		t.Fatalf("on the disk are %+v and %d entries", recovered.HardState, len(recovered.Entries))
	}
}

// Guards against a keeper that compacts its log never again after one refused snapshot, and against a
// snapshot that finds no room and holds up votes: the disk takes small writes all the while.
func TestRefusedSnapshotIsWrittenAgain(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOSPC, syscall.EFBIG, syscall.EIO} {
		t.Run(errno.Error(), func(t *testing.T) {
			test := startWriter(t)
			test.persist(replicator.Persist{HardState: hard(1, 2), Entries: entriesOf(1, 1, 2, 3)})
			test.waitDurable(t)
			test.disk.snapshotError.Store(&errno)
			test.writer.queue.addSnapshot(replicator.Snapshot{Index: 2, Term: 1, Data: []byte("state")})
			test.waitRefused(t, 2)
			test.persist(replicator.Persist{HardState: hard(2, 2), Entries: entriesOf(2, 4)})
			test.waitDurable(t)
			test.disk.snapshotError.Store(nil)
			waitUntil(t, "the snapshot is saved", func() bool {
				test.mutex.Lock()
				defer test.mutex.Unlock()
				return slices.Equal(test.saved, []identifier.LogIndex{2})
			})
			recovered := test.recovered(t)
			if recovered.Snapshot == nil || recovered.Snapshot.Index != 2 || len(recovered.Entries) != 2 {
				t.Fatalf("recovered %+v", recovered)
			}
		})
	}
}

// Guards against a leader's snapshot that is lost with a refused write: what follows it would leave a
// gap. Persists before and behind it wait with it.
func TestRefusedInstallationIsWrittenAgain(t *testing.T) {
	for _, failure := range failures {
		t.Run(failure.name, func(t *testing.T) {
			test := startWriter(t)
			test.persist(replicator.Persist{HardState: hard(1, 1), Entries: entriesOf(1, 1, 2)})
			test.waitDurable(t)
			failure.refuse(test.disk, &failure.errno)
			test.persist(replicator.Persist{HardState: hard(1, 1), Entries: entriesOf(1, 3)})
			test.waitRefused(t, 2)
			test.persist(replicator.Persist{HardState: hard(1, 1), Entries: entriesOf(1, 4)})
			test.persist(replicator.Persist{
				HardState: hard(3, 20), Snapshot: &replicator.Snapshot{Index: 20, Term: 2, Data: []byte("state")}, Entries: entriesOf(3, 21),
			})
			test.persist(replicator.Persist{HardState: hard(3, 21), Entries: entriesOf(3, 22)})
			test.waitRefused(t, 2)
			failure.refuse(test.disk, nil)
			test.waitDurable(t)
			recovered := test.recovered(t)
			if recovered.Snapshot == nil || recovered.Snapshot.Index != 20 || len(recovered.Entries) != 2 || recovered.HardState.Commit != 21 {
				t.Fatalf("recovered %+v", recovered)
			}
		})
	}
}

// Guards against a persist that contradicts the journal and is followed by another that is written and
// reported as durable together with it.
func TestContradictionEndsWriting(t *testing.T) {
	test := startWriter(t)
	test.persist(replicator.Persist{HardState: hard(1, 0), Entries: entriesOf(1, 1)})
	test.waitDurable(t)
	test.persist(replicator.Persist{HardState: hard(1, 0), Entries: entriesOf(1, 3)})
	test.persist(replicator.Persist{HardState: hard(2, 0)})
	<-test.writer.stopped
	if test.failed == nil {
		t.Error("the process goes on without a keeper that can write")
	}
	test.persist(replicator.Persist{HardState: hard(3, 0)})
	if len(test.durable) != 1 || test.writer.queue.length() != 0 {
		t.Fatalf("durable %v, %d wait", test.durable, test.writer.queue.length())
	}
}
