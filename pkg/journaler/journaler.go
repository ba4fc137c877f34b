// Package journaler stores a keeper's replicated log on disk: entries, hard state and snapshots,
// in one data folder that survives a crash during any write.
//
// A Journal acknowledges only what a successful sync has made durable. One Append, or one group
// of a Writer, is one frame with one checksum: after a crash it exists as a whole or not at all.
// docs/dev/JOURNAL.md describes the format and the rules.
//
// The journal keeps no entries in memory. The replicator of the log holds the entries that Open
// returned and those appended since, so it can still read them when the journal refuses writes.
package journaler

import (
	"io"
	"path/filepath"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Defaults of exported fields that are zero.
const (
	DefaultSegmentBytes identifier.Bytes = 8 << 20
	DefaultGroupBytes   identifier.Bytes = 1 << 20
	DefaultQueueBytes   identifier.Bytes = 8 << 20
)

const lockFile = "lock"

// Journal is the durable log in one data folder. Set the exported fields before Open. Its methods
// are safe for concurrent use.
type Journal struct {
	// Folder is the data folder; Open creates it if it doesn't exist.
	Folder string
	// FileSystem is the disk; nil means the host's file system.
	FileSystem FileSystem
	// SegmentBytes is the size of a segment from which on the log continues in a new one.
	SegmentBytes identifier.Bytes

	// snapshotMutex allows only one snapshot to be written at a time. It is locked before
	// mutex, so that appends can proceed while a large snapshot is written.
	snapshotMutex sync.Mutex

	mutex    sync.Mutex
	lock     io.Closer
	active   File
	segments []segment
	// durableEnd is the offset in the active segment after the last synced frame.
	durableEnd int64
	state      logState
	// resetPending reports that the log restarted after a snapshot, and that the snapshot
	// marker must be written as the first record of the next frame.
	resetPending bool
	broken       error
}

// Recovered is what Open found in the data folder.
type Recovered struct {
	HardState HardState
	// Snapshot is nil if there is none.
	Snapshot *Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
	// TruncatedBytes is the length of the torn tail that was removed; zero after a clean stop.
	TruncatedBytes identifier.Bytes
	// DamagedSnapshots names the damaged snapshot files that were skipped in favour of an
	// older one.
	DamagedSnapshots []string
}

// Open locks the folder, recovers the durable state and makes the journal ready for Append. Its
// errors have the kinds locked, corrupt-record, missing-segment, missing-snapshot,
// unsupported-format, disk-full, write-failed, sync-failed and read-failed.
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

// Close closes the files and releases the lock. What was acknowledged is already durable.
func (journal *Journal) Close() error {
	journal.snapshotMutex.Lock()
	defer journal.snapshotMutex.Unlock()
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	return journal.release()
}

// Position returns the last durable position and the durable hard state.
func (journal *Journal) Position() (Position, HardState) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	return journal.state.lastPosition(), journal.state.hardState
}

// SnapshotPosition returns the position of the newest durable snapshot; zero if there is none.
func (journal *Journal) SnapshotPosition() Position {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	return journal.state.snapshot
}

// Broken returns the failure since which the journal refuses all writes, or nil. Only closing and
// reopening the journal, which reads the disk again, ends that state.
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
	journal.durableEnd = 0
	journal.state = logState{}
	if err != nil {
		return storageError("close", journal.Folder, WriteFailed, err)
	}
	return nil
}

func (journal *Journal) path(name string) string {
	return filepath.Join(journal.Folder, name)
}

// usable returns an error if the journal is closed or broken.
func (journal *Journal) usable(operation string) error {
	if journal.lock == nil {
		return &Error{Operation: operation, Kind: Invalid, Err: eris.New("the journal is not open")}
	}
	if journal.broken != nil {
		return &Error{Operation: operation, Kind: Broken, Err: journal.broken}
	}
	return nil
}

// markBroken records the first failure and returns the cause. A full disk after which the cleanup
// failed is reported as write-failed, since a caller would otherwise wait for space in vain.
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
