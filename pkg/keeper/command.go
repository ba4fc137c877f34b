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
	// Evacuation has its result in Result.Change.
	Evacuation *configurer.Evacuation `cbor:"4,keyasint,omitempty"`
	// Layout has its result in Result.Change. Earlier versions of the program ignore it, so it is
	// proposed only once every member of the log is known to apply it.
	Layout *configurer.SetLayout `cbor:"5,keyasint,omitempty"`
}

// Result is the result of an applied command or a read; the field that matches its kind
// is set.
type Result struct {
	Decisions []claimer.Decision `cbor:"1,keyasint,omitempty"`
	Change    *configurer.Result `cbor:"2,keyasint,omitempty"`
	Intent    *planner.Result    `cbor:"3,keyasint,omitempty"`
	// Intents is the result of an IntentRead.
	Intents *IntentRecords `cbor:"4,keyasint,omitempty"`
	// Config is the result of reading the configuration; its version is 0 before the
	// first one.
	Config *configurer.Version `cbor:"5,keyasint,omitempty"`
}

// Nonce matches a reply with its request on the requesting host.
type Nonce uint64

// Request asks the keepers to execute a command or a read. It may be resent: every command
// is idempotent by the ids that it contains.
type Request struct {
	// Origin is the host that gets the reply.
	Origin  identifier.HostID `cbor:"1,keyasint"`
	Nonce   Nonce             `cbor:"2,keyasint"`
	Command Command           `cbor:"3,keyasint"`
	// Forwarded reports whether a follower has forwarded the request. It is forwarded only
	// once, so that two keepers with outdated views don't send it back and forth.
	Forwarded bool `cbor:"4,keyasint,omitempty"`
	// Read requests intents instead of executing a command.
	Read *IntentRead `cbor:"5,keyasint,omitempty"`
	// ReadConfig requests the newest configuration instead of executing a command.
	ReadConfig bool `cbor:"6,keyasint,omitempty"`
}

// reads reports whether the request is a read, which executes no command.
func (request *Request) reads() bool { return request.Read != nil || request.ReadConfig }

// Reply answers a Request.
type Reply struct {
	Nonce  Nonce     `cbor:"1,keyasint"`
	Kind   ReplyKind `cbor:"2,keyasint,omitempty"`
	Result Result    `cbor:"3,keyasint,omitempty"`
	// Leader is the last known leader of the replying keeper, or empty.
	Leader identifier.HostID `cbor:"4,keyasint,omitempty"`
}

//go:generate enumer -type=ReplyKind -trimprefix=Reply -transform=kebab -text

// ReplyKind is the outcome of a request.
type ReplyKind int

// The outcomes of a request.
const (
	// ReplyApplied means that the command is durable on a quorum and applied.
	ReplyApplied ReplyKind = iota
	// ReplyUnknown means that the leadership was lost before the command was committed: it
	// may still be applied, or never. Resending it finds out.
	ReplyUnknown
	// ReplyNotLed means that this keeper isn't the leader or knows none; nothing was done.
	ReplyNotLed
	// ReplyRefused means that the leader accepts no commands now; nothing was done.
	ReplyRefused
	// ReplyPending means that the leader has the command in its log; another reply follows unless the
	// leader is lost.
	ReplyPending
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
