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

// keeping carries out what the keeper of this host wants written. Everything goes
// through one goroutine, so that it reaches the disk in the order that the
// replicated log asked for.
type keeping struct {
	*provider.Common
	post    connector.Poster
	journal *journaler.Journal
	work    chan keepingWork
	stopped chan struct{}
}

// keepingWork is one thing to write; exactly one field is set.
type keepingWork struct {
	persist  *replicator.Persist
	snapshot *replicator.Snapshot
}

// keepingQueue bounds what waits for the disk. The replicated log bounds its
// entries in flight well below it.
const keepingQueue = 65536

// openJournal recovers the journal of a keeper and hands it to the coordinator
// before anything else.
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
	daemon.keeping = &keeping{
		Common:  daemon.Common,
		post:    daemon.runner.Post,
		journal: journal,
		work:    make(chan keepingWork, keepingQueue),
		stopped: make(chan struct{}),
	}
	daemon.runner.Post(ctx, &coordinator.Restored{Restored: restored})
	go daemon.keeping.run(ctx)
	return nil
}

func (daemon *Daemon) closeJournal() {
	if daemon.keeping == nil {
		return
	}
	<-daemon.keeping.stopped
	if err := daemon.keeping.journal.Close(); err != nil {
		daemon.Log.Error("journal not closed", "err", err)
	}
}

func (keeping *keeping) persist(persist replicator.Persist) {
	keeping.work <- keepingWork{persist: &persist}
}

func (keeping *keeping) saveSnapshot(snapshot replicator.Snapshot) {
	keeping.work <- keepingWork{snapshot: &snapshot}
}

// run writes until ctx is done. After a failed write nothing more is reported as
// durable: the keeper goes on without a vote, and serving goes on without it.
func (keeping *keeping) run(ctx context.Context) {
	defer close(keeping.stopped)
	for {
		select {
		case <-ctx.Done():
			return
		case work := <-keeping.work:
			keeping.carryOut(ctx, keeping.gather(work))
		}
	}
}

// gather takes the persists that wait already, so that they share one sync.
func (keeping *keeping) gather(first keepingWork) []keepingWork {
	gathered := []keepingWork{first}
	for {
		select {
		case next := <-keeping.work:
			gathered = append(gathered, next)
		default:
			return gathered
		}
	}
}

func (keeping *keeping) carryOut(ctx context.Context, gathered []keepingWork) {
	var group []*replicator.Persist
	for _, work := range gathered {
		if work.persist != nil && work.persist.Snapshot == nil {
			group = append(group, work.persist)
			continue
		}
		keeping.append(ctx, group)
		group = nil
		keeping.replaceOrSave(ctx, work)
	}
	keeping.append(ctx, group)
}

// append writes a group of persists with one sync and reports the last one that
// is durable together with all before it.
func (keeping *keeping) append(ctx context.Context, group []*replicator.Persist) {
	if len(group) == 0 {
		return
	}
	batches := make([]journaler.Batch, 0, len(group))
	for _, persist := range group {
		batches = append(batches, batchOf(persist))
	}
	var durable replicator.PersistSequence
	for index, err := range keeping.journal.AppendGroup(batches) {
		if err != nil {
			keeping.Log.Error("journal not written", "err", err)
			break
		}
		durable = group[index].Sequence
	}
	if durable > 0 {
		keeping.post(ctx, &coordinator.Persisted{Sequence: durable})
	}
}

// replaceOrSave writes a snapshot: one of the own state, or the leader's in place
// of the whole log.
func (keeping *keeping) replaceOrSave(ctx context.Context, work keepingWork) {
	snapshot := work.snapshot
	if snapshot == nil {
		snapshot = work.persist.Snapshot
	}
	converted, err := journalSnapshot(snapshot)
	if err == nil {
		err = keeping.journal.SaveSnapshot(converted)
	}
	if err != nil {
		keeping.Log.Error("snapshot not written", "err", err)
		return
	}
	if work.snapshot != nil {
		keeping.post(ctx, &coordinator.SnapshotSaved{Index: snapshot.Index})
		return
	}
	rest := *work.persist
	rest.Snapshot = nil
	keeping.append(ctx, []*replicator.Persist{&rest})
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
