package planner

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/guarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// snapshotVersion is the version of the format that Snapshot writes.
const snapshotVersion = 1

// snapshot is the durable form of a Machine.
type snapshot struct {
	Version int                     `cbor:"1,keyasint"`
	Applied identifier.LogIndex     `cbor:"2,keyasint,omitempty"`
	Records []Record                `cbor:"3,keyasint,omitempty"`
	Answers []requestAnswer         `cbor:"4,keyasint,omitempty"`
	Ended   []identifier.IntentName `cbor:"5,keyasint,omitempty"`
	Epochs  []domainEpoch           `cbor:"6,keyasint,omitempty"`
	Learned []guarder.Learned       `cbor:"7,keyasint,omitempty"`
}

type requestAnswer struct {
	Request identifier.RequestID `cbor:"1,keyasint,omitempty"`
	Answer  answer               `cbor:"2,keyasint,omitempty"`
}

type domainEpoch struct {
	FailureDomain identifier.FailureDomain `cbor:"1,keyasint,omitempty"`
	Epoch         identifier.Epoch         `cbor:"2,keyasint,omitempty"`
}

// Snapshot encodes the whole state. Every keeper that has applied the same entries returns
// the same bytes.
func (machine *Machine) Snapshot() []byte {
	machine.prepare()
	state := snapshot{Version: snapshotVersion, Applied: machine.applied, Ended: machine.ended.Keys()}
	machine.records.Each(func(_ identifier.IntentName, record *Record) bool {
		state.Records = append(state.Records, *record)
		return true
	})
	machine.answers.Each(func(request identifier.RequestID, known *answer) bool {
		state.Answers = append(state.Answers, requestAnswer{Request: request, Answer: *known})
		return true
	})
	machine.epochs.Each(func(domain identifier.FailureDomain, epoch *identifier.Epoch) bool {
		state.Epochs = append(state.Epochs, domainEpoch{FailureDomain: domain, Epoch: *epoch})
		return true
	})
	state.Learned = machine.learned.All()
	data, err := cbor.Marshal(state)
	if err != nil {
		// Encoding fails only for a type that CBOR can't represent, which no input can cause.
		panic(failure("snapshot", KindEncoding, err))
	}
	return data
}

// Restore replaces the state with that of a snapshot.
func (machine *Machine) Restore(data []byte) error {
	var state snapshot
	if err := cbor.Unmarshal(data, &state); err != nil {
		return failure("restore", KindEncoding, err)
	}
	if state.Version != snapshotVersion {
		return failure("restore", KindVersion, eris.Errorf("version %d", state.Version))
	}
	*machine = Machine{MaxAnswers: machine.MaxAnswers, MaxEnded: machine.MaxEnded}
	machine.prepare()
	machine.applied = state.Applied
	for _, record := range state.Records {
		machine.records.Put(record.Name, &record)
		machine.lastChange = max(machine.lastChange, record.changedAt())
	}
	for _, known := range state.Answers {
		machine.answers.Put(known.Request, &known.Answer)
	}
	for _, name := range state.Ended {
		machine.ended.Put(name, &machine.applied)
	}
	for _, known := range state.Learned {
		machine.learned.Merge(known.Key, known.Correction)
	}
	for _, known := range state.Epochs {
		machine.epochs.Put(known.FailureDomain, &known.Epoch)
	}
	return nil
}

// EncodeCommand encodes a command for the log.
func EncodeCommand(command Command) ([]byte, error) {
	data, err := cbor.Marshal(command)
	if err != nil {
		return nil, failure("encode command", KindEncoding, err)
	}
	return data, nil
}

// DecodeCommand decodes a command of the log.
func DecodeCommand(data []byte) (Command, error) {
	var command Command
	if err := cbor.Unmarshal(data, &command); err != nil {
		return Command{}, failure("decode command", KindEncoding, err)
	}
	return command, nil
}
