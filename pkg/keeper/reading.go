package keeper

import (
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/planner"
	"github.com/stoathitch/stoathitch/pkg/replicator"
)

// IntentRead requests the record of one intent, or the summaries of all if Name is empty.
type IntentRead struct {
	Name identifier.IntentName `cbor:"1,keyasint,omitempty"`
	// Stale allows a keeper to answer from its local state, even while it is cut off.
	Stale bool `cbor:"2,keyasint,omitempty"`
}

// IntentRecords answers an IntentRead. It contains no record of an unknown intent.
type IntentRecords struct {
	Records []planner.Record `cbor:"1,keyasint,omitempty"`
}

// handleRead serves a read once it is confirmed that this keeper is still the leader. A
// leader that was replaced without noticing would return intents as they were before the
// last confirmation.
func (keeper *Keeper) handleRead(log []replicator.Input, request Request) []replicator.Input {
	return append(log, replicator.ReadRequested{Handle: keeper.await(request)})
}

// ReadStale reads from the state that this keeper has applied, which may be outdated.
func (keeper *Keeper) ReadStale(read *IntentRead) IntentRecords {
	if keeper.machine == nil {
		return IntentRecords{}
	}
	return keeper.machine.readIntents(read)
}

func (keeper *Keeper) answerRead(handle replicator.Handle) {
	pending := keeper.pending.Get(handle)
	if pending == nil {
		return
	}
	keeper.pending.Remove(handle)
	request := &pending.requests[0]
	if request.ReadConfig {
		newest := keeper.newestVersion()
		keeper.reply(request, Reply{Kind: ReplyApplied, Result: Result{Config: &newest}})
		return
	}
	records := keeper.machine.readIntents(request.Read)
	keeper.reply(request, Reply{Kind: ReplyApplied, Result: Result{Intents: &records}})
}

func (keeper *Keeper) refuseRead(handle replicator.Handle) {
	if pending := keeper.pending.Get(handle); pending != nil {
		keeper.pending.Remove(handle)
		keeper.reply(&pending.requests[0], Reply{Kind: ReplyNotLed})
	}
}

func (machine *machine) readIntents(read *IntentRead) IntentRecords {
	var records IntentRecords
	if read.Name != "" {
		if record := machine.intents.Get(read.Name); record != nil {
			records.Records = append(records.Records, *record)
		}
		return records
	}
	for _, name := range machine.intents.Names() {
		records.Records = append(records.Records, machine.intents.Get(name).Summary())
	}
	return records
}
