package messenger

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/budgeter"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// TaskIndex numbers the tasks of one job from 0.
type TaskIndex int

// RunKey names one run of one task.
type RunKey struct {
	Job  identifier.JobID     `cbor:"1,keyasint"`
	Task TaskIndex            `cbor:"2,keyasint,omitempty"`
	Run  identifier.RunNumber `cbor:"3,keyasint"`
}

// RoomRequest asks the lead of a failure domain for room on backend servers that are
// called, for the tasks of one job. It carries no payload: the host that asks starts
// the runs itself.
type RoomRequest struct {
	Job identifier.JobID `cbor:"1,keyasint"`
	// Cell is the part of the lead's failure domain in which room is asked for.
	Cell    CellNumber             `cbor:"16,keyasint,omitempty"`
	Service identifier.ServiceName `cbor:"2,keyasint"`
	// Queue groups jobs that are alike, for estimates.
	Queue identifier.QueueName `cbor:"3,keyasint"`
	// Urgency is the queue's priority; 0 comes first.
	Urgency int        `cbor:"4,keyasint,omitempty"`
	Tasks   []RoomTask `cbor:"5,keyasint"`
	// Attempts is how many runs of one task may fail.
	Attempts int `cbor:"6,keyasint"`
	// Label is what the backend server must have; empty for any.
	Label string `cbor:"7,keyasint,omitempty"`
	// Near is a label that the backend server should have: the rack of the job's data.
	// Elsewhere the tasks take longer.
	Near string `cbor:"17,keyasint,omitempty"`
	// PerServer bounds the job's tasks on one backend server; 0 does not.
	PerServer int `cbor:"8,keyasint,omitempty"`
	// Elapsed is how long ago the caller sent the job.
	Elapsed time.Duration `cbor:"9,keyasint,omitempty"`
	// Stretch times the longest run time plus Allowance is the response time that the
	// caller counts as in time.
	Stretch   float64       `cbor:"10,keyasint"`
	Allowance time.Duration `cbor:"11,keyasint,omitempty"`
	// Remaining is the time after which the caller no longer waits.
	Remaining time.Duration `cbor:"12,keyasint"`
	// HandedOver tells that another lead sent the job here; it is not sent on.
	HandedOver bool `cbor:"13,keyasint,omitempty"`
	// Ask numbers the requests of a host for one job. Grants and answers repeat it: what
	// comes late for an earlier request to the same lead says nothing about this one.
	Ask AskNumber `cbor:"19,keyasint,omitempty"`
	// Unvouched tells that no lead which knows the job has sent it to this cell, so that an
	// earlier sending of it may have runs elsewhere.
	Unvouched bool `cbor:"20,keyasint,omitempty"`
	// Part tells that other tasks of the job have been given room by other leads: these
	// are taken in whatever they wait for, as the job's answer waits for them.
	Part bool `cbor:"18,keyasint,omitempty"`
	// RunsBelow is a run number that every new run must exceed.
	RunsBelow identifier.RunNumber `cbor:"14,keyasint,omitempty"`
	// Held are the runs that an earlier lead granted and that have not ended.
	Held []HeldRun `cbor:"15,keyasint,omitempty"`
}

// RoomTask is one task that needs room.
type RoomTask struct {
	Task     TaskIndex            `cbor:"1,keyasint,omitempty"`
	Needs    identifier.Resources `cbor:"2,keyasint"`
	Declared time.Duration        `cbor:"3,keyasint,omitempty"`
	// Account is what leads have told of the task's runs.
	Account budgeter.Account `cbor:"4,keyasint,omitzero"`
}

// HeldRun is a run that an earlier lead granted.
type HeldRun struct {
	RoomTask RoomTask                     `cbor:"1,keyasint"`
	Run      identifier.RunNumber         `cbor:"2,keyasint"`
	Server   identifier.ServerIncarnation `cbor:"3,keyasint"`
	Address  string                       `cbor:"4,keyasint"`
}

// Grant gives tasks of a job room; the host that asked starts them.
type Grant struct {
	Job   identifier.JobID `cbor:"1,keyasint"`
	Epoch identifier.Epoch `cbor:"2,keyasint"`
	Runs  []GrantedRun     `cbor:"3,keyasint"`
	Cell  CellNumber       `cbor:"4,keyasint,omitempty"`
	Ask   AskNumber        `cbor:"5,keyasint,omitempty"`
}

// AskNumber numbers the requests of a host for room for one job, from 1.
type AskNumber uint32

