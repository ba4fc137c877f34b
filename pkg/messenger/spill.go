package messenger

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// LoadNotice reports the free capacity of a cell to the leads of other failure domains. It is
// sent on change, but at most once per interval of the settings.
type LoadNotice struct {
	FailureDomain identifier.FailureDomain `cbor:"1,keyasint"`
	Cell          CellNumber               `cbor:"2,keyasint,omitempty"`
	// FreeSlots is the number of idle slots.
	FreeSlots identifier.Slots `cbor:"3,keyasint,omitempty"`
}

// SpillMode determines what a lead may do with a job of another failure domain.
type SpillMode int

// The modes of a job that is sent to a lead.
const (
	// SpillNone means that the lead's failure domain is the job's home.
	SpillNone SpillMode = iota
	// SpillRun means that the home lead spills the job: the receiving lead may run it.
	SpillRun
	// SpillQuery means that the home lead only queries the state of the job: the request
	// must not start anything.
	SpillQuery
)

// SpillRequest sends a job to the lead of another failure domain.
type SpillRequest struct {
	Job *Job `cbor:"1,keyasint"`
	// Remaining is the time until the deadline; nil when there is none.
	Remaining *time.Duration `cbor:"2,keyasint,omitempty"`
	// MayHaveEarlierStarts means that tasks of the job may have been started before.
	MayHaveEarlierStarts bool `cbor:"3,keyasint,omitempty"`
	// Age is the time since the job was first forwarded.
	Age  time.Duration `cbor:"4,keyasint,omitempty"`
	Mode SpillMode     `cbor:"5,keyasint,omitempty"`
	// Epoch is the epoch of the home lead that sends the request; zero from hosts that run
	// an earlier version.
	Epoch identifier.Epoch `cbor:"6,keyasint,omitempty"`
}

// GuestQuery asks the lead of another failure domain which jobs of the sender's cell were
// spilled to it.
type GuestQuery struct {
	// FailureDomain, Cell and Epoch are those of the querying home lead.
	FailureDomain identifier.FailureDomain `cbor:"1,keyasint"`
	Cell          CellNumber               `cbor:"2,keyasint,omitempty"`
	Epoch         identifier.Epoch         `cbor:"3,keyasint"`
}

// GuestReply is the reply to a GuestQuery.
type GuestReply struct {
	// FailureDomain is that of the replying lead; Cell and Epoch are those of the query.
	FailureDomain identifier.FailureDomain `cbor:"1,keyasint"`
	Cell          CellNumber               `cbor:"2,keyasint,omitempty"`
	Epoch         identifier.Epoch         `cbor:"3,keyasint"`
	Records       []CopyRecord             `cbor:"4,keyasint,omitempty"`
	// Acknowledged are submissions of any home whose answers were acknowledged to backend
	// servers of the queried cell.
	Acknowledged []SubmissionDigest `cbor:"5,keyasint,omitempty"`
}
