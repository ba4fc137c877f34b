package keeper

import (
	"bytes"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/planner"
)

// TestIntentsSurviveASnapshot guards against an operator who resends a command after losing
// the answer and is told that somebody else was first. The command is applied, the keeper is
// lost, and another keeper starts from its snapshot and gets the resend. The failure comes
// about if intents or their recorded answers are missing from the snapshot.
func TestIntentsSurviveASnapshot(t *testing.T) {
	first := newMachine()
	create := encode(t, &Command{Intent: &planner.Command{
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

func encode(t *testing.T, command *Command) []byte {
	data, err := encodeCommand(command)
	if err != nil {
		t.Fatal(err)
	}
	return data
}
