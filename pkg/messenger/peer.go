package messenger

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// CellNumber numbers the cells of a failure domain, starting at 0.
type CellNumber = identifier.CellID

// CellOf returns the cell that keeps the record of a submission.
func CellOf(submission identifier.SubmissionID, cells int) CellNumber {
	return cellOfKey(string(submission), cells)
}

// CellOfServer returns the cell whose lead starts tasks on a backend server.
func CellOfServer(server identifier.BackendServerID, cells int) CellNumber {
	return cellOfKey(string(server), cells)
}

func cellOfKey(key string, cells int) CellNumber {
	if cells <= 1 {
		return 0
	}
	return CellNumber(xxhash.Sum64String(key) % uint64(cells))
}

// Forward sends a job to the lead that keeps its record.
type Forward struct {
	Job *Job `cbor:"1,keyasint"`
	// Remaining is the time until the deadline; nil when there is none.
	Remaining *time.Duration `cbor:"2,keyasint,omitempty"`
	// MayHaveEarlierStarts means that an earlier lead may have started tasks of the job.
	MayHaveEarlierStarts bool `cbor:"3,keyasint,omitempty"`
	// Age is the time since the sender first forwarded the job.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
}

// CopyRecord is what a second host stores about a submission, so that the submission
// stays known if the lead fails.
type CopyRecord struct {
	Submission identifier.SubmissionID `cbor:"1,keyasint"`
	Caller     identifier.CallerID     `cbor:"2,keyasint"`
	Job        identifier.JobID        `cbor:"3,keyasint"`
	Cell       CellNumber              `cbor:"4,keyasint,omitempty"`
	// Age is the time since the record was created.
	Age time.Duration `cbor:"5,keyasint,omitempty"`
	// Answered means that the submission has its answer.
	Answered bool `cbor:"6,keyasint,omitempty"`
	// AnswerHost is the host that stores the answer if the sender doesn't store it itself;
	// empty means the sender.
	AnswerHost identifier.HostID `cbor:"7,keyasint,omitempty"`
	// Epoch is the epoch of the lead that requests a copy; zero in other messages.
	Epoch identifier.Epoch `cbor:"8,keyasint,omitempty"`
	// SpilledTo is the failure domain to which the job was spilled.
	SpilledTo identifier.FailureDomain `cbor:"9,keyasint,omitempty"`
	// Remaining is the time until the job's deadline; nil when there is none.
	Remaining *time.Duration `cbor:"10,keyasint,omitempty"`
	// FromCallerHost means, in the reply to a takeover query, that the sender is the host that the
	// caller is connected to, and has measured Age itself.
	FromCallerHost bool `cbor:"11,keyasint,omitempty"`
}

// AnswerCopy asks a second host to store an answer.
type AnswerCopy struct {
	Answer *JobAnswer `cbor:"1,keyasint"`
	// Epoch is the epoch of the lead that produced the answer; zero once it no longer
	// matters, because the answer was sent to the caller.
	Epoch identifier.Epoch `cbor:"2,keyasint,omitempty"`
}

// AnswerRequest asks the host that stores an answer to send it to ReplyTo.
type AnswerRequest struct {
	Submission identifier.SubmissionID `cbor:"1,keyasint"`
	ReplyTo    identifier.HostID       `cbor:"2,keyasint"`
	// LookupNumber is the number of the lookup that the answer is for; zero for a resent
	// submission.
	LookupNumber LookupNumber `cbor:"3,keyasint,omitempty"`
}

// TakeoverQuery asks a host of the failure domain which submissions of the cell it knows.
// A new lead sends it to every host before it starts anything.
type TakeoverQuery struct {
	Cell  CellNumber       `cbor:"1,keyasint"`
	Epoch identifier.Epoch `cbor:"2,keyasint"`
}

// TakeoverReply answers a TakeoverQuery.
type TakeoverReply struct {
	Cell    CellNumber       `cbor:"1,keyasint"`
	Epoch   identifier.Epoch `cbor:"2,keyasint"`
	Records []CopyRecord     `cbor:"3,keyasint,omitempty"`
	// HostsWithoutState are the other hosts that the sender has recently seen restart without state.
	// A host that has itself just started can't know this of the others.
	HostsWithoutState []identifier.HostID `cbor:"4,keyasint,omitempty"`
	// Uptime is how long the sender's process has been making decisions; zero means unknown.
	Uptime time.Duration `cbor:"5,keyasint,omitempty"`
	// Servers are the backend servers that the sender's process has seen.
	Servers []identifier.BackendServerID `cbor:"6,keyasint,omitempty"`
	// MayLackState reports whether the sender may not have received the state of the other hosts yet,
	// since it has just started or was isolated.
	MayLackState bool `cbor:"7,keyasint,omitempty"`
	// HandedOver are the hosts of the failure domain that have left and whose records the sender
	// knows to be handed over.
	HandedOver []Handover `cbor:"8,keyasint,omitempty"`
}

// Handover reports that a host which leaves has copied all its records to other hosts of its failure
// domain.
type Handover struct {
	Host        identifier.HostID      `cbor:"1,keyasint"`
	Incarnation identifier.Incarnation `cbor:"2,keyasint"`
}

// LeadNotice reports which host leads a cell.
type LeadNotice struct {
	FailureDomain identifier.FailureDomain `cbor:"1,keyasint"`
	Cell          CellNumber               `cbor:"2,keyasint"`
	Host          identifier.HostID        `cbor:"3,keyasint"`
	Epoch         identifier.Epoch         `cbor:"4,keyasint"`
}

// LeadFollowed notifies a lead that the sender follows its epoch: the sender no longer leads the
// cell, if it did, and has reported the runs that its jobs have there.
type LeadFollowed struct {
	Cell  CellRef          `cbor:"1,keyasint"`
	Epoch identifier.Epoch `cbor:"2,keyasint"`
	// Incarnation is the incarnation of the sender's host for which this holds.
	Incarnation identifier.Incarnation `cbor:"3,keyasint,omitempty"`
}

// Cancel asks a lead to cancel a submission on behalf of its caller.
type Cancel struct {
	Submission identifier.SubmissionID `cbor:"1,keyasint"`
	Caller     identifier.CallerID     `cbor:"2,keyasint"`
}
