package journaler_test

import (
	"fmt"
	"sort"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/journaler"
	"github.com/stoathitch/stoathitch/pkg/journaler/fakedisk"
)

// scenario runs one golden file. Its commands:
//
//	open                                      what was recovered
//	close, kill, crash                        end the journal, the process, the machine
//	append entries=A-B term=T data=D [cut=I] [commit=C] [vote=H]
//	snapshot index=I term=T                   SaveSnapshot
//	room bytes=N | fail-sync                  set a fault
//	flip file=F at=N | remove file=F          damage a file; at below zero counts from its end
//	files, position                           print the files, or the journal's position
type scenario struct {
	disk    *fakedisk.Disk
	journal *journaler.Journal
}

func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		test := &scenario{disk: fakedisk.New(1)}
		datadriven.RunTest(t, path, func(t *testing.T, command *datadriven.TestData) string {
			return test.run(t, command)
		})
	})
}

func (test *scenario) run(t *testing.T, command *datadriven.TestData) string {
	switch command.Cmd {
	case "open":
		return test.open()
	case "close":
		return outcome(test.journal.Close())
	case "kill":
		test.disk.Kill()
	case "crash":
		test.disk.Crash()
	case "append":
		return outcome(test.journal.Append(batchOf(t, command)))
	case "snapshot":
		return outcome(test.snapshot(t, command))
	case "room":
		command.ScanArgs(t, "bytes", &test.disk.FreeBytes)
	case "fail-sync":
		test.disk.FailSyncs = 1
	case "flip":
		test.flip(t, command)
	case "remove":
		test.disk.Delete(argument(t, command, "file"))
	case "files":
		return test.files()
	case "position":
		last, hardState := test.journal.Position()
		return fmt.Sprintf("last %d/%d term=%d commit=%d\n", last.Index, last.Term, hardState.Term, hardState.Commit)
	default:
		t.Fatalf("unknown command %s", command.Cmd)
	}
	return ""
}

func (test *scenario) open() string {
	journal := newJournal(test.disk)
	recovered, err := journal.Open()
	if err != nil {
		return outcome(err)
	}
	test.journal = journal
	text := modelOf(recovered).text()
	if recovered.TruncatedBytes > 0 {
		text += fmt.Sprintf("cut %d bytes\n", recovered.TruncatedBytes)
	}
	for _, name := range recovered.DamagedSnapshots {
		text += fmt.Sprintf("passed over %s\n", name)
	}
	return text
}

func (test *scenario) snapshot(t *testing.T, command *datadriven.TestData) error {
	var index, term uint64
	command.ScanArgs(t, "index", &index)
	command.ScanArgs(t, "term", &term)
	return test.journal.SaveSnapshot(journaler.Snapshot{
		Index: identifier.LogIndex(index),
		Term:  identifier.Term(term),
		Data:  fmt.Appendf(nil, "state at %d", index),
	})
}

func (test *scenario) flip(t *testing.T, command *datadriven.TestData) {
	var place int
	command.ScanArgs(t, "at", &place)
	name := argument(t, command, "file")
	content := test.disk.Contents()[name]
	if place < 0 {
		place += len(content)
	}
	content[place] ^= 1
	test.disk.Put(name, content)
}

func (test *scenario) files() string {
	var lines []string
	for name, content := range test.disk.Contents() {
		lines = append(lines, fmt.Sprintf("%s %d\n", name, len(content)))
	}
	sort.Strings(lines)
	return strings.Join(lines, "")
}

func batchOf(t *testing.T, command *datadriven.TestData) journaler.Batch {
	var batch journaler.Batch
	var term, cut, commit int
	var first, last int
	data := "x"
	command.MaybeScanArgs(t, "term", &term)
	command.MaybeScanArgs(t, "data", &data)
	if command.MaybeScanArgs(t, "cut", &cut) {
		batch.TruncateFrom = identifier.LogIndex(cut)
	}
	if command.HasArg("entries") {
		if _, err := fmt.Sscanf(argument(t, command, "entries"), "%d-%d", &first, &last); err != nil {
			t.Fatal(err)
		}
		for index := first; index <= last; index++ {
			batch.Entries = append(batch.Entries, entry(index, term, data))
		}
	}
	if command.MaybeScanArgs(t, "commit", &commit) || command.HasArg("vote") {
		vote := ""
		command.MaybeScanArgs(t, "vote", &vote)
		batch.HardState = &journaler.HardState{Term: identifier.Term(term), VotedFor: identifier.HostID(vote), Commit: identifier.LogIndex(commit)}
	}
	return batch
}

func argument(t *testing.T, command *datadriven.TestData, name string) string {
	var value string
	command.ScanArgs(t, name, &value)
	return value
}

func outcome(err error) string {
	if err != nil {
		return err.Error() + "\n"
	}
	return "ok\n"
}
