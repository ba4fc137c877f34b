package configurer_test

import (
	"fmt"
	"testing"

	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// TestHighestRevisionWins guards against an acknowledged configuration that is replaced by an
// older one, and against an acknowledged change that is refused when it is resent. An external
// source numbers its documents itself: a change is resent after its answer was lost, an older
// one arrives late, and a different document arrives under the current number. The failure
// comes about if the order of arrival decides which document is the newest.
func TestHighestRevisionWins(t *testing.T) {
	register := &configurer.Register{HistoryBound: 10, ResultBound: 10}
	for step, change := range []struct {
		revision identifier.ConfigRevision
		document string
		verdict  configurer.Verdict
	}{
		{7, "seven", configurer.VerdictAccepted},
		{7, "seven", configurer.VerdictSuperseded},
		{3, "three, late", configurer.VerdictSuperseded},
		{7, "another seven", configurer.VerdictSuperseded},
		{12, "twelve", configurer.VerdictAccepted},
	} {
		result := register.Apply(&configurer.Change{
			Request: identifier.RequestID(fmt.Sprint("request-", step)), Operator: "anna",
			Revision: change.revision, Document: []byte(change.document),
		})
		if result.Verdict != change.verdict {
			t.Errorf("step %d: revision %d is %s, want %s", step, change.revision, result.Verdict, change.verdict)
		}
	}
	newest := register.Newest()
	if newest.Revision != 12 || string(newest.Document) != "twelve" || newest.Version != 2 {
		t.Errorf("the newest is %+v", newest)
	}
}

// TestResentRevisionGetsItsFirstAnswer checks that a resent request gets its first answer,
// whatever was accepted in the meantime.
func TestResentRevisionGetsItsFirstAnswer(t *testing.T) {
	register := &configurer.Register{HistoryBound: 10, ResultBound: 10}
	first := &configurer.Change{Request: "a", Operator: "anna", Revision: 7}
	register.Apply(first)
	register.Apply(&configurer.Change{Request: "b", Operator: "berta", Revision: 8})
	if result := register.Apply(first); result.Verdict != configurer.VerdictAccepted || result.Newest != 1 {
		t.Errorf("the resent change got %+v", result)
	}
}
