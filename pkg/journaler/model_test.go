package journaler_test

import (
	"fmt"
	"slices"
	"strings"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/journaler"
	"github.com/stoathitch/stoathitch/pkg/journaler/fakedisk"
)

const folder = "data"

// model is the oracle: it holds the log as plain slices, without segments or frames.
type model struct {
	hardState journaler.HardState
	snapshot  *journaler.Snapshot
	entries   []journaler.Entry // after the snapshot
}

func (oracle model) base() journaler.Position {
	if oracle.snapshot == nil {
		return journaler.Position{}
	}
	return oracle.snapshot.Position()
}

func (oracle model) last() journaler.Position {
	if len(oracle.entries) == 0 {
		return oracle.base()
	}
	entry := oracle.entries[len(oracle.entries)-1]
	return journaler.Position{Index: entry.Index, Term: entry.Term}
}

func (oracle model) after(batch journaler.Batch) model {
	if batch.TruncateFrom != 0 {
		oracle.entries = oracle.entries[:batch.TruncateFrom-oracle.base().Index-1]
	}
	oracle.entries = append(slices.Clip(oracle.entries), batch.Entries...)
	if batch.HardState != nil {
		oracle.hardState = *batch.HardState
	}
	return oracle
}

func (oracle model) afterSnapshot(snapshot journaler.Snapshot) model {
	var kept []journaler.Entry
	for number, entry := range oracle.entries {
		if entry.Index == snapshot.Index && entry.Term == snapshot.Term {
			kept = oracle.entries[number+1:]
		}
	}
	oracle.entries = kept
	oracle.snapshot = &snapshot
	return oracle
}

// text formats the whole state for comparisons and golden files.
func (oracle model) text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "term=%d voted-for=%q commit=%d\n", oracle.hardState.Term, oracle.hardState.VotedFor, oracle.hardState.Commit)
	if oracle.snapshot != nil {
		fmt.Fprintf(&text, "snapshot %d/%d meta=%q data=%q\n", oracle.snapshot.Index, oracle.snapshot.Term, oracle.snapshot.Meta, oracle.snapshot.Data)
	}
	for _, entry := range oracle.entries {
		fmt.Fprintf(&text, "entry %d/%d kind=%d data=%q\n", entry.Index, entry.Term, entry.Kind, entry.Data)
	}
	return text.String()
}

func modelOf(recovered journaler.Recovered) model {
	return model{hardState: recovered.HardState, snapshot: recovered.Snapshot, entries: recovered.Entries}
}

func newJournal(disk *fakedisk.Disk) *journaler.Journal {
	return &journaler.Journal{Folder: folder, FileSystem: disk, SegmentBytes: 300}
}

func entry(index, term int, data string) journaler.Entry {
	return journaler.Entry{Index: identifier.LogIndex(index), Term: identifier.Term(term), Kind: 1, Data: []byte(data)}
}
