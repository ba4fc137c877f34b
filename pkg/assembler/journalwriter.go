package assembler

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/connector"
	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/journaler"
	"github.com/stoathitch/stoathitch/pkg/loader"
	"github.com/stoathitch/stoathitch/pkg/measurer"
	"github.com/stoathitch/stoathitch/pkg/provider"
	"github.com/stoathitch/stoathitch/pkg/replicator"
)

// journalWriter writes the journal and the snapshots of this host's keeper. One goroutine does all
// writes, in the order in which the replicated log requested them. A write that the disk refuses is
// tried again before anything later, so that a report never covers a write that is missing.
type journalWriter struct {
	*provider.Common
	post    connector.Poster
	journal *journaler.Journal
	queue   *writeQueue
	stopped chan struct{}
	// fail ends the process once the journal contradicts the replicated log.
	fail context.CancelCauseFunc
	// retryInterval is the wait between two tries.
	retryInterval time.Duration

	// mustOpen reports that the journal broke and has to be opened anew.
	mustOpen bool
	// unknown is the write whose outcome the next opening tells; nil if there is none.
	unknown *unknownWrite
	// groupWritten reports that the group that was taken is durable although its write failed.
	groupWritten bool
	// snapshotRetry is when the keeper's own snapshot is tried again.
	snapshotRetry   time.Time
	persistRefusal  refusal
	snapshotRefusal refusal
}

// writeRetryInterval is the retryInterval of a daemon. Each try may open the journal anew, which reads all
// of it.
const writeRetryInterval = 500 * time.Millisecond

// openJournal recovers the journal of a keeper and posts it to the coordinator as its first input. The
// writer runs until running is done. The journal isn't open if ctx is done first.
func (daemon *Daemon) openJournal(ctx, running context.Context, fail context.CancelCauseFunc) error {
	if !daemon.Settings.HasRole(loader.RoleKeeper) {
		return nil
	}
	journal := &journaler.Journal{Folder: daemon.Settings.DataFolder}
	recovered, err := retryWhileDiskRefuses(ctx, daemon, journal.Open)
	if err != nil {
		return &Error{Operation: "open the journal in " + daemon.Settings.DataFolder, Kind: ErrorJournal, Err: err}
	}
	if ctx.Err() != nil {
		return journal.Close()
	}
	restored, err := restoredOf(&recovered)
	if err != nil {
		return &Error{Operation: "read the journal in " + daemon.Settings.DataFolder, Kind: ErrorJournal, Err: err}
	}
	daemon.Log.Info("journal recovered", "entries", len(recovered.Entries), "cut-bytes", recovered.TruncatedBytes)
	daemon.journalWriter = &journalWriter{
		Common:        daemon.Common,
		post:          daemon.runner.Post,
		journal:       journal,
		queue:         newWriteQueue(),
		stopped:       make(chan struct{}),
		retryInterval: writeRetryInterval,
		fail:          fail,
	}
	daemon.runner.Post(running, &coordinator.Restored{Restored: restored})
	go daemon.journalWriter.run(running)
	return nil
}

func (daemon *Daemon) closeJournal() {
	if daemon.journalWriter == nil {
		return
	}
	<-daemon.journalWriter.stopped
	if err := daemon.journalWriter.journal.Close(); err != nil {
		daemon.Log.Error("journal not closed", "err", err)
	}
}

// run writes until ctx is done, or until the journal contradicts the replicated log: then nothing more
// is reported as durable, and the process shuts down.
func (journalWriter *journalWriter) run(ctx context.Context) {
	defer close(journalWriter.stopped)
	for {
		err := journalWriter.writeWaiting(ctx)
		if err != nil && !isRetryable(err) {
			journalWriter.queue.close()
			journalWriter.Log.Error("journal contradicts the replicated log, nothing more is written", "err", err)
			journalWriter.fail(&Error{Operation: "write the journal", Kind: ErrorJournal, Err: err})
			return
		}
		if !journalWriter.pause(ctx, err != nil) {
			return
		}
	}
}

