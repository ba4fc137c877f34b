package journaler_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stoathitch/stoathitch/pkg/journaler"
	"github.com/stoathitch/stoathitch/pkg/journaler/fakedisk"
)

// step is the state after a synced batch, with the newest file and its size at that point.
type step struct {
	file  string
	bytes int
	state string
}

// recordRun runs a journal over several segments and records each synced step.
func recordRun(t *testing.T) (contents map[string][]byte, steps []step) {
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

// openWithChange opens a journal on a disk with these files, with the contents of one replaced.
func openWithChange(contents map[string][]byte, changed string, content []byte) (journaler.Recovered, error) {
	disk := fakedisk.New(1)
	for name, original := range contents {
		disk.Put(name, original)
	}
	disk.Put(changed, content)
	return newJournal(disk).Open()
}

// stateAt returns the last synced state if the newest file is truncated to a number of bytes.
func stateAt(steps []step, newest string, bytes int) string {
	state := ""
	for _, step := range steps {
		if step.file != newest || step.bytes <= bytes {
			state = step.state
		}
	}
	return state
}

// TestCutAtEveryByte guards against a keeper that was killed during a write and doesn't start
// again, or starts with less than it acknowledged or with half a batch. The newest file of a log
// of several segments is truncated at every byte. Recovery must not confuse a torn tail with
// damage.
func TestCutAtEveryByte(t *testing.T) {
	contents, steps := recordRun(t)
	newest := newestFile(contents)
	if len(contents) < 4 {
		t.Fatalf("the run has %d segments, too few to tell", len(contents))
	}
	for bytes := range contents[newest] {
		recovered, err := openWithChange(contents, newest, contents[newest][:bytes])
		if err != nil {
			t.Fatalf("cut at byte %d: %v", bytes, err)
		}
		if found, want := modelOf(recovered).text(), stateAt(steps, newest, bytes); found != want {
			t.Fatalf("cut at byte %d: recovered\n%swant\n%s", bytes, found, want)
		}
	}
}

// TestCutInTheMiddleIsRefused guards against accepted entries that are silently lost after a disk
// lost part of an older file. An older file of a log of several segments is truncated at every
// byte, down to nothing. Recovery must not cut the log there, since later segments prove that more
// was synced.
func TestCutInTheMiddleIsRefused(t *testing.T) {
	contents, _ := recordRun(t)
	newest := newestFile(contents)
	for name, content := range contents {
		for bytes := range content {
			if name == newest {
				continue
			}
			_, err := openWithChange(contents, name, content[:bytes])
			requireRefusal(t, err, fmt.Sprintf("%s cut at byte %d", name, bytes))
		}
	}
}

// TestFlipEveryByte guards against a corrupt byte that goes unnoticed or causes the loss of
// accepted entries. Each single byte of each file of a log of several segments is changed.
// Recovery must not treat damage that valid frames follow as a torn tail. Only damage in the very
// last frame can't be distinguished from a torn write, so that frame is removed.
func TestFlipEveryByte(t *testing.T) {
	contents, steps := recordRun(t)
	newest := newestFile(contents)
	beforeLast := steps[len(steps)-2]
	for name, content := range contents {
		for place := range content {
			flipped := slices.Clone(content)
			flipped[place] ^= 0x41
			recovered, err := openWithChange(contents, name, flipped)
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

// TestFrameInsideAnEntryIsNone guards against a keeper that was killed during a write and refuses
// to start because it finds a valid frame after the damaged one. An entry's data contains the
// bytes of a frame, as a copied log would, and the write of that entry is torn after them. A frame
// must be valid only at its own offset.
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
	recovered, err := openWithChange(contents, newest, contents[newest][:len(contents[newest])-1])
	if err != nil || modelOf(recovered).text() != oracle.text() {
		t.Fatalf("%v, recovered\n%s", err, modelOf(recovered).text())
	}
}
