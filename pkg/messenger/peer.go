package messenger

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// CellNumber numbers the cells of a failure domain, from 0.
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

// Forward hands a job to the lead that keeps its record.
type Forward struct {
	Job *Job `cbor:"1,keyasint"`
	// Remaining is the time until the deadline; nil when there is none.
	Remaining *time.Duration `cbor:"2,keyasint,omitempty"`
	// Again tells that an earlier lead may have started tasks of the job.
	Again bool `cbor:"3,keyasint,omitempty"`
	// Age is how long ago the sender forwarded the job for the first time.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
}

// CopyRecord is what a second host remembers of a submission, so that it stays
// known when the lead dies.
type CopyRecord struct {
	Submission identifier.SubmissionID `cbor:"1,keyasint"`
	Caller     identifier.CallerID     `cbor:"2,keyasint"`
	Job        identifier.JobID        `cbor:"3,keyasint"`
	Cell       CellNumber              `cbor:"4,keyasint,omitempty"`
	// Age is how long ago the record was made.
	Age time.Duration `cbor:"5,keyasint,omitempty"`
	// Answered tells that the submission has its answer.
	Answered bool `cbor:"6,keyasint,omitempty"`
	// AnswerAt is the host that keeps the answer where the sender has only heard
	// of it; empty means the sender itself.
	AnswerAt identifier.HostID `cbor:"7,keyasint,omitempty"`
	// Epoch is the epoch of the lead that asks for a copy; zero elsewhere.
	Epoch identifier.Epoch `cbor:"8,keyasint,omitempty"`
	// SpilledTo is the failure domain that the job was handed over to.
	SpilledTo identifier.FailureDomain `cbor:"9,keyasint,omitempty"`
	// Remaining is the time until the job's deadline; nil when there is none.
	Remaining *time.Duration `cbor:"10,keyasint,omitempty"`
	// FirstHand tells, in the reply to a takeover, that the sender is the caller's host, which
	// has timed Age itself.
	FirstHand bool `cbor:"11,keyasint,omitempty"`
}

// AnswerCopy asks a second host to hold an answer.
type AnswerCopy struct {
	Answer *JobAnswer `cbor:"1,keyasint"`
	// Epoch is the epoch of the lead that gave the answer; zero when it does not
	// matter any more, because the answer was told.
	Epoch identifier.Epoch `cbor:"2,keyasint,omitempty"`
}

// AnswerRequest asks the keeper of an answer to send it to ReplyTo.
type AnswerRequest struct {
	Submission identifier.SubmissionID `cbor:"1,keyasint"`
	ReplyTo    identifier.HostID       `cbor:"2,keyasint"`
	// Question is the question that the answer is wanted for; zero for a submission
	// that was sent again.
	Question QuestionNumber `cbor:"3,keyasint,omitempty"`
}

// TakeoverQuery asks every host of the failure domain which submissions of the
// cell it knows. A new lead sends it before it starts anything.
type TakeoverQuery struct {
	Cell  CellNumber       `cbor:"1,keyasint"`
	Epoch identifier.Epoch `cbor:"2,keyasint"`
}

// TakeoverReply answers a TakeoverQuery.
type TakeoverReply struct {
	Cell    CellNumber       `cbor:"1,keyasint"`
	Epoch   identifier.Epoch `cbor:"2,keyasint"`
	Records []CopyRecord     `cbor:"3,keyasint,omitempty"`
	// Emptied are the other hosts of which the sender has lately seen that they lost
	// their memory. A host that has just started can't know that of those beside it.
	Emptied []identifier.HostID `cbor:"4,keyasint,omitempty"`
	// Uptime is for how long the sender's process has decided; zero tells nothing.
	Uptime time.Duration `cbor:"5,keyasint,omitempty"`
	// Servers are the backend servers that the process has seen.
	Servers []identifier.BackendServerID `cbor:"6,keyasint,omitempty"`
}

// LeadNotice tells who leads a cell.
type LeadNotice struct {
	FailureDomain identifier.FailureDomain `cbor:"1,keyasint"`
	Cell          CellNumber               `cbor:"2,keyasint"`
	Host          identifier.HostID        `cbor:"3,keyasint"`
	Epoch         identifier.Epoch         `cbor:"4,keyasint"`
}

// LeadFollowed tells a lead that the sender follows its epoch: the sender leads the cell no more,
// if it did, and has named the runs that its jobs have there.
type LeadFollowed struct {
	Cell  CellRef          `cbor:"1,keyasint"`
	Epoch identifier.Epoch `cbor:"2,keyasint"`
	// Incarnation is the life of the sender's host in which that holds.
	Incarnation identifier.Incarnation `cbor:"3,keyasint,omitempty"`
}

// Cancel asks a lead to cancel a submission on behalf of its caller.
type Cancel struct {
	Submission identifier.SubmissionID `cbor:"1,keyasint"`
	Caller     identifier.CallerID     `cbor:"2,keyasint"`
}