// pause waits for the next write or the next try, and reports whether there is one.
func (journalWriter *journalWriter) pause(ctx context.Context, refused bool) bool {
	wake := journalWriter.queue.wake
	if refused {
		wake = nil
	}
	var retry <-chan time.Time
	if refused || journalWriter.queue.ownSnapshot() != nil {
		timer := time.NewTimer(journalWriter.retryInterval)
		defer timer.Stop()
		retry = timer.C
	}
	select {
	case <-ctx.Done():
		return false
	case <-wake:
	case <-retry:
	}
	return true
}

// writeWaiting writes until nothing waits or the disk refuses a persist. A refused snapshot of the
// keeper's own doesn't hold up persists: on a full disk these may still fit.
func (journalWriter *journalWriter) writeWaiting(ctx context.Context) error {
	for ctx.Err() == nil {
		group := journalWriter.queue.take()
		if len(group) > 0 {
			err := journalWriter.writeGroup(ctx, group)
			journalWriter.notePersist(err)
			if err != nil {
				return journalWriter.makeRoom(ctx, err)
			}
		}
		if err := journalWriter.writeOwnSnapshot(ctx); err != nil {
			return err
		}
		if len(group) == 0 {
			return nil
		}
	}
	return nil
}

// makeRoom writes the keeper's own snapshot after the disk refused a persist for want of room, as the
// journal drops what the snapshot covers. It returns the refusal, or an error that no later try mends.
func (journalWriter *journalWriter) makeRoom(ctx context.Context, refused error) error {
	if kind, _ := journaler.KindOf(refused); kind != journaler.DiskFull {
		return refused
	}
	if err := journalWriter.writeOwnSnapshot(ctx); err != nil {
		return err
	}
	return refused
}

// writeGroup writes a group of persists with one sync, or one persist with its snapshot, and reports
// the last one that is durable together with all before it.
func (journalWriter *journalWriter) writeGroup(ctx context.Context, group []replicator.Persist) error {
	if err := journalWriter.ensureOpen(); err != nil {
		return err
	}
	if snapshot := group[0].Snapshot; snapshot != nil {
		if err := journalWriter.saveSnapshot(snapshot); err != nil {
			return err
		}
		group[0].TruncateFrom = journalWriter.firstBehind(snapshot)
	}
	durable, err := len(group), error(nil)
	if !journalWriter.groupWritten {
		durable, err = journalWriter.append(group)
	}
	journalWriter.groupWritten = false
	if durable > 0 {
		journalWriter.queue.remove(durable)
		journalWriter.post(ctx, &coordinator.Persisted{Sequence: group[durable-1].Sequence})
	}
	return err
}

// firstBehind returns the first entry that the journal holds behind a leader's snapshot, or zero. The
// snapshot stands for the whole log, but the journal keeps what follows it if a truncation that was
// refused has been dropped for the snapshot.
func (journalWriter *journalWriter) firstBehind(snapshot *replicator.Snapshot) identifier.LogIndex {
	if last, _ := journalWriter.journal.Position(); last.Index > snapshot.Index {
		return snapshot.Index + 1
	}
	return 0
}

// append returns how many persists of the group are durable.
func (journalWriter *journalWriter) append(group []replicator.Persist) (int, error) {
	batches := make([]journaler.Batch, 0, len(group))
	for index := range group {
		batches = append(batches, batchOf(&group[index]))
	}
	before := progressOf(journalWriter.journal)
	for index, err := range journalWriter.journal.AppendGroup(batches) {
		if err != nil {
			journalWriter.noteOutcome(err, &unknownWrite{before: before, after: before.afterBatches(batches), isGroup: true})
			return index, err
		}
	}
	return len(group), nil
}

// writeOwnSnapshot writes the keeper's own snapshot if one waits and its next try is due.
func (journalWriter *journalWriter) writeOwnSnapshot(ctx context.Context) error {
	snapshot := journalWriter.queue.ownSnapshot()
	if snapshot == nil || time.Now().Before(journalWriter.snapshotRetry) {
		return nil
	}
	err := journalWriter.ensureOpen()
	if err == nil && journalWriter.journal.SnapshotPosition().Index < snapshot.Index {
		err = journalWriter.saveSnapshot(snapshot)
	}
	journalWriter.noteSnapshot(err)
	if err != nil {
		journalWriter.snapshotRetry = time.Now().Add(journalWriter.retryInterval)
		if isRetryable(err) {
			return nil
		}
		return err
	}
	journalWriter.queue.removeSnapshot(snapshot)
	journalWriter.post(ctx, &coordinator.SnapshotSaved{Index: snapshot.Index})
	return nil
}

