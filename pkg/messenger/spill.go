package messenger

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// LoadNotice tells the leads of other failure domains how much room a cell has. It
// is sent on change, at most at the settings' interval.
type LoadNotice struct {
	FailureDomain identifier.FailureDomain `cbor:"1,keyasint"`
	Cell          CellNumber               `cbor:"2,keyasint,omitempty"`
	// Free is how many slots have nothing to do.
	Free identifier.Slots `cbor:"3,keyasint,omitempty"`
}

// SpillMode tells a lead what it may do with a job of another failure domain.
type SpillMode int

// The modes of a forwarded job.
const (
	// SpillNone means that the failure domain is the job's home.
	SpillNone SpillMode = iota
	// SpillRun means that the home lead hands the job over.
	SpillRun
	// SpillAsk means that the home lead only asks what became of the job: nothing
	// may start because of it.
	SpillAsk
)

// SpillRequest hands a job to the lead of another failure domain.
type SpillRequest struct {
	Job *Job `cbor:"1,keyasint"`
	// Remaining is the time until the deadline; nil when there is none.
	Remaining *time.Duration `cbor:"2,keyasint,omitempty"`
	// Again tells that the job was handed over before.
	Again bool `cbor:"3,keyasint,omitempty"`
	// Age is how long ago the job was forwarded for the first time.
	Age  time.Duration `cbor:"4,keyasint,omitempty"`
	Mode SpillMode     `cbor:"5,keyasint,omitempty"`
	// Epoch is the epoch of the home lead that sends it; zero from hosts that run an
	// earlier version.
	Epoch identifier.Epoch `cbor:"6,keyasint,omitempty"`
}

// GuestQuery asks the lead of another failure domain which jobs of a home it has had.
type GuestQuery struct {
	// FailureDomain, Cell and Epoch are those of the home lead that asks.
	FailureDomain identifier.FailureDomain `cbor:"1,keyasint"`
	Cell          CellNumber               `cbor:"2,keyasint,omitempty"`
	Epoch         identifier.Epoch         `cbor:"3,keyasint"`
}

// GuestReply answers a GuestQuery.
type GuestReply struct {
	// FailureDomain is the one that was asked, Cell and Epoch are those of the query.
	FailureDomain identifier.FailureDomain `cbor:"1,keyasint"`
	Cell          CellNumber               `cbor:"2,keyasint,omitempty"`
	Epoch         identifier.Epoch         `cbor:"3,keyasint"`
	Records       []CopyRecord             `cbor:"4,keyasint,omitempty"`
	// Acknowledged are submissions, of any home, whose answers were acknowledged to backend
	// servers of the cell that was asked.
	Acknowledged []SubmissionDigest `cbor:"5,keyasint,omitempty"`
}
