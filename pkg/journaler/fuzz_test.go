package journaler_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/journaler"
	"github.com/stoathitch/stoathitch/pkg/journaler/fakedisk"
)

// machine drives a journal on a faulty disk and compares it with the oracle.
type machine struct {
	disk    *fakedisk.Disk
	journal *journaler.Journal
	open    bool
	// possible holds the states that the next Open may recover. The first is the
	// acknowledged state; a second one includes the write that failed or was interrupted.
	possible []model
	written  int
}

// TestAcknowledgedIsNeverLost guards against an accepted entry, vote or snapshot that is gone after
// a restart, and against one that was never written. It mixes appends, groups, truncations and
// snapshots with crashes and kills at any call, failed syncs and a full disk, and then reopens the
// journal. Possible causes are a write that is acknowledged before its sync, a tail cut too short
// or too long, a segment or snapshot that is dropped too early, and a failed sync that is ignored.
func TestAcknowledgedIsNeverLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		test := &machine{disk: fakedisk.New(rapid.Uint64().Draw(t, "seed")), possible: []model{{}}}
		t.Repeat(map[string]func(*rapid.T){
			"":         test.check,
			"append":   test.append,
			"group":    test.appendGroup,
			"truncate": test.truncate,
			"snapshot": test.saveSnapshot,
			"install":  test.installSnapshot,
			"plan":     test.planFault,
			"room":     test.changeFreeBytes,
			"crash":    func(*rapid.T) { test.disk.Crash(); test.open = false },
			"kill":     func(*rapid.T) { test.disk.Kill(); test.open = false },
			"close":    func(t *rapid.T) { test.close() },
		})
		test.disk.FreeBytes = fakedisk.Unlimited
		test.disk.Crash()
		test.open = false
		test.ensureOpen(t)
	})
}

// ensureOpen opens the journal, repeatedly if needed, until no injected fault is left.
func (test *machine) ensureOpen(t *rapid.T) {
	for !test.open {
		test.journal = newJournal(test.disk)
		recovered, err := test.journal.Open()
		if err == nil {
			test.checkRecovered(t, recovered)
			return
		}
		switch kind, _ := journaler.KindOf(err); kind {
		case journaler.DiskFull:
			if len(test.disk.Contents()) > 1 {
				t.Fatalf("a full disk kept a journal with contents from opening: %v", err)
			}
			test.disk.FreeBytes = fakedisk.Unlimited
		case journaler.SyncFailed, journaler.WriteFailed:
			test.disk.Crash()
		default:
			t.Fatalf("refused to open: %v", err)
		}
	}
}

// checkRecovered checks the state that Open recovered. From now on it counts as acknowledged,
// because the opener of the journal acts on it.
func (test *machine) checkRecovered(t *rapid.T, recovered journaler.Recovered) {
	found := modelOf(recovered)
	for _, possible := range test.possible {
		if possible.text() == found.text() {
			test.possible = []model{possible}
			test.open = true
			return
		}
	}
	t.Fatalf("recovered\n%swhich is none of %d possible, acknowledged is\n%s", found.text(), len(test.possible), test.possible[0].text())
}

// recordOutcome records the outcome of a write.
func (test *machine) recordOutcome(t *rapid.T, err error, after model) {
	if err == nil {
		test.possible = []model{after}
		return
	}
	switch kind, _ := journaler.KindOf(err); kind {
	case journaler.SyncFailed, journaler.WriteFailed:
		test.possible = append(test.possible, after)
		if again, _ := journaler.KindOf(test.journal.Append(journaler.Batch{})); again != journaler.Broken {
			t.Fatalf("the journal goes on after %v", err)
		}
		if rapid.Bool().Draw(t, "machine-crash") {
			test.disk.Crash()
		} else {
			test.disk.Kill()
		}
		test.open = false
	case journaler.DiskFull:
	default:
		t.Fatalf("refused a valid write: %v", err)
	}
}

func (test *machine) acknowledged() model { return test.possible[0] }

