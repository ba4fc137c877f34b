package keeper

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/stoathitch/stoathitch/pkg/claimer"
	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/planner"
)

// Command is one entry of the replicated log; exactly one field is set.
type Command struct {
	Claims *claimer.Command   `cbor:"1,keyasint,omitempty"`
	Change *configurer.Change `cbor:"2,keyasint,omitempty"`
	Intent *planner.Command   `cbor:"3,keyasint,omitempty"`
	// Evacuation is answered like a Change.
	Evacuation *configurer.Evacuation `cbor:"4,keyasint,omitempty"`
}

// Result is what applying a command returned; the field of the command's kind is
// set.
type Result struct {
	Decisions []claimer.Decision `cbor:"1,keyasint,omitempty"`
	Change    *configurer.Result `cbor:"2,keyasint,omitempty"`
	Intent    *planner.Result    `cbor:"3,keyasint,omitempty"`
	// Intents answers a request that reads.
	Intents *IntentRecords `cbor:"4,keyasint,omitempty"`
	// Config answers a request that reads the configuration; its version is 0 before
	// the first one.
	Config *configurer.Version `cbor:"5,keyasint,omitempty"`
}

// Nonce names a request between the host that asks and its reply.
type Nonce uint64

// Request asks the keepers to carry out a command. It may be sent again: every
// command is idempotent by the ids that it holds.
type Request struct {
	// Origin is the host that gets the reply.
	Origin  identifier.HostID `cbor:"1,keyasint"`
	Nonce   Nonce             `cbor:"2,keyasint"`
	Command Command           `cbor:"3,keyasint"`
	// Forwarded tells that a keeper which does not lead has passed it on. It is
	// passed on once, so that two keepers with old views don't send it in circles.
	Forwarded bool `cbor:"4,keyasint,omitempty"`
	// Read asks to read in place of carrying out a command.
	Read *IntentRead `cbor:"5,keyasint,omitempty"`
	// ReadConfig asks for the newest configuration in place of carrying out a command.
	ReadConfig bool `cbor:"6,keyasint,omitempty"`
}

// reads tells whether the request carries out no command.
func (request *Request) reads() bool { return request.Read != nil || request.ReadConfig }

// Reply answers a Request.
type Reply struct {
	Nonce  Nonce     `cbor:"1,keyasint"`
	Kind   ReplyKind `cbor:"2,keyasint,omitempty"`
	Result Result    `cbor:"3,keyasint,omitempty"`
	// Leader is the leader as far as the replying keeper knows, or empty.
	Leader identifier.HostID `cbor:"4,keyasint,omitempty"`
}

//go:generate enumer -type=ReplyKind -trimprefix=Reply -transform=kebab -text

// ReplyKind tells what became of a request.
type ReplyKind int

// The kinds of replies.
const (
	// ReplyApplied means that the command is durable on a quorum and applied.
	ReplyApplied ReplyKind = iota
	// ReplyUnknown means that the leadership was lost: the command may yet be
	// applied or never. Sending it again finds out.
	ReplyUnknown
	// ReplyNotLed means that no leader is known here; nothing was done.
	ReplyNotLed
	// ReplyRefused means that the leader takes no commands now; nothing was done.
	ReplyRefused
)

func encodeCommand(command *Command) ([]byte, error) { return cbor.Marshal(command) }

func decodeCommand(data []byte) (*Command, error) {
	var command Command
	if err := cbor.Unmarshal(data, &command); err != nil {
		return nil, err
	}
	return &command, nil
}

func encodeResult(result *Result) ([]byte, error) { return cbor.Marshal(result) }

func decodeResult(data []byte) (Result, error) {
	var result Result
	err := cbor.Unmarshal(data, &result)
	return result, err
}
