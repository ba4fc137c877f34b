package inquirer

import (
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// Input is a message or event that Tick applies.
type Input interface{ isInquirerInput() }

// RoomRequested brings a request that the lead of the job's home has not vouched for.
type RoomRequested struct {
	From    identifier.HostID
	Request messenger.RoomRequest
	// Home is the failure domain of the job's home.
	Home identifier.FailureDomain
	// Peers are the living entry hosts of the job's home but From.
	Peers []identifier.HostID
}

// RoomReleased tells that a host wants no more room for a job.
type RoomReleased struct {
	From identifier.HostID
	Job  identifier.JobID
	Cell messenger.CellNumber
}

// ReplyArrived brings a host's reply to an inquiry.
type ReplyArrived struct {
	From  identifier.HostID
	Reply messenger.JobInquiryReply
}

// HostLost tells that a host counts as dead, or has a new process.
type HostLost struct {
	Host          identifier.HostID
	FailureDomain identifier.FailureDomain
}

func (*RoomRequested) isInquirerInput() {}
func (*RoomReleased) isInquirerInput()  {}
func (*ReplyArrived) isInquirerInput()  {}
func (*HostLost) isInquirerInput()      {}

// Output is a message or a decision.
type Output interface{ isInquirerOutput() }

// SendInquiry asks a host whether it knows a job.
type SendInquiry struct {
	To      identifier.HostID
	Inquiry messenger.JobInquiry
}

// SendNotice tells a host where a job goes.
type SendNotice struct {
	To     identifier.HostID
	Notice messenger.JobElsewhere
}

// RequestHeld tells a host that its request waits for replies. It would else take this lead for
// silent.
type RequestHeld struct {
	From    identifier.HostID
	Request messenger.RoomRequest
}

// RequestCleared hands on a request whose job no other host knows.
type RequestCleared struct {
	From    identifier.HostID
	Request messenger.RoomRequest
}

// RequestDenied rejects a request: an earlier sending of its job may have runs.
type RequestDenied struct {
	From    identifier.HostID
	Request messenger.RoomRequest
}

// Decided reports a decision for the log.
type Decided struct{ Decision messenger.Decision }

func (*SendInquiry) isInquirerOutput()    {}
func (*SendNotice) isInquirerOutput()     {}
func (*RequestHeld) isInquirerOutput()    {}
func (*RequestCleared) isInquirerOutput() {}
func (*RequestDenied) isInquirerOutput()  {}
func (*Decided) isInquirerOutput()        {}
