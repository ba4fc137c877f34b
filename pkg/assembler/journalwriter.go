package assembler

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/connector"
	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/journaler"
	"github.com/stoathitch/stoathitch/pkg/loader"
	"github.com/stoathitch/stoathitch/pkg/provider"
	"github.com/stoathitch/stoathitch/pkg/replicator"
)

// journalWriter writes the journal and the snapshots of this host's keeper. One goroutine does all
// writes, so that they reach the disk in the order in which the replicated log requested them.
type journalWriter struct {
	*provider.Common
	post     connector.Poster
	journal  *journaler.Journal
	requests chan writeRequest
	stopped  chan struct{}
}

// writeRequest is one write; exactly one field is set.
type writeRequest struct {
	persist  *replicator.Persist
	snapshot *replicator.Snapshot
}

// writeQueueSize bounds the writes that wait for the disk. The replicated log bounds its entries in
// flight well below it.
const writeQueueSize = 65536

// openJournal recovers the journal of a keeper and posts it to the coordinator as its first
// input.
func (daemon *Daemon) openJournal(ctx context.Context) error {
	if !daemon.Settings.HasRole(loader.RoleKeeper) {
		return nil
	}
	journal := &journaler.Journal{Folder: daemon.Settings.DataFolder}
	recovered, err := journal.Open()
	if err != nil {
		return &Error{Operation: "open the journal in " + daemon.Settings.DataFolder, Kind: ErrorJournal, Err: err}
	}
	restored, err := restoredOf(&recovered)
	if err != nil {
		return &Error{Operation: "read the journal in " + daemon.Settings.DataFolder, Kind: ErrorJournal, Err: err}
	}
	daemon.Log.Info("journal recovered", "entries", len(recovered.Entries), "cut-bytes", recovered.TruncatedBytes)
	daemon.journalWriter = &journalWriter{
		Common:   daemon.Common,
		post:     daemon.runner.Post,
		journal:  journal,
		requests: make(chan writeRequest, writeQueueSize),
		stopped:  make(chan struct{}),
	}
	daemon.runner.Post(ctx, &coordinator.Restored{Restored: restored})
	go daemon.journalWriter.run(ctx)
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

func (journalWriter *journalWriter) persist(persist replicator.Persist) {
	journalWriter.requests <- writeRequest{persist: &persist}
}

func (journalWriter *journalWriter) saveSnapshot(snapshot replicator.Snapshot) {
	journalWriter.requests <- writeRequest{snapshot: &snapshot}
}

// run writes until ctx is done. After a failed write nothing more is reported as durable: the keeper
// goes on without a vote, and the host goes on serving.
func (journalWriter *journalWriter) run(ctx context.Context) {
	defer close(journalWriter.stopped)
	for {
		select {
		case <-ctx.Done():
			return
		case work := <-journalWriter.requests:
			journalWriter.process(ctx, journalWriter.drainQueue(work))
		}
	}
}

// drainQueue returns the first request and those already queued, so that they share one sync.
func (journalWriter *journalWriter) drainQueue(first writeRequest) []writeRequest {
	gathered := []writeRequest{first}
	for {
		select {
		case next := <-journalWriter.requests:
			gathered = append(gathered, next)
		default:
			return gathered
		}
	}
}

func (journalWriter *journalWriter) process(ctx context.Context, gathered []writeRequest) {
	var group []*replicator.Persist
	for _, work := range gathered {
		if work.persist != nil && work.persist.Snapshot == nil {
			group = append(group, work.persist)
			continue
		}
		journalWriter.append(ctx, group)
		group = nil
		journalWriter.writeSnapshot(ctx, work)
	}
	journalWriter.append(ctx, group)
}

// append writes a group of persists with one sync and reports the last one that is durable
// together with all before it.
func (journalWriter *journalWriter) append(ctx context.Context, group []*replicator.Persist) {
	if len(group) == 0 {
		return
	}
	batches := make([]journaler.Batch, 0, len(group))
	for _, persist := range group {
		batches = append(batches, batchOf(persist))
	}
	var durable replicator.PersistSequence
	for index, err := range journalWriter.journal.AppendGroup(batches) {
		if err != nil {
			journalWriter.Log.Error("journal not written", "err", err)
			break
		}
		durable = group[index].Sequence
	}
	if durable > 0 {
		journalWriter.post(ctx, &coordinator.Persisted{Sequence: durable})
	}
}

// writeSnapshot writes a snapshot: the keeper's own, or the leader's, which replaces the whole log.
func (journalWriter *journalWriter) writeSnapshot(ctx context.Context, work writeRequest) {
	snapshot := work.snapshot
	if snapshot == nil {
		snapshot = work.persist.Snapshot
	}
	converted, err := journalSnapshot(snapshot)
	if err == nil {
		err = journalWriter.journal.SaveSnapshot(converted)
	}
	if err != nil {
		journalWriter.Log.Error("snapshot not written", "err", err)
		return
	}
	if work.snapshot != nil {
		journalWriter.post(ctx, &coordinator.SnapshotSaved{Index: snapshot.Index})
		return
	}
	rest := *work.persist
	rest.Snapshot = nil
	journalWriter.append(ctx, []*replicator.Persist{&rest})
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
