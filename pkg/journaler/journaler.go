// Package journaler keeps a keeper's replicated log on its disk: entries, hard
// state and snapshots, in one data folder that survives a crash at any write.
//
// A Journal acknowledges only what a successful sync has made durable. One
// Append, or one group of a Writer, is one frame with one checksum: after a
// crash it is there as a whole or not at all. docs/dev/JOURNAL.md holds the
// format and the rules.
//
// The journal keeps no entries in memory. Whoever replicates the log holds the
// ones that Open returned and those appended since, so reads go on when the
// journal refuses to write.
package journaler

import (
	"io"
	"path/filepath"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Defaults of the exported fields, for those left zero.
const (
	DefaultSegmentBytes identifier.Bytes = 8 << 20
	DefaultGroupBytes   identifier.Bytes = 1 << 20
	DefaultQueueBytes   identifier.Bytes = 8 << 20
)

const lockFile = "lock"

// Journal is the durable log in one data folder. Its exported fields are set
// before Open. Its methods may be called from several goroutines.
type Journal struct {
	// Folder is the data folder; Open creates it if it isn't there.
	Folder string
	// FileSystem is the disk; nil means the host's own.
	FileSystem FileSystem
	// SegmentBytes is the size from which the log goes on in a new file.
	SegmentBytes identifier.Bytes

	// snapshotMutex lets only one snapshot be written at a time. It is taken
	// before mutex, so that appends go on while a large snapshot is written.
	snapshotMutex sync.Mutex

	mutex    sync.Mutex
	lock     io.Closer
	active   File
	segments []segment
	// durableEnd is the offset in the active segment behind the last frame that
	// was synced.
	durableEnd int64
	state      logState
	// resetPending says that the log restarted behind a snapshot and that the
	// record of it goes in front of the next frame.
	resetPending bool
	broken       error
}

// Recovered is what Open found in the data folder.
type Recovered struct {
	HardState HardState
	// Snapshot is nil when there is none.
	Snapshot *Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
	// CutBytes is the length of the torn tail that was cut; zero after a clean
	// stop.
	CutBytes identifier.Bytes
	// DamagedSnapshots names the snapshot files that were passed over for an
	// older one.
	DamagedSnapshots []string
}

// Open locks the folder, recovers what is durable and makes the journal ready
// for Append. Its errors have the kinds locked, corrupt-record,
// missing-segment, missing-snapshot, unsupported-format, disk-full,
// write-failed, sync-failed and read-failed.
func (journal *Journal) Open() (Recovered, error) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	if journal.lock != nil {
		return Recovered{}, &Error{Operation: "open", Kind: Invalid, File: journal.Folder, Err: eris.New("the journal is open already")}
	}
	journal.setDefaults()
	if err := journal.FileSystem.MakeFolder(journal.Folder); err != nil {
		return Recovered{}, storageError("open", journal.Folder, WriteFailed, err)
	}
	lock, err := journal.FileSystem.Lock(journal.path(lockFile))
	if err != nil {
		return Recovered{}, &Error{Operation: "open", Kind: Locked, File: lockFile, Err: eris.Wrap(err, "another process uses this data folder")}
	}
	journal.lock = lock
	recovered, err := journal.recover()
	if err != nil {
		journal.release()
		return Recovered{}, err
	}
	return recovered, nil
}

// Close releases the folder. What was acknowledged is durable already.
func (journal *Journal) Close() error {
	journal.snapshotMutex.Lock()
	defer journal.snapshotMutex.Unlock()
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	return journal.release()
}

// Position tells the last durable index and its term, and the hard state.
func (journal *Journal) Position() (Position, HardState) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	return journal.state.lastPosition(), journal.state.hardState
}

// Broken returns the failure after which the journal refuses all writes, or nil.
// Only a new Open, which reads the disk afresh, ends that.
func (journal *Journal) Broken() error {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	return journal.broken
}

func (journal *Journal) setDefaults() {
	if journal.FileSystem == nil {
		journal.FileSystem = Disk{}
	}
	if journal.SegmentBytes == 0 {
		journal.SegmentBytes = DefaultSegmentBytes
	}
}

func (journal *Journal) release() error {
	var err error
	if journal.active != nil {
		err = journal.active.Close()
	}
	if journal.lock != nil {
		err = firstError(err, journal.lock.Close())
	}
	journal.active = nil
	journal.lock = nil
	journal.segments = nil
	journal.broken = nil
	journal.resetPending = false
	journal.state = logState{}
	if err != nil {
		return storageError("close", journal.Folder, WriteFailed, err)
	}
	return nil
}

func (journal *Journal) path(name string) string {
	return filepath.Join(journal.Folder, name)
}

// usable refuses work on a journal that is closed or broken.
func (journal *Journal) usable(operation string) error {
	if journal.lock == nil {
		return &Error{Operation: operation, Kind: Invalid, Err: eris.New("the journal is not open")}
	}
	if journal.broken != nil {
		return &Error{Operation: operation, Kind: Broken, Err: journal.broken}
	}
	return nil
}

// markBroken keeps the first failure and returns the cause. A full disk that
// could not be cleaned up after isn't reported as one, since a caller would then
// wait for room in vain.
func (journal *Journal) markBroken(cause *Error) error {
	if cause.Kind == DiskFull {
		cause.Kind = WriteFailed
	}
	if journal.broken == nil {
		journal.broken = cause
	}
	return cause
}

func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}