// GrantedRun is the room of one run.
type GrantedRun struct {
	Task    TaskIndex                    `cbor:"1,keyasint,omitempty"`
	Run     identifier.RunNumber         `cbor:"2,keyasint"`
	Server  identifier.ServerIncarnation `cbor:"3,keyasint"`
	Address string                       `cbor:"4,keyasint"`
	// LeaseEnd is on the backend server's clock. A start that comes later is refused.
	LeaseEnd identifier.ServerTime `cbor:"5,keyasint"`
	// Account is what is known of earlier runs of the task, for a lead that is asked next.
	Account budgeter.Account `cbor:"6,keyasint,omitzero"`
	// Fence is that of the start, at or above the lead's epoch; zero stands for the epoch.
	Fence identifier.Epoch `cbor:"7,keyasint,omitempty"`
}

// RoomAnswer tells what became of a RoomRequest that is not granted at once.
type RoomAnswer struct {
	Job  identifier.JobID `cbor:"1,keyasint"`
	Kind RoomAnswerKind   `cbor:"2,keyasint"`
	// Reason tells why a job is turned away or has failed.
	Reason Reason `cbor:"3,keyasint,omitempty"`
	Detail string `cbor:"4,keyasint,omitempty"`
	// RetryAfter is when a job that was turned away is worth another try.
	RetryAfter time.Duration `cbor:"5,keyasint,omitempty"`
	// Cell is that of the lead which answers.
	Cell CellNumber `cbor:"7,keyasint,omitempty"`
	// Other is the cell to ask in place of this one.
	Other CellRef   `cbor:"6,keyasint,omitzero"`
	Ask   AskNumber `cbor:"9,keyasint,omitempty"`
	// Tasks are those for which Other is to be asked; the rest stays here. None means all.
	Tasks []TaskIndex `cbor:"8,keyasint,omitempty"`
	// Accounts are those of Tasks that were started before.
	Accounts []TaskAccount `cbor:"10,keyasint,omitempty"`
	// Begun tells that runs of an earlier sending of the job were granted.
	Begun bool `cbor:"12,keyasint,omitempty"`
	// Unvouched tells that the lead which answers may not know all runs of the job yet.
	Unvouched bool `cbor:"11,keyasint,omitempty"`
}

// TaskAccount is what is known of earlier runs of one task.
type TaskAccount struct {
	Task    TaskIndex        `cbor:"1,keyasint,omitempty"`
	Account budgeter.Account `cbor:"2,keyasint"`
}

// CellRef names a cell among all failure domains.
type CellRef struct {
	FailureDomain identifier.FailureDomain `cbor:"1,keyasint,omitempty"`
	Cell          CellNumber               `cbor:"2,keyasint,omitempty"`
}

// JobInquiry asks a host of a job's home whether it knows the job, on behalf of a cell whose
// lead may give it room.
type JobInquiry struct {
	Job identifier.JobID `cbor:"1,keyasint"`
	// Cell is that of the lead which asks.
	Cell CellNumber `cbor:"2,keyasint,omitempty"`
	// Host is that which wants the room.
	Host identifier.HostID `cbor:"3,keyasint"`
}

// JobInquiryReply answers a JobInquiry.
type JobInquiryReply struct {
	Job  identifier.JobID `cbor:"1,keyasint"`
	Cell CellNumber       `cbor:"2,keyasint,omitempty"`
	// Known tells that a run of the job may be at work, or may still be granted, by another
	// cell than the one that asks.
	Known bool `cbor:"3,keyasint,omitempty"`
	// Host is that of the inquiry. Hosts don't count what they know of its own sending.
	Host identifier.HostID `cbor:"4,keyasint"`
}

// JobElsewhere tells a host of a job's home that another cell gives room to tasks of the job.
type JobElsewhere struct {
	Job identifier.JobID `cbor:"1,keyasint"`
	// Cell is that of the lead which tells.
	Cell  CellNumber  `cbor:"2,keyasint,omitempty"`
	Tasks []TaskIndex `cbor:"3,keyasint,omitempty"`
}

// RoomRelease tells a lead that a job needs no more room.
type RoomRelease struct {
	Job  identifier.JobID `cbor:"1,keyasint"`
	Cell CellNumber       `cbor:"2,keyasint,omitempty"`
}

//go:generate enumer -type=RoomAnswerKind,StartOutcome -trimprefix=RoomAnswer,Start -transform=kebab -text -output=room_enumer.go

// RoomAnswerKind tells what became of a request for room.
type RoomAnswerKind int

// The kinds of answers.
const (
	// RoomAnswerWaiting means that the job waits for room.
	RoomAnswerWaiting RoomAnswerKind = iota
	// RoomAnswerTurnedAway means that the job gets no room and that no run of it was
	// granted by this lead.
	RoomAnswerTurnedAway
	// RoomAnswerAskOther means that another lead has room.
	RoomAnswerAskOther
	// RoomAnswerFailed means that the job can't be completed any more.
	RoomAnswerFailed
	// RoomAnswerNotLed means that the host does not lead.
	RoomAnswerNotLed
	// RoomAnswerEvacuated means that nothing starts in the lead's failure domain: room for
	// Tasks is to be asked for elsewhere.
	RoomAnswerEvacuated
	// RoomAnswerKnownElsewhere means that an earlier sending of the job may have runs
	// elsewhere: only the lead of its home may go on with it.
	RoomAnswerKnownElsewhere
)

