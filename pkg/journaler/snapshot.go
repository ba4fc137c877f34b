package journaler

import (
	"fmt"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

const (
	snapshotPattern = "snapshot-%016x-%016x.snap"
	temporarySuffix = ".tmp"
)

func snapshotName(position Position) string {
	return fmt.Sprintf(snapshotPattern, uint64(position.Index), uint64(position.Term))
}

func parseSnapshotName(name string) (position Position, matches bool) {
	var index, term uint64
	if _, err := fmt.Sscanf(name, snapshotPattern, &index, &term); err != nil {
		return Position{}, false
	}
	position = Position{Index: identifier.LogIndex(index), Term: identifier.Term(term)}
	return position, name == snapshotName(position)
}

// SaveSnapshot makes a snapshot durable and drops the part of the log that it covers. If the log
// has no entry at the snapshot's index and term, as on a keeper that lags behind, the whole log
// is dropped and continues after the snapshot. Appends can proceed while the file is written. Its
// errors have the same kinds as those of Append. A snapshot that isn't newer than the existing
// one, or that contradicts committed entries, is invalid.
func (journal *Journal) SaveSnapshot(snapshot Snapshot) error {
	journal.snapshotMutex.Lock()
	defer journal.snapshotMutex.Unlock()
	journal.mutex.Lock()
	err := journal.checkSnapshot(snapshot.Position())
	journal.mutex.Unlock()
	if err != nil {
		return err
	}
	name := snapshotName(snapshot.Position())
	if err := journal.writeTemporary(name+temporarySuffix, snapshot); err != nil {
		return err
	}
	return journal.adoptSnapshot(name, snapshot.Position())
}

// LoadSnapshot reads the newest snapshot, or returns nil if there is none. It also works on a
// broken journal.
func (journal *Journal) LoadSnapshot() (*Snapshot, error) {
	journal.snapshotMutex.Lock()
	defer journal.snapshotMutex.Unlock()
	journal.mutex.Lock()
	position := journal.state.snapshot
	journal.mutex.Unlock()
	if position.Index == 0 {
		return nil, nil
	}
	return readSnapshot(journal.FileSystem, journal.path(snapshotName(position)), snapshotName(position))
}

// checkSnapshot rejects a snapshot that would roll the log back.
func (journal *Journal) checkSnapshot(snapshot Position) error {
	if err := journal.usable("save snapshot"); err != nil {
		return err
	}
	state := &journal.state
	backwards := snapshot.Index <= state.snapshot.Index
	uncommits := snapshot.Index <= state.hardState.Commit && !state.contains(snapshot)
	if backwards || uncommits || snapshot.Term == 0 {
		err := eris.Errorf("index %d of term %d conflicts with the snapshot at %d and the commit at %d",
			snapshot.Index, snapshot.Term, state.snapshot.Index, state.hardState.Commit)
		return &Error{Operation: "save snapshot", Kind: Invalid, Err: err}
	}
	return nil
}

// writeTemporary writes and syncs the file under a name that recovery ignores. After a crash
// during the write, the older snapshot stays valid.
func (journal *Journal) writeTemporary(name string, snapshot Snapshot) error {
	payload, err := cbor.Marshal(snapshot)
	if err != nil {
		return &Error{Operation: "save snapshot", Kind: Invalid, File: name, Err: eris.Wrap(err, "encode")}
	}
	content := append(encodeHeader(snapshotMagic, uint64(len(payload)), payload), payload...)
	file, err := journal.FileSystem.Create(journal.path(name))
	if err != nil {
		return journal.snapshotFailed(storageError("save snapshot", name, WriteFailed, err))
	}
	_, err = file.WriteAt(content, 0)
	if err != nil {
		_ = file.Close() // the file is removed
		_ = journal.FileSystem.Remove(journal.path(name))
		return journal.snapshotFailed(storageError("save snapshot", name, WriteFailed, err))
	}
	err = firstError(file.Sync(), file.Close())
	if err != nil {
		return journal.snapshotFailed(storageError("save snapshot", name, SyncFailed, err))
	}
	return nil
}

// snapshotFailed breaks the journal unless the disk is only full, because the disk that failed to
// write the snapshot also holds the log.
func (journal *Journal) snapshotFailed(cause *Error) error {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	return journal.breakUnlessFull(cause)
}

func (journal *Journal) breakUnlessFull(cause *Error) error {
	if cause.Kind == DiskFull {
		return cause
	}
	return journal.markBroken(cause)
}

// adoptSnapshot renames the file to its final name and updates the log's state, with no append
// between the two.
func (journal *Journal) adoptSnapshot(name string, position Position) error {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	if err := journal.checkSnapshot(position); err != nil {
		return err
	}
	if err := journal.FileSystem.Rename(journal.path(name+temporarySuffix), journal.path(name)); err != nil {
		return journal.breakUnlessFull(storageError("save snapshot", name, WriteFailed, err))
	}
	if err := journal.FileSystem.SyncFolder(journal.Folder); err != nil {
		return journal.markBroken(storageError("save snapshot", name, SyncFailed, err))
	}
	previous := journal.state.snapshot
	journal.applySnapshot(position)
	if err := journal.dropSegments(); err != nil {
		return err
	}
	return journal.dropSnapshots(previous)
}

// applySnapshot updates the state for a durable snapshot. Recovery does the same, so a crash
// before the snapshot marker is written makes no difference.
func (journal *Journal) applySnapshot(position Position) {
	journal.state.snapshot = position
	if journal.state.contains(position) {
		return
	}
	journal.state.resetTo(position)
	journal.resetPending = true
}

// dropSnapshots removes obsolete snapshots. The previous one is kept as long as the log still
// contains all entries after it.
func (journal *Journal) dropSnapshots(previous Position) error {
	names, err := journal.FileSystem.List(journal.Folder)
	if err != nil {
		return journal.markBroken(storageError("drop snapshot", journal.Folder, ReadFailed, err))
	}
	kept := previous.Index >= journal.segments[0].startLast && !journal.resetPending
	for _, name := range names {
		position, matches := parseSnapshotName(name)
		if !matches || position == journal.state.snapshot || kept && position == previous {
			continue
		}
		if err := journal.FileSystem.Remove(journal.path(name)); err != nil {
			return journal.markBroken(storageError("drop snapshot", name, WriteFailed, err))
		}
	}
	return nil
}

// readSnapshot reads one snapshot file and validates it.
func readSnapshot(fileSystem FileSystem, path, name string) (*Snapshot, error) {
	content, err := fileSystem.Read(path)
	if err != nil {
		return nil, storageError("read snapshot", name, ReadFailed, err)
	}
	payload := content[min(headerBytes, len(content)):]
	if err := checkHeader(name, content, snapshotMagic, uint64(len(payload)), payload); err != nil {
		return nil, err
	}
	var snapshot Snapshot
	if err := decodeMode.Unmarshal(payload, &snapshot); err != nil {
		return nil, corruptError(name, headerBytes, err.Error())
	}
	if position, _ := parseSnapshotName(name); position != snapshot.Position() {
		return nil, corruptError(name, headerBytes, "the position in the contents doesn't match the file name")
	}
	return &snapshot, nil
}

func isTemporary(name string) bool { return strings.HasSuffix(name, temporarySuffix) }
