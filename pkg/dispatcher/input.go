package dispatcher

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// Input is a message or event that Tick applies.
type Input interface{ isDispatcherInput() }

// LeadTaken reports that this host leads a cell from now on. Hosts are the live hosts of the
// failure domain, this one included, that must list the submissions they know before anything
// starts.
type LeadTaken struct {
	Cell  messenger.CellNumber
	Epoch identifier.Epoch
	Hosts []identifier.HostID
	// Missing are the hosts of the failure domain that this host has seen and that are not live.
	Missing []identifier.HostID
}

// LeadLost reports that another host leads a cell.
type LeadLost struct {
	Cell messenger.CellNumber
}

// RemoteLeadChanged reports the lead of a cell of another failure domain. An empty host means that
// no live host leads it.
type RemoteLeadChanged struct {
	Notice messenger.LeadNotice
}

// RemoteReconnected reports a new connection to a host of another failure domain.
type RemoteReconnected struct {
	Host identifier.HostID
}

// LoadAnnounced delivers the load of a cell of another failure domain.
type LoadAnnounced struct {
	From   identifier.HostID
	Notice messenger.LoadNotice
}

// SpillRecorded reports that a second host has recorded where submissions are handed to.
type SpillRecorded struct {
	Submissions []identifier.SubmissionID
}

// SpillArrived delivers a job from the lead of its home.
type SpillArrived struct {
	From     identifier.HostID
	Request  messenger.SpillRequest
	Deadline identifier.Moment
	// SenderNotLive reports that the sender is not live according to the membership.
	SenderNotLive bool
}

// SpillAnswered delivers the answer of a spilled job.
type SpillAnswered struct {
	From   identifier.HostID
	Answer *messenger.JobAnswer
}

// GuestsQueried requests this cell's guests from one home: its jobs that this lead has accepted.
type GuestsQueried struct {
	From  identifier.HostID
	Query messenger.GuestQuery
}

// GuestsListed delivers the jobs of this home that the lead of another failure domain has
// accepted.
type GuestsListed struct {
	From  identifier.HostID
	Reply messenger.GuestReply
}

func (*GuestsQueried) isDispatcherInput()     {}
func (*GuestsListed) isDispatcherInput()      {}
func (*RemoteLeadChanged) isDispatcherInput() {}
func (*RemoteReconnected) isDispatcherInput() {}
func (*LoadAnnounced) isDispatcherInput()     {}
func (*SpillRecorded) isDispatcherInput()     {}
func (*SpillArrived) isDispatcherInput()      {}
func (*SpillAnswered) isDispatcherInput()     {}

// HostReturned reports that a host of the failure domain can be reached, possibly again.
type HostReturned struct {
	Host identifier.HostID
	// WithoutState reports that the host runs a new process and that the previous one has not
	// handed over its records.
	WithoutState bool
}

// HostGone reports that a host of the failure domain can't be reached any more.
type HostGone struct {
	Host identifier.HostID
	// Left reports that the host itself announced that it leaves.
	Left bool
	// HandedOver reports that other hosts have all records of the host.
	HandedOver bool
}

// TakeoverReplied delivers the records that one host has of a cell's submissions.
type TakeoverReplied struct {
	From  identifier.HostID
	Reply messenger.TakeoverReply
	// HandedOver are the hosts that have left and whose records other hosts have.
	HandedOver []messenger.Handover
}

// JobForwarded delivers a job from the host that its caller is connected to.
type JobForwarded struct {
	From     identifier.HostID
	Job      *messenger.Job
	Deadline identifier.Moment
	// MayHaveEarlierStarts reports that an earlier lead may have started tasks of the job.
	MayHaveEarlierStarts bool
	// Age is how long ago the job was forwarded for the first time.
	Age time.Duration
}

// CancelArrived requests the cancellation of a submission.
type CancelArrived struct {
	From   identifier.HostID
	Cancel messenger.Cancel
}

// LookupArrived requests the answer of a submission.
type LookupArrived struct {
	From   identifier.HostID
	Lookup messenger.Lookup
}

// AnswerReplicated reports that a second host keeps the answer of a submission.
type AnswerReplicated struct {
	Submission identifier.SubmissionID
}

// ClaimDecided delivers the decision on a ClaimWanted.
type ClaimDecided struct {
	Submission identifier.SubmissionID
	Verdict    ClaimVerdict
	// Holder is the submission that holds the claim. It may be Submission itself, which then held
	// the claim already.
	Holder identifier.SubmissionID
	// HolderHome is the failure domain whose lead has the holder's answer.
	HolderHome identifier.FailureDomain
}

// EvacuationsChanged lists the failure domains in which nothing is started from now on.
type EvacuationsChanged struct{ Evacuated messenger.EvacuatedDomains }

func (*EvacuationsChanged) isDispatcherInput() {}

// ServerAnnounced reports that a backend server has opened a stream. Tasks and Unacknowledged are
// complete: a task that is in neither was not started there.
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

// ServerReported delivers a backend server's complete list of a cell's tasks under the epoch that
// the server has accepted.
type ServerReported struct {
	Server         identifier.BackendServerID
	Cell           messenger.CellNumber
	Epoch          identifier.Epoch
	Tasks          []TaskKey
	Unacknowledged []ServerAnswer
	// Acknowledged are the submissions for which an answer was acknowledged there within the answer
	// retention, for a lead that requested them.
	Acknowledged []messenger.SubmissionDigest
	// ListsAcknowledged reports that the list Acknowledged is filled in.
	ListsAcknowledged bool
}

// ServerHeartbeat reports that a backend server is live and how many of its slots are busy.
type ServerHeartbeat struct {
	Server identifier.BackendServerID
	Busy   identifier.Slots
}

// ServerLeaving reports that a backend server accepts no new starts.
type ServerLeaving struct {
	Server identifier.BackendServerID
}

// ServerLost reports that the stream of a backend server has ended.
type ServerLost struct {
	Server identifier.BackendServerID
}

// TasksRefused delivers refusals: these starts did not happen and never will.
type TasksRefused struct {
	Server   identifier.BackendServerID
	Refusals []ServerRefusal
}

// TasksAnswered delivers the outcomes of tasks that ran.
type TasksAnswered struct {
	Server  identifier.BackendServerID
	Answers []ServerAnswer
}

// TaskKey identifies a task among all submissions.
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

func (*LeadTaken) isDispatcherInput()        {}
func (*LeadLost) isDispatcherInput()         {}
func (*HostReturned) isDispatcherInput()     {}
func (*HostGone) isDispatcherInput()         {}
func (*TakeoverReplied) isDispatcherInput()  {}
func (*JobForwarded) isDispatcherInput()     {}
func (*CancelArrived) isDispatcherInput()    {}
func (*LookupArrived) isDispatcherInput()    {}
func (*AnswerReplicated) isDispatcherInput() {}
func (*ClaimDecided) isDispatcherInput()     {}
func (*ServerAnnounced) isDispatcherInput()  {}
func (*ServerReported) isDispatcherInput()   {}
func (*ServerHeartbeat) isDispatcherInput()  {}
func (*ServerLeaving) isDispatcherInput()    {}
func (*ServerLost) isDispatcherInput()       {}
func (*TasksRefused) isDispatcherInput()     {}
func (*TasksAnswered) isDispatcherInput()    {}
