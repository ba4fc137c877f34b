package journaler_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stoathitch/stoathitch/pkg/journaler"
	"github.com/stoathitch/stoathitch/pkg/journaler/fakedisk"
)

// step is the state after a synced batch, and where it ends on disk.
type step struct {
	file  string
	bytes int
	state string
}

// record runs a journal over several segments and notes each synced step.
func record(t *testing.T) (contents map[string][]byte, steps []step) {
	t.Helper()
	disk := fakedisk.New(1)
	journal := newJournal(disk)
	if _, err := journal.Open(); err != nil {
		t.Fatal(err)
	}
	oracle := model{}
	steps = append(steps, stepOf(disk, oracle))
	for number := 1; number <= 24; number++ {
		batch := journaler.Batch{Entries: []journaler.Entry{entry(int(oracle.last().Index)+1, 1+number/6, fmt.Sprintf("data %d", number))}}
		if number%5 == 0 {
			batch.TruncateFrom = oracle.last().Index
			batch.Entries[0].Index--
		}
		if number%3 == 0 {
			batch.HardState = &journaler.HardState{Term: batch.Entries[0].Term, Commit: oracle.last().Index - 1}
		}
		if err := journal.Append(batch); err != nil {
			t.Fatal(err)
		}
		oracle = oracle.after(batch)
		steps = append(steps, stepOf(disk, oracle))
	}
	return disk.Contents(), steps
}

func stepOf(disk *fakedisk.Disk, oracle model) step {
	contents := disk.Contents()
	newest := newestFile(contents)
	return step{file: newest, bytes: len(contents[newest]), state: oracle.text()}
}

func newestFile(contents map[string][]byte) string {
	newest := ""
	for name := range contents {
		newest = max(newest, name)
	}
	return newest
}

// openOn opens a journal on a disk with these files.
func openOn(contents map[string][]byte, changed string, content []byte) (journaler.Recovered, error) {
	disk := fakedisk.New(1)
	for name, original := range contents {
		disk.Put(name, original)
	}
	disk.Put(changed, content)
	return newJournal(disk).Open()
}

// stateAt returns the last synced state when the newest file has only so many
// bytes.
func stateAt(steps []step, newest string, bytes int) string {
	state := ""
	for _, step := range steps {
		if step.file != newest || step.bytes <= bytes {
			state = step.state
		}
	}
	return state
}

// Symptom: a keeper that was killed in a write doesn't start again, or starts
// with less than it acknowledged or with half a batch.
// Sequence: a run over several segments; the newest file ends at any one byte.
// Cause looked for: recovery that takes a torn tail for damage, or the reverse.
func TestCutAtEveryByte(t *testing.T) {
	contents, steps := record(t)
	newest := newestFile(contents)
	if len(contents) < 4 {
		t.Fatalf("the run has %d segments, too few to tell", len(contents))
	}
	for bytes := range contents[newest] {
		recovered, err := openOn(contents, newest, contents[newest][:bytes])
		if err != nil {
			t.Fatalf("cut at byte %d: %v", bytes, err)
		}
		if found, want := modelOf(recovered).text(), stateAt(steps, newest, bytes); found != want {
			t.Fatalf("cut at byte %d: recovered\n%swant\n%s", bytes, found, want)
		}
	}
}

// Symptom: accepted entries are silently gone after a disk lost part of an
// older file.
// Sequence: a run over several segments; an older file ends at any one byte, or
// is gone.
// Cause looked for: a cut where later segments prove that more was synced.
func TestCutInTheMiddleIsRefused(t *testing.T) {
	contents, _ := record(t)
	newest := newestFile(contents)
	for name, content := range contents {
		for bytes := range content {
			if name == newest {
				continue
			}
			_, err := openOn(contents, name, content[:bytes])
			requireRefusal(t, err, fmt.Sprintf("%s cut at byte %d", name, bytes))
		}
	}
}

// Symptom: a rotten byte goes unnoticed, or takes accepted entries with it.
// Sequence: a run over several segments; any one byte of any file is changed.
// Cause looked for: damage with valid frames behind it taken for a torn tail.
// Only damage of the very last frame can't be told from a torn write: it is cut.
func TestFlipEveryByte(t *testing.T) {
	contents, steps := record(t)
	newest := newestFile(contents)
	beforeLast := steps[len(steps)-2]
	for name, content := range contents {
		for place := range content {
			flipped := slices.Clone(content)
			flipped[place] ^= 0x41
			recovered, err := openOn(contents, name, flipped)
			if name != newest || place < beforeLast.bytes {
				requireRefusal(t, err, fmt.Sprintf("%s changed at byte %d", name, place))
				continue
			}
			if err != nil || modelOf(recovered).text() != beforeLast.state {
				t.Fatalf("last frame changed at byte %d: %v, recovered\n%s", place, err, modelOf(recovered).text())
			}
		}
	}
}

func requireRefusal(t *testing.T, err error, what string) {
	t.Helper()
	if kind, _ := journaler.KindOf(err); err == nil || kind != journaler.CorruptRecord {
		t.Fatalf("%s: want a corrupt-record error, got %v", what, err)
	}
}

// Symptom: a keeper that was killed in a write refuses to start, for a valid
// frame behind the damaged one.
// Sequence: an entry's data holds the bytes of a frame, as a copied log would;
// the write of that entry is torn behind them.
// Cause looked for: a frame that counts wherever it stands.
func TestFrameInsideAnEntryIsNone(t *testing.T) {
	disk := fakedisk.New(1)
	journal := &journaler.Journal{Folder: folder, FileSystem: disk}
	if _, err := journal.Open(); err != nil {
		t.Fatal(err)
	}
	oracle := model{}
	copied := ""
	for index := 1; index <= 2; index++ {
		batch := journaler.Batch{Entries: []journaler.Entry{entry(index, 1, copied)}}
		if err := journal.Append(batch); err != nil {
			t.Fatal(err)
		}
		if index == 1 {
			oracle = oracle.after(batch)
		}
		contents := disk.Contents()
		copied = string(contents[newestFile(contents)])
	}
	contents := disk.Contents()
	newest := newestFile(contents)
	recovered, err := openOn(contents, newest, contents[newest][:len(contents[newest])-1])
	if err != nil || modelOf(recovered).text() != oracle.text() {
		t.Fatalf("%v, recovered\n%s", err, modelOf(recovered).text())
	}
}