// StartOutcome is what became of the call that starts a run.
type StartOutcome int

// The outcomes of starts.
const (
	// StartAccepted means that the run is there.
	StartAccepted StartOutcome = iota
	// StartNoRoom means that the backend server has less room than was thought.
	StartNoRoom
	// StartStaleRun means that the backend server has seen this run or a later one
	// end.
	StartStaleRun
	// StartLeaseOver means that the lease ended before the start came.
	StartLeaseOver
	// StartFenced means that the backend server has seen a newer lead.
	StartFenced
	// StartUnhealthy means that the backend server takes no starts now.
	StartUnhealthy
	// StartInvalid means that the backend server can't read the start.
	StartInvalid
	// StartServerGone means that another incarnation answers at the address, or none.
	StartServerGone
	// StartUnanswered means that nobody knows whether the run is there.
	StartUnanswered
	// StartWithheld means that the call was not made, as the failure domain is evacuated.
	StartWithheld
)

// StartReport tells a lead of a start that was not accepted.
type StartReport struct {
	RunKey  RunKey       `cbor:"1,keyasint"`
	Outcome StartOutcome `cbor:"2,keyasint"`
	// Epoch is that of the lead which granted the run.
	Epoch identifier.Epoch `cbor:"3,keyasint"`
	Cell  CellNumber       `cbor:"4,keyasint,omitempty"`
	// Server is that which was called. Runs of two sendings of a job may have one number.
	Server identifier.ServerIncarnation `cbor:"5,keyasint"`
}

// StartOrder asks another host to call a backend server, which starts a run there.
type StartOrder struct {
	RunKey  RunKey                       `cbor:"1,keyasint"`
	Server  identifier.ServerIncarnation `cbor:"2,keyasint"`
	Address string                       `cbor:"3,keyasint"`
	Epoch   identifier.Epoch             `cbor:"4,keyasint"`
	// LeaseEnd is on the backend server's clock. A start that comes later is refused, however
	// long the order was under way.
	LeaseEnd identifier.ServerTime  `cbor:"5,keyasint"`
	Payload  string                 `cbor:"6,keyasint"`
	Service  identifier.ServiceName `cbor:"7,keyasint"`
}

// StartResult tells what the backend server has answered to the call of a StartOrder.
type StartResult struct {
	RunKey  RunKey                       `cbor:"1,keyasint"`
	Server  identifier.ServerIncarnation `cbor:"2,keyasint"`
	Epoch   identifier.Epoch             `cbor:"3,keyasint"`
	Outcome StartOutcome                 `cbor:"4,keyasint,omitempty"`
}

// TaskDone tells that a run of a task has ended well.
type TaskDone struct {
	RunKey RunKey `cbor:"1,keyasint"`
}

// RoomNotice tells other leads what room one has.
type RoomNotice struct {
	From CellRef `cbor:"1,keyasint"`
	// Spots is how many tasks of the usual size could start at once beyond what waits.
	Spots int `cbor:"2,keyasint,omitempty"`
	// Openings are when room for one more task each should come free, the earliest first:
	// beyond what waits here, and counted from when the notice was sent.
	Openings []Delay `cbor:"4,keyasint,omitempty"`
}

// Delay is a time to come, in milliseconds; the largest stands for all that are longer.
type Delay uint16

// ServerCard is what a backend server that is called says about itself.
type ServerCard struct {
	Server        identifier.ServerIncarnation `cbor:"1,keyasint"`
	Service       identifier.ServiceName       `cbor:"2,keyasint"`
	Address       string                       `cbor:"3,keyasint"`
	FailureDomain identifier.FailureDomain     `cbor:"4,keyasint"`
	Capacity      identifier.Resources         `cbor:"5,keyasint"`
	Labels        []string                     `cbor:"6,keyasint,omitempty"`
	Draining      bool                         `cbor:"7,keyasint,omitempty"`
	// Sequence orders the cards of one life of a backend server; another life counts anew.
	Sequence uint64 `cbor:"8,keyasint"`
	// Clock is the server's clock when it sent the card; zero tells nothing.
	Clock identifier.ServerTime `cbor:"9,keyasint,omitempty"`
	// Gone tells that the life has ended.
	Gone bool `cbor:"10,keyasint,omitempty"`
}

// CellMemory is what the keepers remember of a cell for hosts that start with nothing:
// the backend servers that its lead last told of, and the lead's epoch. It promises
// nothing; each server is called before anything is placed on it.
type CellMemory struct {
	Cell  CellRef          `cbor:"1,keyasint"`
	Epoch identifier.Epoch `cbor:"2,keyasint"`
	Cards []ServerCard     `cbor:"3,keyasint,omitempty"`
}
