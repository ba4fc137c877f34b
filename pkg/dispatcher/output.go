package dispatcher

import (
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// Output is a message that the caller of Tick must send.
type Output interface{ isDispatcherOutput() }

// ToServer is the batch of one tick for one backend server. Acknowledged are the tasks whose answers
// are acknowledged.
type ToServer struct {
	Server       identifier.BackendServerID
	Lead         *Lead
	Starts       []Start
	Cancels      []TaskKey
	Acknowledged []TaskKey
}

// Lead notifies a backend server of the lead of its cell.
type Lead struct {
	Cell  messenger.CellNumber
	Epoch identifier.Epoch
	// ListAcknowledged requests the list of submissions whose answers were acknowledged.
	ListAcknowledged bool
}

// Start asks a backend server to run a task.
type Start struct {
	TaskKey
	Job      identifier.JobID
	Cell     messenger.CellNumber
	Epoch    identifier.Epoch
	Payload  []byte
	Deadline identifier.Moment
}

// JobAnswered carries the only answer of a submission to a host that waits for it.
type JobAnswered struct {
	To     identifier.HostID
	Answer *messenger.JobAnswer
}

// AnswerWanted asks the host that keeps an old answer to send it to ReplyTo.
type AnswerWanted struct {
	Holder  identifier.HostID
	Request messenger.AnswerRequest
}

// ClaimWanted requests the claim of a not-repeatable job from the keepers.
type ClaimWanted struct {
	Submission identifier.SubmissionID
	Caller     identifier.CallerID
	Job        identifier.JobID
}

// TakeoverWanted asks a host which submissions of the cell it knows.
type TakeoverWanted struct {
	To    identifier.HostID
	Query messenger.TakeoverQuery
}

// EpochSeen reports that a backend server has accepted a higher epoch than this host's: another
// host leads the cell.
type EpochSeen struct {
	Cell  messenger.CellNumber
	Epoch identifier.Epoch
}

// AnnounceLoad carries the load of a cell to the lead of another failure domain.
type AnnounceLoad struct {
	To     identifier.HostID
	Notice messenger.LoadNotice
}

// RecordSpill asks a second host, one of Holders or any other of the failure domain, to record
// that a job is about to be spilled.
type RecordSpill struct {
	Holders []identifier.HostID
	Record  messenger.CopyRecord
}

// SpillJob hands a job to the lead of another failure domain.
type SpillJob struct {
	To      identifier.HostID
	Request messenger.SpillRequest
}

// AnswerSpill carries the answer of a job to the lead of its home.
type AnswerSpill struct {
	To     identifier.HostID
	Answer *messenger.JobAnswer
}

// ConfirmSpill notifies a lead that the job's home holds its answer.
type ConfirmSpill struct {
	To         identifier.HostID
	Submission identifier.SubmissionID
}

// CancelSpill cancels a spilled job.
type CancelSpill struct {
	To     identifier.HostID
	Cancel messenger.Cancel
}

// QueryGuests asks the lead of another failure domain for the jobs of this home that it has
// accepted.
type QueryGuests struct {
	To    identifier.HostID
	Query messenger.GuestQuery
}

// AnswerGuestQuery lists for a home lead the jobs of its cell that this lead has accepted.
type AnswerGuestQuery struct {
	To    identifier.HostID
	Reply messenger.GuestReply
}

func (*QueryGuests) isDispatcherOutput()      {}
func (*AnswerGuestQuery) isDispatcherOutput() {}
func (*AnnounceLoad) isDispatcherOutput()     {}
func (*RecordSpill) isDispatcherOutput()      {}
func (*SpillJob) isDispatcherOutput()         {}
func (*AnswerSpill) isDispatcherOutput()      {}
func (*ConfirmSpill) isDispatcherOutput()     {}
func (*CancelSpill) isDispatcherOutput()      {}
func (*ToServer) isDispatcherOutput()         {}
func (*JobAnswered) isDispatcherOutput()      {}
func (*AnswerWanted) isDispatcherOutput()     {}
func (*ClaimWanted) isDispatcherOutput()      {}
func (*TakeoverWanted) isDispatcherOutput()   {}
func (*EpochSeen) isDispatcherOutput()        {}

// outbox collects the outputs of one tick, with one batch for each backend server.
type outbox struct {
	outputs  []Output
	byServer map[serverKey]*ToServer
}

func (outbox *outbox) add(output Output) { outbox.outputs = append(outbox.outputs, output) }

// toServer returns the batch of this tick from a cell for a backend server.
func (outbox *outbox) toServer(cell messenger.CellNumber, id identifier.BackendServerID) *ToServer {
	key := serverKey{cell: cell, server: id}
	if batch, found := outbox.byServer[key]; found {
		return batch
	}
	if outbox.byServer == nil {
		outbox.byServer = make(map[serverKey]*ToServer)
	}
	batch := &ToServer{Server: id}
	outbox.byServer[key] = batch
	outbox.add(batch)
	return batch
}

func (outbox *outbox) drain() []Output {
	outputs := outbox.outputs
	outbox.outputs = nil
	clear(outbox.byServer)
	return outputs
}
