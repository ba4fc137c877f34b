package replicator

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Stamp is a leader's own monotonic clock reading, which its messages carry and the replies
// return. Only the leader that wrote it interprets it; for others it is opaque.
type Stamp int64

// Message is what keepers send each other: the sender's term and exactly one body.
type Message struct {
	Term          identifier.Term `cbor:"1,keyasint,omitempty"`
	VoteRequest   *VoteRequest    `cbor:"2,keyasint,omitempty"`
	VoteReply     *VoteReply      `cbor:"3,keyasint,omitempty"`
	Append        *Append         `cbor:"4,keyasint,omitempty"`
	AppendReply   *AppendReply    `cbor:"5,keyasint,omitempty"`
	SnapshotChunk *SnapshotChunk  `cbor:"6,keyasint,omitempty"`
	SnapshotReply *SnapshotReply  `cbor:"7,keyasint,omitempty"`
	CampaignNow   *CampaignNow    `cbor:"8,keyasint,omitempty"`
}

// VoteRequest requests a vote, or with PreVote asks whether one would be granted.
type VoteRequest struct {
	CampaignTerm identifier.Term     `cbor:"1,keyasint,omitempty"`
	LastIndex    identifier.LogIndex `cbor:"2,keyasint,omitempty"`
	LastTerm     identifier.Term     `cbor:"3,keyasint,omitempty"`
	PreVote      bool                `cbor:"4,keyasint,omitempty"`
	// Transfer is set if the leader itself requested this election and has given up its lease,
	// so that voters need not wait for the lease to expire.
	Transfer bool `cbor:"5,keyasint,omitempty"`
}

// VoteReply answers a VoteRequest of CampaignTerm.
type VoteReply struct {
	CampaignTerm identifier.Term `cbor:"1,keyasint,omitempty"`
	PreVote      bool            `cbor:"2,keyasint,omitempty"`
	Granted      bool            `cbor:"3,keyasint,omitempty"`
}

// Append carries the entries that follow PreviousIndex; without entries it is a heartbeat.
type Append struct {
	PreviousIndex identifier.LogIndex `cbor:"1,keyasint,omitempty"`
	PreviousTerm  identifier.Term     `cbor:"2,keyasint,omitempty"`
	Commit        identifier.LogIndex `cbor:"3,keyasint,omitempty"`
	Stamp         Stamp               `cbor:"4,keyasint,omitempty"`
	Entries       []Entry             `cbor:"5,keyasint,omitempty"`
}

// AppendReply reports in Match up to which index the sender's durable log equals the
// leader's.
type AppendReply struct {
	Match identifier.LogIndex `cbor:"1,keyasint,omitempty"`
	Stamp Stamp               `cbor:"2,keyasint,omitempty"`
	// Rejected is set if the log does not hold the entry before the append's; Hint is then the
	// highest index at which the logs may still match.
	Rejected bool                `cbor:"3,keyasint,omitempty"`
	Hint     identifier.LogIndex `cbor:"4,keyasint,omitempty"`
}

// SnapshotChunk carries the bytes from Offset on of an encoded Snapshot of TotalBytes.
type SnapshotChunk struct {
	Index      identifier.LogIndex `cbor:"1,keyasint,omitempty"`
	LastTerm   identifier.Term     `cbor:"2,keyasint,omitempty"`
	Offset     identifier.Bytes    `cbor:"3,keyasint,omitempty"`
	TotalBytes identifier.Bytes    `cbor:"4,keyasint,omitempty"`
	Stamp      Stamp               `cbor:"5,keyasint,omitempty"`
	Data       []byte              `cbor:"6,keyasint,omitempty"`
}

// SnapshotReply reports which offset of the snapshot the sender expects next.
type SnapshotReply struct {
	Index  identifier.LogIndex `cbor:"1,keyasint,omitempty"`
	Offset identifier.Bytes    `cbor:"2,keyasint,omitempty"`
	Stamp  Stamp               `cbor:"3,keyasint,omitempty"`
}

// CampaignNow asks a keeper that holds the whole log to take over the leadership.
type CampaignNow struct{}

func encode(operation string, value any) ([]byte, error) {
	data, err := cbor.Marshal(value)
	if err != nil {
		return nil, &Error{Operation: operation, Kind: ErrorMalformedMessage, Err: err}
	}
	return data, nil
}

func decode(operation string, data []byte, value any) error {
	if err := cbor.Unmarshal(data, value); err != nil {
		return &Error{Operation: operation, Kind: ErrorMalformedMessage, Err: err}
	}
	return nil
}
