package allocator

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// Input is a message or event that Tick applies.
type Input interface{ isAllocatorInput() }

// LeadTaken tells that this host leads its failure domain from now on.
type LeadTaken struct{ Epoch identifier.Epoch }

// LeadLost tells that another host leads the failure domain.
type LeadLost struct{}

// OthersFollow tells whether every other host that might lead the cell has said that it follows
// this lead's epoch, or can't lead any more: none of them gives leases from now on.
type OthersFollow struct{ Following bool }

// EvacuationsKnown tells in which failure domains nothing is started from now on.
type EvacuationsKnown struct{ Evacuated messenger.Evacuated }

// RunsNamed tells that every living host has named the runs that its jobs still have.
type RunsNamed struct{}

// CardArrived brings what a backend server says about itself.
type CardArrived struct{ Card messenger.ServerCard }

// CardRecalled brings what a backend server said about itself before this host started,
// as the keepers remember it.
type CardRecalled struct{ Card messenger.ServerCard }

// RoomRequested brings a request of a host that supervises a job.
type RoomRequested struct {
	From    identifier.HostID
	Request messenger.RoomRequest
}

// JobGoesElsewhere tells that another cell is about to give room to tasks of a job that this cell
// is the home of, and doesn't know.
type JobGoesElsewhere struct {
	Job   identifier.JobID
	Cell  messenger.CellRef
	Tasks []messenger.TaskIndex
}

// RoomReleased tells that a host wants no more room for a job: what runs is stopped.
type RoomReleased struct {
	From identifier.HostID
	Job  identifier.JobID
}

// StartReported brings a start that was not accepted.
type StartReported struct {
	From   identifier.HostID
	Report messenger.StartReport
}

// HostGone tells that a host can't supervise its jobs any more.
type HostGone struct{ Host identifier.HostID }

// RemoteLeadKnown tells who leads another cell, here or in another failure domain; an empty host that nobody
// does.
type RemoteLeadKnown struct {
	Cell messenger.CellRef
	Host identifier.HostID
}

// NoticeArrived brings the room of another cell.
type NoticeArrived struct{ Notice messenger.RoomNotice }

//go:generate enumer -type=CallOutcome,EndKind -trimprefix=Call,End -transform=kebab -text -output=messages_enumer.go

// CallOutcome is what became of a call to a backend server.
type CallOutcome int

// The outcomes of calls.
const (
	// CallAnswered means that the backend server carried the call out.
	CallAnswered CallOutcome = iota
	// CallFenced means that it has seen a newer lead.
	CallFenced
	// CallGone means that another incarnation answers at the address.
	CallGone
	// CallUnanswered means that nobody knows whether it was carried out.
	CallUnanswered
)

// EndKind tells how a run ended.
type EndKind int

// The kinds of ends.
const (
	// EndDone means that the task has done its work.
	EndDone EndKind = iota
	// EndFailed means that the run failed, by its own fault or the server's.
	EndFailed
	// EndStopped means that it was told to stop.
	EndStopped
	// EndLapsed means that its lease ran out.
	EndLapsed
)

// RunEnd is one end that a backend server lists.
type RunEnd struct {
	// Number rises within one life of the server.
	Number int64
	Run    messenger.RunKey
	Kind   EndKind
}

// HoldReturned brings the answer to a HoldServer.
type HoldReturned struct {
	Server identifier.ServerIncarnation
	// Answering is the life that answered, as far as it tells.
	Answering identifier.ServerIncarnation
	// Sequence is that of the call.
	Sequence uint64
	SentAt   identifier.Moment
	Outcome  CallOutcome
	Clock    identifier.ServerTime
	Running  []messenger.RunKey
	Ended    []RunEnd
	// Partial tells that something in the lists could not be read: what they don't name
	// may run or have ended all the same.
	Partial bool
}

// StopReturned brings the answer to a StopRun.
type StopReturned struct {
	Epoch   identifier.Epoch
	Server  identifier.ServerIncarnation
	Run     messenger.RunKey
	Outcome CallOutcome
}

func (*LeadTaken) isAllocatorInput()        {}
func (*LeadLost) isAllocatorInput()         {}
func (*OthersFollow) isAllocatorInput()     {}
func (*EvacuationsKnown) isAllocatorInput() {}
func (*RunsNamed) isAllocatorInput()        {}
func (*CardArrived) isAllocatorInput()      {}
func (*CardRecalled) isAllocatorInput()     {}
func (*RoomRequested) isAllocatorInput()    {}
func (*JobGoesElsewhere) isAllocatorInput() {}
func (*RoomReleased) isAllocatorInput()     {}
func (*StartReported) isAllocatorInput()    {}
func (*HostGone) isAllocatorInput()         {}
func (*RemoteLeadKnown) isAllocatorInput()  {}
func (*NoticeArrived) isAllocatorInput()    {}
func (*HoldReturned) isAllocatorInput()     {}
func (*StopReturned) isAllocatorInput()     {}

// Output is what the owner of the allocator carries out.
type Output interface{ isAllocatorOutput() }

// GrantRoom gives a host room for runs.
type GrantRoom struct {
	To    identifier.HostID
	Grant messenger.Grant
}

// AnswerRoom tells a host what became of its request.
type AnswerRoom struct {
	To     identifier.HostID
	Answer messenger.RoomAnswer
}

// TellDone tells a host that a task has done its work.
type TellDone struct {
	To   identifier.HostID
	Done messenger.TaskDone
}

// TellNotice tells another lead what room is here.
type TellNotice struct {
	To     identifier.HostID
	Notice messenger.RoomNotice
}

// HoldServer calls a backend server: it renews the lease of all that runs there,
// acknowledges ends and waits for new ones.
type HoldServer struct {
	Server identifier.ServerIncarnation
	// Sequence numbers the calls to one server.
	Sequence uint64
	Address  string
	Epoch    identifier.Epoch
	// LeaseEnd is zero where the lease is not renewed.
	LeaseEnd identifier.ServerTime
	// Cursor is the highest end that is acknowledged; zero acknowledges none.
	Cursor int64
	// Wait is how long the server holds its answer back for an end, Timeout how long the
	// answer is waited for.
	Wait    time.Duration
	Timeout time.Duration
}

// StopRun calls a backend server to stop a run, or to refuse it if it comes later.
type StopRun struct {
	Server  identifier.ServerIncarnation
	Address string
	Run     messenger.RunKey
	Epoch   identifier.Epoch
}

// Fenced tells that backend servers have seen a lead with a higher epoch.
type Fenced struct{ Epoch identifier.Epoch }

// ShareCard hands a card on to the other hosts of the failure domain.
type ShareCard struct{ Card messenger.ServerCard }

// Decided reports a decision for the log.
type Decided struct{ Decision messenger.Decision }

func (*GrantRoom) isAllocatorOutput()  {}
func (*AnswerRoom) isAllocatorOutput() {}
func (*TellDone) isAllocatorOutput()   {}
func (*TellNotice) isAllocatorOutput() {}
func (*HoldServer) isAllocatorOutput() {}
func (*StopRun) isAllocatorOutput()    {}
func (*Fenced) isAllocatorOutput()     {}
func (*ShareCard) isAllocatorOutput()  {}
func (*Decided) isAllocatorOutput()    {}