func (test *machine) batch(t *rapid.T, from model) journaler.Batch {
	var batch journaler.Batch
	term := max(from.last().Term, from.hardState.Term, 1) + identifier.Term(rapid.IntRange(0, 1).Draw(t, "new-term"))
	last := from.last().Index
	for range rapid.IntRange(0, 3).Draw(t, "entries") {
		last++
		test.written++
		size := rapid.IntRange(0, 60).Draw(t, "size")
		data := fmt.Sprintf("%d-%0*d", test.written, size, 0)
		batch.Entries = append(batch.Entries, entry(int(last), int(term), data))
	}
	if rapid.Bool().Draw(t, "hard-state") {
		commit := rapid.Uint64Range(uint64(from.hardState.Commit), uint64(max(last, from.hardState.Commit))).Draw(t, "commit")
		batch.HardState = &journaler.HardState{Term: term, VotedFor: from.hardState.VotedFor, Commit: identifier.LogIndex(commit)}
		if term > from.hardState.Term {
			batch.HardState.VotedFor = identifier.HostID(fmt.Sprint("host-", test.written))
		}
	}
	return batch
}

func (test *machine) append(t *rapid.T) {
	test.ensureOpen(t)
	batch := test.batch(t, test.acknowledged())
	test.recordOutcome(t, test.journal.Append(batch), test.acknowledged().after(batch))
}

func (test *machine) appendGroup(t *rapid.T) {
	test.ensureOpen(t)
	after := test.acknowledged()
	var batches []journaler.Batch
	for range rapid.IntRange(2, 4).Draw(t, "batches") {
		batch := test.batch(t, after)
		batches = append(batches, batch)
		after = after.after(batch)
	}
	errs := test.journal.AppendGroup(batches)
	for _, err := range errs {
		if err != errs[0] {
			t.Fatalf("one group has several outcomes: %v", errs)
		}
	}
	test.recordOutcome(t, errs[0], after)
}

func (test *machine) truncate(t *rapid.T) {
	test.ensureOpen(t)
	before := test.acknowledged()
	lowest := max(before.base().Index, before.hardState.Commit) + 1
	if lowest > before.last().Index {
		t.Skip("nothing to truncate")
	}
	from := rapid.Uint64Range(uint64(lowest), uint64(before.last().Index)).Draw(t, "from")
	cut := journaler.Batch{TruncateFrom: identifier.LogIndex(from)}
	batch := test.batch(t, before.after(cut))
	batch.TruncateFrom = cut.TruncateFrom
	if batch.HardState != nil {
		batch.HardState.Commit = before.hardState.Commit
	}
	test.recordOutcome(t, test.journal.Append(batch), before.after(batch))
}

func (test *machine) saveSnapshot(t *rapid.T) {
	test.ensureOpen(t)
	before := test.acknowledged()
	if len(before.entries) == 0 {
		t.Skip("nothing to cover")
	}
	at := rapid.SampledFrom(before.entries).Draw(t, "at")
	test.save(t, journaler.Position{Index: at.Index, Term: at.Term})
}

// installSnapshot saves a snapshot from the leader whose last entry the log doesn't contain.
func (test *machine) installSnapshot(t *rapid.T) {
	test.ensureOpen(t)
	before := test.acknowledged()
	lowest := uint64(max(before.base().Index, before.hardState.Commit))
	index := lowest + rapid.Uint64Range(1, 8).Draw(t, "ahead")
	test.save(t, journaler.Position{Index: identifier.LogIndex(index), Term: before.last().Term + 1})
}

func (test *machine) save(t *rapid.T, at journaler.Position) {
	test.written++
	data := fmt.Sprintf("snapshot-%d-%0*d", test.written, rapid.IntRange(0, 200).Draw(t, "size"), 0)
	snapshot := journaler.Snapshot{Index: at.Index, Term: at.Term, Meta: []byte("members"), Data: []byte(data)}
	test.recordOutcome(t, test.journal.SaveSnapshot(snapshot), test.acknowledged().afterSnapshot(snapshot))
}

func (test *machine) planFault(t *rapid.T) {
	if rapid.Bool().Draw(t, "sync") {
		test.disk.FailSyncs = 1
		return
	}
	test.disk.CallsToCrash = rapid.IntRange(1, 12).Draw(t, "calls")
}

func (test *machine) changeFreeBytes(t *rapid.T) {
	test.disk.FreeBytes = rapid.OneOf(rapid.Int64Range(0, 400), rapid.Just(fakedisk.Unlimited)).Draw(t, "room")
}

func (test *machine) close() {
	if test.open {
		_ = test.journal.Close()
		test.open = false
	}
}

// check compares the position of the running journal with the oracle.
func (test *machine) check(t *rapid.T) {
	if !test.open {
		return
	}
	last, hardState := test.journal.Position()
	if last != test.acknowledged().last() || hardState != test.acknowledged().hardState {
		t.Fatalf("the journal stands at %v %v, the oracle at %v %v", last, hardState, test.acknowledged().last(), test.acknowledged().hardState)
	}
}
