package inquirer

import (
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// Input is a message or event that Tick applies.
type Input interface{ isInquirerInput() }

// CapacityRequested delivers a request that the lead of the job's home has not referred to this
// cell.
type CapacityRequested struct {
	From    identifier.HostID
	Request messenger.CapacityRequest
	// Home is the failure domain of the job's home.
	Home identifier.FailureDomain
	// Peers are the live entry hosts of the job's home other than From.
	Peers []identifier.HostID
}

// CapacityReleased reports that a host needs no more capacity for a job.
type CapacityReleased struct {
	From identifier.HostID
	Job  identifier.JobID
	Cell messenger.CellNumber
}

// ReplyArrived delivers a host's reply to an inquiry.
type ReplyArrived struct {
	From  identifier.HostID
	Reply messenger.JobInquiryReply
}

// HostLost reports that a host counts as dead or has a new process.
type HostLost struct {
	Host          identifier.HostID
	FailureDomain identifier.FailureDomain
}

func (*CapacityRequested) isInquirerInput() {}
func (*CapacityReleased) isInquirerInput()  {}
func (*ReplyArrived) isInquirerInput()      {}
func (*HostLost) isInquirerInput()          {}

// Output is a message, a decision or a log line for the owner of the inquirer to carry out.
type Output interface{ isInquirerOutput() }

// SendInquiry queries a host whether it knows a job.
type SendInquiry struct {
	To      identifier.HostID
	Inquiry messenger.JobInquiry
}

// SendNotice notifies a host of the cell that a job goes to.
type SendNotice struct {
	To     identifier.HostID
	Notice messenger.JobHandoff
}

// RequestPending notifies a host that its request waits for replies. Otherwise the host would treat
// this lead as silent.
type RequestPending struct {
	From    identifier.HostID
	Request messenger.CapacityRequest
}

// RequestCleared passes on a request whose job is not known to any other host.
type RequestCleared struct {
	From    identifier.HostID
	Request messenger.CapacityRequest
}

// RequestDenied rejects a request because an earlier submission of its job may have runs, or
// because a later one has replaced it.
type RequestDenied struct {
	From    identifier.HostID
	Request messenger.CapacityRequest
}

// Decided carries a decision for the log.
type Decided struct{ Decision messenger.Decision }

func (*SendInquiry) isInquirerOutput()    {}
func (*SendNotice) isInquirerOutput()     {}
func (*RequestPending) isInquirerOutput() {}
func (*RequestCleared) isInquirerOutput() {}
func (*RequestDenied) isInquirerOutput()  {}
func (*Decided) isInquirerOutput()        {}
