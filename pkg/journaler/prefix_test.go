package journaler_test

import (
	"testing"

	"github.com/stoathitch/stoathitch/pkg/journaler"
	"github.com/stoathitch/stoathitch/pkg/journaler/fakedisk"
)

// TestGroupEndsAtItsFirstInvalidBatch guards against a durable batch behind a refused one of its group:
// who reports the last durable batch would vouch for the refused one too.
func TestGroupEndsAtItsFirstInvalidBatch(t *testing.T) {
	journal := newJournal(fakedisk.New(1))
	if _, err := journal.Open(); err != nil {
		t.Fatal(err)
	}
	errs := journal.AppendGroup([]journaler.Batch{
		{Entries: []journaler.Entry{entry(1, 1, "a")}},
		{Entries: []journaler.Entry{entry(3, 1, "leaves a gap")}},
		{HardState: &journaler.HardState{Term: 2}},
	})
	if errs[0] != nil {
		t.Fatal(errs[0])
	}
	for _, err := range errs[1:] {
		if kind, known := journaler.KindOf(err); !known || kind != journaler.Invalid {
			t.Errorf("a batch from the invalid one on gives %v", err)
		}
	}
	if last, hardState := journal.Position(); last.Index != 1 || hardState.Term != 0 {
		t.Errorf("durable are %+v and %+v", last, hardState)
	}
}