// saveSnapshot writes a snapshot unless the journal already has it.
func (journalWriter *journalWriter) saveSnapshot(snapshot *replicator.Snapshot) error {
	converted, err := journalSnapshot(snapshot)
	if err != nil {
		return err
	}
	if journalWriter.journal.SnapshotPosition() == converted.Position() {
		return nil
	}
	before := progressOf(journalWriter.journal)
	err = journalWriter.journal.SaveSnapshot(converted)
	if err != nil {
		after := progress{last: converted.Position(), hardState: before.hardState}
		journalWriter.noteOutcome(err, &unknownWrite{before: before, after: after})
	}
	return err
}

// notePersist logs the first refusal of a persist and the end of the refusals.
func (journalWriter *journalWriter) notePersist(err error) {
	if err != nil {
		if journalWriter.persistRefusal.refused() {
			journalWriter.Log.Error("journal not written", "err", err, "waiting", journalWriter.queue.length())
		}
		return
	}
	if tries, began := journalWriter.persistRefusal.accepted(); tries > 0 {
		journalWriter.Log.Info("journal written again", "tries", tries, "lasted", time.Since(began), "waiting", journalWriter.queue.length())
	}
}

// noteSnapshot does the same for the keeper's own snapshot.
func (journalWriter *journalWriter) noteSnapshot(err error) {
	if err != nil {
		if journalWriter.snapshotRefusal.refused() {
			journalWriter.Log.Error("snapshot not written", "err", err)
		}
		return
	}
	if tries, began := journalWriter.snapshotRefusal.accepted(); tries > 0 {
		journalWriter.Log.Info("snapshot written again", "tries", tries, "lasted", time.Since(began))
	}
}

// fillGauges sets the counts of what waits for the disk.
func (journalWriter *journalWriter) fillGauges(gauges *measurer.Gauges) {
	gauges.JournalWaiting = journalWriter.queue.length()
	gauges.JournalRefusedSince = journalWriter.persistRefusal.since()
	gauges.SnapshotRefusedSince = journalWriter.snapshotRefusal.since()
}

func batchOf(persist *replicator.Persist) journaler.Batch {
	batch := journaler.Batch{
		TruncateFrom: persist.TruncateFrom,
		Entries:      make([]journaler.Entry, 0, len(persist.Entries)),
		HardState: &journaler.HardState{
			Term: persist.HardState.Term, VotedFor: persist.HardState.Vote, Commit: persist.HardState.Commit,
		},
	}
	for _, entry := range persist.Entries {
		batch.Entries = append(batch.Entries, journaler.Entry{
			Index: entry.Index, Term: entry.Term, Kind: journaler.EntryKind(entry.Kind), Data: entry.Data,
		})
	}
	return batch
}

func journalSnapshot(snapshot *replicator.Snapshot) (journaler.Snapshot, error) {
	members, err := cbor.Marshal(snapshot.Members)
	if err != nil {
		return journaler.Snapshot{}, eris.Wrap(err, "encode members")
	}
	return journaler.Snapshot{Index: snapshot.Index, Term: snapshot.Term, Meta: members, Data: snapshot.Data}, nil
}

func restoredOf(recovered *journaler.Recovered) (replicator.Restored, error) {
	restored := replicator.Restored{HardState: replicator.HardState{
		Term: recovered.HardState.Term, Vote: recovered.HardState.VotedFor, Commit: recovered.HardState.Commit,
	}}
	for _, entry := range recovered.Entries {
		restored.Entries = append(restored.Entries, replicator.Entry{
			Index: entry.Index, Term: entry.Term, Kind: replicator.EntryKind(entry.Kind), Data: entry.Data,
		})
	}
	if recovered.Snapshot == nil {
		return restored, nil
	}
	snapshot := &replicator.Snapshot{
		Index: recovered.Snapshot.Index, Term: recovered.Snapshot.Term, Data: recovered.Snapshot.Data,
	}
	if err := cbor.Unmarshal(recovered.Snapshot.Meta, &snapshot.Members); err != nil {
		return restored, eris.Wrap(err, "decode members")
	}
	restored.Snapshot = snapshot
	return restored, nil
}
