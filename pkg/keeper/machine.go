package keeper

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/stoathitch/stoathitch/pkg/claimer"
	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/planner"
)

// Bounds of the replicated state. They are constants rather than settings because they must
// be the same on every keeper.
const (
	fingerprintBound = 4_000_000
	historyBound     = 1_000
	// historyBytes bounds the documents of the history. The journal holds up to three snapshots, and
	// taking and writing one allocates about ten times its size; a keeper may have 128 MB of disk and
	// 280 MB of memory. Keepers may differ for the time of an upgrade: the history is only shown,
	// and no command's result depends on it.
	historyBytes = 8 << 20
	resultBound  = 10_000
)

// machine is the replicated state machine: it combines all registers that one log drives.
type machine struct {
	claims        claimer.Register
	configuration configurer.Register
	intents       planner.Machine
}

func newMachine() *machine {
	return &machine{
		claims:        claimer.Register{FingerprintBound: fingerprintBound},
		configuration: configurer.Register{HistoryBound: historyBound, HistoryBytes: historyBytes, ResultBound: resultBound},
	}
}

// snapshot is the serialized form of the machine.
type snapshot struct {
	Claims        []byte `cbor:"1,keyasint"`
	Configuration []byte `cbor:"2,keyasint"`
	// Intents is missing in snapshots of software versions without intents.
	Intents []byte `cbor:"3,keyasint,omitempty"`
}

// Apply executes one command and returns its encoded Result. A command that can't be decoded
// changes nothing, which is the same on every keeper, and returns nil.
func (machine *machine) Apply(index identifier.LogIndex, data []byte) []byte {
	command, err := decodeCommand(data)
	if err != nil {
		return nil
	}
	result := machine.execute(index, command)
	encoded, err := encodeResult(&result)
	if err != nil {
		panic(err) // A result holds plain data, which can always be encoded as CBOR.
	}
	return encoded
}

func (machine *machine) execute(index identifier.LogIndex, command *Command) Result {
	switch {
	case command.Claims != nil:
		return Result{Decisions: machine.claims.Apply(index, command.Claims)}
	case command.Change != nil:
		outcome := machine.configuration.Apply(command.Change)
		return Result{Change: &outcome}
	case command.Evacuation != nil:
		outcome := machine.configuration.ApplyEvacuation(command.Evacuation)
		return Result{Change: &outcome}
	case command.Layout != nil:
		outcome := machine.configuration.ApplyLayout(command.Layout)
		return Result{Change: &outcome}
	case command.Intent != nil:
		result := machine.intents.Apply(index, *command.Intent)
		return Result{Intent: &result}
	default:
		return Result{}
	}
}

// Snapshot serializes the whole state.
func (machine *machine) Snapshot() []byte {
	claims, err := machine.claims.Snapshot()
	if err != nil {
		panic(err) // Plain data always has a CBOR form.
	}
	configuration, err := machine.configuration.Snapshot()
	if err != nil {
		panic(err) // Plain data always has a CBOR form.
	}
	content, err := cbor.Marshal(&snapshot{Claims: claims, Configuration: configuration, Intents: machine.intents.Snapshot()})
	if err != nil {
		panic(err) // Plain data always has a CBOR form.
	}
	return content
}

// Restore replaces the whole state with a snapshot.
func (machine *machine) Restore(data []byte) error {
	var state snapshot
	if err := cbor.Unmarshal(data, &state); err != nil {
		return err
	}
	if err := machine.claims.Restore(state.Claims); err != nil {
		return err
	}
	if err := machine.configuration.Restore(state.Configuration); err != nil {
		return err
	}
	if state.Intents == nil {
		machine.intents = planner.Machine{}
		return nil
	}
	return machine.intents.Restore(state.Intents)
}
