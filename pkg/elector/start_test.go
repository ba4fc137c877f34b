package elector_test

import (
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/elector"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// TestStartingHostTakesNothingUnheard. Symptom: a task starts twice after a host
// has started again (rows 11 and 18). Sequence: a host starts on a busy machine; its
// connections stand half a second later; another host leads all the while. Cause
// guarded against: a settling time that is over before anybody was heard.
func TestStartingHostTakesNothingUnheard(t *testing.T) {
	at := func(milliseconds int) identifier.Moment {
		return identifier.Moment(time.Duration(milliseconds) * time.Millisecond)
	}
	starting := func(others int) *elector.Elector {
		return &elector.Elector{Self: "entry-0", FailureDomain: "thu-duc", Cells: 1, Others: others, SettleTime: elector.DefaultSettleTime}
	}
	taken := func(outputs []elector.Output) bool {
		for _, output := range outputs {
			if _, took := output.(elector.LeadTaken); took {
				return true
			}
		}
		return false
	}
	alone := starting(0)
	alone.Tick(at(0), nil)
	if !taken(alone.Tick(at(300), nil)) {
		t.Error("the only host of a failure domain did not take its cell")
	}
	tested := starting(2)
	for _, moment := range []int{0, 300, 2500} {
		if taken(tested.Tick(at(moment), nil)) {
			t.Errorf("it took the cell at %d ms, before it had heard anybody", moment)
		}
	}
	tested.Tick(at(2600), []elector.Input{elector.ServerHeard{}})
	if taken(tested.Tick(at(2800), nil)) {
		t.Error("it took the cell before a living lead could show itself")
	}
	if !taken(tested.Tick(at(2900), nil)) {
		t.Error("it did not take the cell after it had heard a backend server")
	}
}

// Symptom: after all hosts were killed nobody leads for 0.4 s, and callers are turned away.
// Sequence: the hosts start together and know each other within 0.1 s; each goes on
// listening for a living lead until its settling time is over.
// Cause: a host did not know that it had been told everything.
func TestStartingHostThatWasToldAllSettlesSooner(t *testing.T) {
	const (
		settleTime = 400 * time.Millisecond
		joinedTime = 100 * time.Millisecond
	)
	starting := &elector.Elector{Self: "entry-0", FailureDomain: "thu-duc", Cells: 1, SettleTime: settleTime, JoinedTime: joinedTime}
	take := func(at time.Duration, inputs ...elector.Input) bool {
		for _, output := range starting.Tick(identifier.Moment(at), inputs) {
			if _, took := output.(elector.LeadTaken); took {
				return true
			}
		}
		return false
	}
	take(0)
	if take(50*time.Millisecond, elector.Joined{}) || take(149*time.Millisecond) {
		t.Error("it took the cell before what was on its way could arrive")
	}
	if !take(150 * time.Millisecond) {
		t.Error("it did not take the cell once it had been told all")
	}
}
