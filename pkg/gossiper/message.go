package gossiper

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// MessageKind is the purpose of a message.
type MessageKind uint8

const (
	// MessagePing requests a MessageAck with the same sequence.
	MessagePing MessageKind = iota
	// MessageAck answers a ping, or reports that a ping on behalf of the receiver was answered.
	MessageAck
	// MessagePingRequest requests that the receiver pings Target on the sender's behalf.
	MessagePingRequest
	// MessageUpdates carries updates only.
	MessageUpdates
	// MessageSyncRequest carries summaries of all that the sender knows.
	MessageSyncRequest
	// MessageSyncReply carries what the requester lacks and names what the replier lacks.
	MessageSyncReply
)

// Message is what hosts send each other. Every kind may carry States, Records and ClusterRecords;
// the other fields belong to the kinds named beside them.
type Message struct {
	Kind     MessageKind       `cbor:"1,keyasint,omitempty"`
	From     identifier.HostID `cbor:"2,keyasint"`
	Sequence uint64            `cbor:"3,keyasint,omitempty"` // ping, ack, ping-request
	Target   identifier.HostID `cbor:"4,keyasint,omitempty"` // ping-request
	Digest   uint64            `cbor:"5,keyasint,omitempty"` // ping, ack: hash of all living state

	States         []State        `cbor:"6,keyasint,omitempty"`
	Records        []MemberRecord `cbor:"7,keyasint,omitempty"`
	ClusterRecords []Record       `cbor:"8,keyasint,omitempty"`

	Summaries      []Summary           `cbor:"9,keyasint,omitempty"`  // sync-request
	ClusterSummary []RecordSummary     `cbor:"10,keyasint,omitempty"` // sync-request
	Wanted         []identifier.HostID `cbor:"11,keyasint,omitempty"` // sync-reply
	WantedKeys     []string            `cbor:"12,keyasint,omitempty"` // sync-reply
}

// Summary identifies the version of all that is known about one member.
type Summary struct {
	Host        identifier.HostID      `cbor:"1,keyasint"`
	Incarnation identifier.Incarnation `cbor:"2,keyasint,omitempty"`
	Refutation  uint64                 `cbor:"3,keyasint,omitempty"`
	Status      Status                 `cbor:"4,keyasint,omitempty"`
	RecordsHash uint64                 `cbor:"5,keyasint,omitempty"`
}

// RecordSummary identifies the version of one cluster-wide record.
type RecordSummary struct {
	Key     string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint,omitempty"`
}

// Encode returns the message as CBOR.
func Encode(message Message) ([]byte, error) {
	encoded, err := cbor.Marshal(message)
	if err != nil {
		return nil, newError("encode message", ErrorMalformedMessage, err)
	}
	return encoded, nil
}

// Decode decodes a message from Encode. It returns an Error of kind ErrorMalformedMessage for
// invalid CBOR and ErrorNoSender for a message without a sender.
func Decode(encoded []byte) (Message, error) {
	var message Message
	if err := cbor.Unmarshal(encoded, &message); err != nil {
		return Message{}, newError("decode message", ErrorMalformedMessage, err)
	}
	if message.From == "" {
		return Message{}, newError("decode message", ErrorNoSender, nil)
	}
	return message, nil
}
