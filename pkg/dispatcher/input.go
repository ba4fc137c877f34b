package dispatcher

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// Input is a message or event that Tick applies.
type Input interface{ isDispatcherInput() }

// LeadTaken tells that this host leads a cell from now on. Hosts are the living
// hosts of the failure domain, this one included, that must tell which
// submissions they know before anything starts.
type LeadTaken struct {
	Cell  messenger.CellNumber
	Epoch identifier.Epoch
	Hosts []identifier.HostID
	// Missing are the hosts of the failure domain that this host has seen and that
	// do not live.
	Missing []identifier.HostID
}

// LeadLost tells that another host leads a cell.
type LeadLost struct {
	Cell messenger.CellNumber
}

// RemoteLeadKnown tells who leads a cell of another failure domain; without a
// host, that no living host does.
type RemoteLeadKnown struct {
	Notice messenger.LeadNotice
}

// RemoteReconnected tells that a new connection to a host stands.
type RemoteReconnected struct {
	Host identifier.HostID
}

// LoadNoticed brings the load of a cell of another failure domain.
type LoadNoticed struct {
	From   identifier.HostID
	Notice messenger.LoadNotice
}

// SpillRecorded tells that a second host remembers where submissions were handed
// over to.
type SpillRecorded struct {
	Submissions []identifier.SubmissionID
}

// SpillArrived brings a job from the lead of its home.
type SpillArrived struct {
	From     identifier.HostID
	Request  messenger.SpillRequest
	Deadline identifier.Moment
	// FromLost tells that the sender doesn't count as living by the membership.
	FromLost bool
}

// SpillAnswered brings the answer of a job that was handed over.
type SpillAnswered struct {
	From   identifier.HostID
	Answer *messenger.JobAnswer
}

// GuestsQueried asks which jobs of a home this lead has had.
type GuestsQueried struct {
	From  identifier.HostID
	Query messenger.GuestQuery
}

// GuestsListed brings the jobs of this home that the lead of another failure domain
// has had.
type GuestsListed struct {
	From  identifier.HostID
	Reply messenger.GuestReply
}

func (*GuestsQueried) isDispatcherInput()     {}
func (*GuestsListed) isDispatcherInput()      {}
func (*RemoteLeadKnown) isDispatcherInput()   {}
func (*RemoteReconnected) isDispatcherInput() {}
func (*LoadNoticed) isDispatcherInput()       {}
func (*SpillRecorded) isDispatcherInput()     {}
func (*SpillArrived) isDispatcherInput()      {}
func (*SpillAnswered) isDispatcherInput()     {}

// HostReturned tells that a host of the failure domain can be reached (again).
type HostReturned struct {
	Host identifier.HostID
	// Emptied tells that it runs a new process, and that the one before has handed
	// nothing over.
	Emptied bool
}

// HostGone tells that a host of the failure domain can't be reached any more.
type HostGone struct {
	Host identifier.HostID
	// Left tells that the host itself said that it leaves.
	Left bool
}

// TakeoverReplied brings what one host knows of a cell's submissions.
type TakeoverReplied struct {
	From  identifier.HostID
	Reply messenger.TakeoverReply
}

// JobForwarded brings a job from the host that its caller is connected to.
type JobForwarded struct {
	From     identifier.HostID
	Job      *messenger.Job
	Deadline identifier.Moment
	// Again tells that an earlier lead may have started tasks of the job.
	Again bool
	// Age is how long ago the job was forwarded for the first time.
	Age time.Duration
}

// CancelArrived asks to cancel a submission.
type CancelArrived struct {
	From   identifier.HostID
	Cancel messenger.Cancel
}

// LookupArrived asks for the answer of a submission.
type LookupArrived struct {
	From   identifier.HostID
	Lookup messenger.Lookup
}

// AnswerHeld tells that a second host keeps the answer of a submission.
type AnswerHeld struct {
	Submission identifier.SubmissionID
}

