package keeper

import (
	"bytes"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/planner"
)

// Symptom: an operator who lost the answer resends and is told that somebody else
// was first. Sequence: the command is applied, the keeper is lost, another one
// starts from its snapshot and gets the resend. Cause: intents or their remembered
// answers missing from the snapshot.
func TestIntentsSurviveASnapshot(t *testing.T) {
	first := newMachine()
	create := encoded(t, &Command{Intent: &planner.Command{
		Kind: planner.CommandCreate, Name: "nightly", Operator: "an", Request: "r1",
		Spec: &planner.Spec{Team: "parcels", Batches: []planner.Batch{{
			Kind: "check", Count: 3, RunTime: time.Second, Need: identifier.Resources{MilliCPU: 1000},
		}}},
	}})
	answer := first.Apply(1, create)
	second := newMachine()
	if err := second.Restore(first.Snapshot()); err != nil {
		t.Fatal(err)
	}
	if again := second.Apply(2, create); !bytes.Equal(answer, again) {
		t.Fatalf("the resend got %x instead of %x", again, answer)
	}
	result, err := decodeResult(answer)
	if err != nil || result.Intent == nil || result.Intent.Kind != planner.ResultAccepted {
		t.Fatalf("answered %+v, %v", result, err)
	}
	if record := second.intents.Get("nightly"); record == nil || record.State != planner.StateCreated {
		t.Fatalf("the intent is %+v", record)
	}
}

func encoded(t *testing.T, command *Command) []byte {
	data, err := encodeCommand(command)
	if err != nil {
		t.Fatal(err)
	}
	return data
}
