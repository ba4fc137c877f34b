package configurer_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	_ "github.com/stoathitch/stoathitch/pkg/seeder"
)

func newRegister() *configurer.Register {
	return &configurer.Register{HistoryBound: 10, ResultBound: 10}
}

// TestEvacuationIsNotOvertaken guards against an order that is delayed in transit and undoes the
// opposite order, which was acknowledged in the meantime.
func TestEvacuationIsNotOvertaken(t *testing.T) {
	register := newRegister()
	for step, order := range []struct {
		expected  identifier.ConfigVersion
		withdrawn bool
		verdict   configurer.Verdict
		evacuated bool
	}{
		{0, false, configurer.VerdictAccepted, true},
		{0, false, configurer.VerdictSuperseded, true},
		{1, true, configurer.VerdictAccepted, false},
		{0, false, configurer.VerdictConflict, false},
		{1, false, configurer.VerdictConflict, false},
		{2, false, configurer.VerdictAccepted, true},
		{1, true, configurer.VerdictConflict, true},
	} {
		result := register.ApplyEvacuation(&configurer.Evacuation{
			Request: identifier.RequestID(fmt.Sprint(step)), FailureDomain: "leuven", Withdrawn: order.withdrawn, Expected: order.expected,
		})
		newest := register.Newest()
		if evacuated := slices.Contains(newest.Evacuated(), "leuven"); result.Verdict != order.verdict || evacuated != order.evacuated {
			t.Errorf("step %d: %s, evacuated %t; want %s, %t", step, result.Verdict, evacuated, order.verdict, order.evacuated)
		}
	}
}

// TestResentEvacuationGetsItsFirstAnswer guards against a resent order that evacuates a failure
// domain again although the evacuation was withdrawn in the meantime.
func TestResentEvacuationGetsItsFirstAnswer(t *testing.T) {
	register := newRegister()
	order := &configurer.Evacuation{Request: "a", FailureDomain: "leuven"}
	register.ApplyEvacuation(order)
	register.ApplyEvacuation(&configurer.Evacuation{Request: "b", FailureDomain: "leuven", Withdrawn: true, Expected: 1})
	if result := register.ApplyEvacuation(order); result.Verdict != configurer.VerdictAccepted || result.Newest != 1 {
		t.Errorf("the resent order got %+v", result)
	}
	if newest := register.Newest(); len(newest.Evacuated()) > 0 {
		t.Error("the resent order has evacuated the failure domain again")
	}
}

// TestEvacuationOutlivesChanges guards against an evacuation that is lost when the configuration
// changes, a snapshot is restored or old versions are dropped. It applies both kinds of changes in
// random order.
func TestEvacuationOutlivesChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		register := newRegister()
		wanted := make(map[identifier.FailureDomain]bool)
		document := ""
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			request := identifier.RequestID(fmt.Sprint(step))
			newest := register.Newest()
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				document = fmt.Sprint("document ", step)
				register.Apply(&configurer.Change{Request: request, Expected: newest.Version, Document: []byte(document)})
			case 1:
				domain := rapid.SampledFrom([]identifier.FailureDomain{"leuven", "geel", "roeselare"}).Draw(t, "domain")
				withdrawn := rapid.Bool().Draw(t, "withdrawn")
				register.ApplyEvacuation(&configurer.Evacuation{
					Request: request, FailureDomain: domain, Withdrawn: withdrawn, Expected: newest.Version,
				})
				wanted[domain] = !withdrawn
			case 2:
				register = restoreFromSnapshot(t, register)
			}
			newest = register.Newest()
			for domain, evacuated := range wanted {
				if slices.Contains(newest.Evacuated(), domain) != evacuated {
					t.Fatalf("step %d: %s evacuated is not %t", step, domain, evacuated)
				}
			}
			if string(newest.Document) != document {
				t.Fatalf("step %d: the document is %q, want %q", step, newest.Document, document)
			}
		}
	})
}

func restoreFromSnapshot(t *rapid.T, register *configurer.Register) *configurer.Register {
	content, err := register.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	next := newRegister()
	if err := next.Restore(content); err != nil {
		t.Fatal(err)
	}
	return next
}
