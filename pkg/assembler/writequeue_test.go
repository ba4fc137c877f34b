package assembler

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/journaler"
	"github.com/stoathitch/stoathitch/pkg/journaler/fakedisk"
	"github.com/stoathitch/stoathitch/pkg/replicator"
	_ "github.com/stoathitch/stoathitch/pkg/seeder"
)

// drawPersist draws a persist that can follow a log with entries of these terms.
func drawPersist(t *rapid.T, terms []identifier.Term, hardState replicator.HardState) replicator.Persist {
	persist := replicator.Persist{HardState: hardState}
	if rapid.Bool().Draw(t, "new-term") {
		persist.HardState.Term++
		persist.HardState.Vote = identifier.HostID(rapid.SampledFrom([]string{"", "keeper-1", "keeper-2"}).Draw(t, "vote"))
	}
	last := identifier.LogIndex(len(terms))
	if last > hardState.Commit && persist.HardState.Term > terms[len(terms)-1] && rapid.Bool().Draw(t, "truncate") {
		persist.TruncateFrom = identifier.LogIndex(rapid.Uint64Range(uint64(hardState.Commit)+1, uint64(last)).Draw(t, "from"))
		last = persist.TruncateFrom - 1
	}
	for range rapid.IntRange(0, 3).Draw(t, "entries") {
		last++
		persist.Entries = append(persist.Entries, replicator.Entry{Index: last, Term: persist.HardState.Term, Data: []byte{byte(last)}})
	}
	if len(persist.Entries) > 0 {
		persist.HardState.Commit = identifier.LogIndex(rapid.Uint64Range(uint64(hardState.Commit), uint64(last)).Draw(t, "commit"))
	}
	return persist
}

func termsAfter(terms []identifier.Term, persist replicator.Persist) []identifier.Term {
	if persist.TruncateFrom != 0 {
		terms = terms[:persist.TruncateFrom-1]
	}
	for _, entry := range persist.Entries {
		terms = append(terms, entry.Term)
	}
	return terms
}

// Guards against a merged persist that leads to another log than the persists one by one, such as one
// that forgets a truncation. All of them are merged, and a journal takes both forms.
func TestMergedPersistsLeadToTheSameLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var terms []identifier.Term
		hardState := replicator.HardState{Term: 1}
		single, merged := openFake(t), openFake(t)
		var waiting *waitingPersist
		flush := func() {
			if err := merged.Append(batchOf(&waiting.persist)); err != nil {
				t.Fatalf("the merged persist %+v is refused: %v", waiting.persist, err)
			}
			waiting = nil
		}
		for sequence := range rapid.IntRange(1, 12).Draw(t, "persists") {
			persist := drawPersist(t, terms, hardState)
			persist.Sequence = replicator.PersistSequence(sequence + 1)
			terms, hardState = termsAfter(terms, persist), persist.HardState
			if err := single.Append(batchOf(&persist)); err != nil {
				t.Fatal(err)
			}
			next := waitingPersist{persist: persist, bytes: sizeOf(persist)}
			if waiting != nil && (rapid.IntRange(0, 4).Draw(t, "written") == 0 || !waiting.merge(next)) {
				flush()
			}
			if waiting == nil {
				waiting = &next
			}
			if waiting.persist.Sequence != persist.Sequence {
				t.Fatalf("the merged persist has sequence %d, want %d", waiting.persist.Sequence, persist.Sequence)
			}
		}
		flush()
		if wanted, found := reopen(t, single), reopen(t, merged); !reflect.DeepEqual(wanted, found) {
			t.Fatalf("merged they lead to %+v, one by one to %+v", found, wanted)
		}
	})
}

func openFake(t *rapid.T) *journaler.Journal {
	journal := &journaler.Journal{Folder: "data", FileSystem: fakedisk.New(1)}
	if _, err := journal.Open(); err != nil {
		t.Fatal(err)
	}
	return journal
}

func reopen(t *rapid.T, journal *journaler.Journal) journaler.Recovered {
	if err := journal.Close(); err != nil {
		t.Fatal(err)
	}
	recovered, err := journal.Open()
	if err != nil {
		t.Fatal(err)
	}
	return recovered
}

// Guards against a queue that blocks the tick or grows without a bound while a disk refuses for minutes
// and the keeper sees one term after another.
func TestWriteQueueIsBounded(t *testing.T) {
	queue := newWriteQueue()
	const added = 200 * writeQueueSize
	for number := range added {
		queue.add(replicator.Persist{Sequence: replicator.PersistSequence(number + 1), HardState: replicator.HardState{Term: identifier.Term(number + 1)}})
	}
	if length := queue.length(); length > 2*writeQueueSize {
		t.Errorf("%d persists wait after %d", length, added)
	}
	last := queue.persists[len(queue.persists)-1].persist
	if last.Sequence != added || last.HardState.Term != added {
		t.Errorf("the last one is %+v", last)
	}
}