// ClaimDecided answers a ClaimWanted.
type ClaimDecided struct {
	Submission identifier.SubmissionID
	Verdict    ClaimVerdict
	// Holder is the submission that holds the claim, when it is another.
	Holder identifier.SubmissionID
	// HolderHome is the failure domain whose lead answers for the holder.
	HolderHome identifier.FailureDomain
}

// EvacuationsKnown tells in which failure domains nothing is started from now on.
type EvacuationsKnown struct{ Evacuated messenger.Evacuated }

func (*EvacuationsKnown) isDispatcherInput() {}

// ServerAnnounced tells that a backend server has opened a stream. Tasks and
// Unacknowledged are complete: what is absent was not started there.
type ServerAnnounced struct {
	Server      identifier.BackendServerID
	Incarnation uint64
	// Uptime is how long ago the server's process started.
	Uptime         time.Duration
	Rack           identifier.RackID
	Slots          identifier.Slots
	Leaving        bool
	Tasks          []TaskKey
	Unacknowledged []ServerAnswer
}

// ServerReported brings a backend server's complete list of a cell's tasks under
// the epoch that it has accepted.
type ServerReported struct {
	Server         identifier.BackendServerID
	Cell           messenger.CellNumber
	Epoch          identifier.Epoch
	Tasks          []TaskKey
	Unacknowledged []ServerAnswer
	// Acknowledged are the submissions of which an answer was acknowledged there within the
	// answer retention, for a lead that asked for them.
	Acknowledged []messenger.SubmissionDigest
	// TellsAcknowledged tells that they are listed.
	TellsAcknowledged bool
}

// ServerHeartbeat tells that a backend server lives and how many slots are busy.
type ServerHeartbeat struct {
	Server identifier.BackendServerID
	Busy   identifier.Slots
}

// ServerLeaving tells that a backend server takes no new start.
type ServerLeaving struct {
	Server identifier.BackendServerID
}

// ServerLost tells that the stream of a backend server has ended.
type ServerLost struct {
	Server identifier.BackendServerID
}

// TasksRefused brings refusals: these starts did not happen and never will.
type TasksRefused struct {
	Server   identifier.BackendServerID
	Refusals []ServerRefusal
}

// TasksAnswered brings the outcomes of tasks that ran.
type TasksAnswered struct {
	Server  identifier.BackendServerID
	Answers []ServerAnswer
}

// TaskKey names a task among all submissions.
type TaskKey struct {
	Submission identifier.SubmissionID
	Task       identifier.TaskID
}

// ServerRefusal is one refused start.
type ServerRefusal struct {
	TaskKey
	Kind RefusalKind
}

// ServerAnswer is the outcome of one task that ran.
type ServerAnswer struct {
	TaskKey
	Failed    bool
	Cancelled bool
	Result    []byte
	Reason    string
	RunTime   time.Duration
}

func (*LeadTaken) isDispatcherInput()       {}
func (*LeadLost) isDispatcherInput()        {}
func (*HostReturned) isDispatcherInput()    {}
func (*HostGone) isDispatcherInput()        {}
func (*TakeoverReplied) isDispatcherInput() {}
func (*JobForwarded) isDispatcherInput()    {}
func (*CancelArrived) isDispatcherInput()   {}
func (*LookupArrived) isDispatcherInput()   {}
func (*AnswerHeld) isDispatcherInput()      {}
func (*ClaimDecided) isDispatcherInput()    {}
func (*ServerAnnounced) isDispatcherInput() {}
func (*ServerReported) isDispatcherInput()  {}
func (*ServerHeartbeat) isDispatcherInput() {}
func (*ServerLeaving) isDispatcherInput()   {}
func (*ServerLost) isDispatcherInput()      {}
func (*TasksRefused) isDispatcherInput()    {}
func (*TasksAnswered) isDispatcherInput()   {}
