package coordinator

import (
	"github.com/stoathitch/stoathitch/pkg/allocator"
	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/elector"
	"github.com/stoathitch/stoathitch/pkg/explainer"
	"github.com/stoathitch/stoathitch/pkg/forwarder"
	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/keeper"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/planner"
	"github.com/stoathitch/stoathitch/pkg/replicator"
	"github.com/stoathitch/stoathitch/pkg/starter"
	"github.com/stoathitch/stoathitch/pkg/supervisor"
)

// Input is a message or event that Tick applies.
type Input interface{ isCoordinatorInput() }

// PeerBatchArrived carries the messages that another host sent in one tick.
type PeerBatchArrived struct {
	From  identifier.HostID
	Batch PeerBatch
}

// PeerConnected reports that a connection to another host is open.
type PeerConnected struct{ Host identifier.HostID }

// PeerDisconnected reports that the connection to another host has closed. Whether its process is
// gone is for the membership to find out.
type PeerDisconnected struct{ Host identifier.HostID }

// ServerEvent carries a message or event of a backend server.
type ServerEvent struct{ Event dispatcher.Input }

// CallerEvent carries a request of a caller.
type CallerEvent struct{ Event forwarder.Input }

// ShutdownRequested starts a graceful shutdown: the host gives up its cells and answers the work
// that it has accepted.
type ShutdownRequested struct{}

// Restored carries the contents of a keeper's journal at startup. It must come before any other
// input.
type Restored struct{ Restored replicator.Restored }

// Persisted reports that every Persist up to a sequence is durable.
type Persisted struct{ Sequence replicator.PersistSequence }

// SnapshotSaved reports that a snapshot is durable.
type SnapshotSaved struct{ Index identifier.LogIndex }

// ConfigRestored carries the configuration that was in force on this host before it restarted.
type ConfigRestored struct{ Version configurer.Version }

// CellsRestored carries the states of cells that this keeper had stored before it restarted.
type CellsRestored struct{ Cells []messenger.StoredCell }

// OperatorRequest carries an operator's command for the keepers.
type OperatorRequest struct {
	Waiter  uint64
	Command keeper.Command
	// Read requests a read of intents in place of a command.
	Read *keeper.IntentRead
	// ReadConfig requests the newest accepted configuration in place of a command. It is answered
	// only while a quorum of the keepers confirms it.
	ReadConfig bool
}

// ConfigHistoryWanted requests the configurations that the own keeper has.
type ConfigHistoryWanted struct{ Waiter uint64 }

// ConfigWanted requests the configuration in force on this host.
type ConfigWanted struct{ Waiter uint64 }

// ExplainWanted requests the decisions of this host about a submission.
type ExplainWanted struct {
	Waiter     uint64
	Submission identifier.SubmissionID
}

// StatusWanted requests the status of this host for operators.
type StatusWanted struct{ Waiter uint64 }

// SupervisorEvent carries an event of a job that need not be remembered.
type SupervisorEvent struct{ Event supervisor.Input }

// StartEvent carries the response of a backend server that was called to start a run, or a change
// of the limits of such calls.
type StartEvent struct{ Event starter.Input }

// AllocatorEvent carries the response of a backend server that was polled or called to stop a run.
type AllocatorEvent struct{ Event allocator.Input }

// ServerReportAnnounced carries the report of a backend server that is called.
type ServerReportAnnounced struct{ Report messenger.ServerReport }

func (*SupervisorEvent) isCoordinatorInput()       {}
func (*StartEvent) isCoordinatorInput()            {}
func (*AllocatorEvent) isCoordinatorInput()        {}
func (*ServerReportAnnounced) isCoordinatorInput() {}
func (*PeerBatchArrived) isCoordinatorInput()      {}
func (*PeerConnected) isCoordinatorInput()         {}
func (*PeerDisconnected) isCoordinatorInput()      {}
func (*ServerEvent) isCoordinatorInput()           {}
func (*CallerEvent) isCoordinatorInput()           {}
func (*ShutdownRequested) isCoordinatorInput()     {}
func (*Restored) isCoordinatorInput()              {}
func (*Persisted) isCoordinatorInput()             {}
func (*SnapshotSaved) isCoordinatorInput()         {}
func (*ConfigRestored) isCoordinatorInput()        {}
func (*CellsRestored) isCoordinatorInput()         {}
func (*OperatorRequest) isCoordinatorInput()       {}
func (*ConfigHistoryWanted) isCoordinatorInput()   {}
func (*ConfigWanted) isCoordinatorInput()          {}
func (*ExplainWanted) isCoordinatorInput()         {}
func (*StatusWanted) isCoordinatorInput()          {}

// Output is something for the owner of the coordinator to carry out.
type Output interface{ isCoordinatorOutput() }

// ToPeer is the batch of one tick for another host.
type ToPeer struct {
	Host  identifier.HostID
	Batch PeerBatch
}

// ToServer is the batch of one tick for a backend server.
type ToServer struct{ Batch *dispatcher.ToServer }

// ToCaller carries an answer to a waiting request.
type ToCaller struct{ Answer *forwarder.AnswerCaller }

// Drained reports that a graceful shutdown has answered all accepted work.
type Drained struct{}

// LeadChanged reports, for the log, that this host took a cell, or gave it up if the notice has no
// host.
type LeadChanged struct{ Notice messenger.LeadNotice }

// LeadMovePlanned reports, for the log, that this host gives a cell to a host with more capacity.
type LeadMovePlanned struct{ Move elector.MovePlanned }

// MemberChanged reports the new state of another host, for the log and for the connections.
type MemberChanged struct{ State gossiper.State }

// Persist makes the journal write and sync.
type Persist struct{ Persist replicator.Persist }

// SaveSnapshot makes the journal write a snapshot.
type SaveSnapshot struct{ Snapshot replicator.Snapshot }

// KeeperLeaderChanged reports, for the log, who leads the keepers.
type KeeperLeaderChanged struct {
	Leader identifier.HostID
	Term   identifier.Term
}

// KeeperJoined reports that the keeper of this host, which started with an empty disk, has been
// added by the others.
type KeeperJoined struct {
	// Members are the members of the keepers' log, including this host.
	Members []identifier.HostID
}

// KeeperMembersChanged reports, for the log, the members of the keepers' log.
type KeeperMembersChanged struct{ Members []replicator.Member }

// KeeperChangeRefused reports, for the log, that the leading keeper could not make a change of the
// members. It is proposed again until it is made or no longer needed.
type KeeperChangeRefused struct {
	Change replicator.ChangeKind
	Host   identifier.HostID
	Reason replicator.OutcomeKind
}

// KeeperHalted reports that the keeper of this host can't continue.
type KeeperHalted struct{ Reason string }

// ConfigInForce reports that a configuration is in force on this host from now on.
type ConfigInForce struct{ Version configurer.Version }

// LayoutChanged reports the layouts that this host knows, after a change.
type LayoutChanged struct {
	// Cells is the number of cells that this host uses, 0 while it uses none.
	Cells int
	// Layouts are the agreed layouts of the failure domains, sorted by name, and Agreed is the number
	// of cells that they give the own failure domain, 0 for none.
	Layouts []configurer.Layout
	Agreed  int
	// Serving reports whether this host serves callers with its layout.
	Serving bool
	// Differing are the living hosts of the failure domain that use another number of cells.
	Differing []LayoutDifference
}

// LayoutProposed reports, for the log, the outcome of a layout that this host proposed.
type LayoutProposed struct {
	Layout configurer.Layout
	Result configurer.Result
}

// StoreCells requests that everything known of the cells be stored on disk. The write is best
// effort: it is not in the journal and nothing waits for it.
type StoreCells struct{ Cells []messenger.StoredCell }

// ConfigHistory answers a ConfigHistoryWanted.
type ConfigHistory struct {
	Waiter   uint64
	Versions []configurer.Version
}

// ConfigAnswer answers a ConfigWanted. If Known is false, this host has just started and has not
// received the configuration in force yet.
type ConfigAnswer struct {
	Waiter  uint64
	Known   bool
	Version configurer.Version
}

// OperatorAnswer answers an OperatorRequest. If Applied is false, it is unknown whether the command
// was carried out; resending it with the same request id finds out.
type OperatorAnswer struct {
	Waiter  uint64
	Applied bool
	Result  keeper.Result
	// Overloaded reports that too many requests are waiting and that nothing was done.
	Overloaded bool
}

// ExplainAnswer answers an ExplainWanted.
type ExplainAnswer struct {
	Waiter uint64
	// At is the moment of the answer, on the same clock as the steps.
	At    identifier.Moment
	Steps []explainer.Step
}

// StatusAnswer answers a StatusWanted.
type StatusAnswer struct {
	Waiter uint64
	Status Status
}

// CallPoll polls a backend server for its running and ended runs.
type CallPoll struct{ Call *allocator.PollServer }

// CallStop calls a backend server to stop a run.
type CallStop struct{ Call *allocator.StopRun }

// CallStart calls a backend server to start a run, for this host or for another one.
type CallStart struct {
	Call *supervisor.StartRun
	For  identifier.HostID
	// Connections limits the concurrent connections from this host to the server.
	Connections int
}

// JobEnded answers the caller of a job that need not be remembered.
type JobEnded struct{ Ended *supervisor.JobEnded }

// Decided reports a decision for the log.
type Decided struct{ Decision messenger.Decision }

// LeadKnown reports who leads a cell of a failure domain. An empty host means that nobody does.
type LeadKnown struct{ Notice messenger.LeadNotice }

func (*CallPoll) isCoordinatorOutput()             {}
func (*CallStop) isCoordinatorOutput()             {}
func (*CallStart) isCoordinatorOutput()            {}
func (*JobEnded) isCoordinatorOutput()             {}
func (*Decided) isCoordinatorOutput()              {}
func (*LeadKnown) isCoordinatorOutput()            {}
func (*ToPeer) isCoordinatorOutput()               {}
func (*ToServer) isCoordinatorOutput()             {}
func (*ToCaller) isCoordinatorOutput()             {}
func (*Drained) isCoordinatorOutput()              {}
func (*LeadChanged) isCoordinatorOutput()          {}
func (*LeadMovePlanned) isCoordinatorOutput()      {}
func (*MemberChanged) isCoordinatorOutput()        {}
func (*Persist) isCoordinatorOutput()              {}
func (*SaveSnapshot) isCoordinatorOutput()         {}
func (*KeeperLeaderChanged) isCoordinatorOutput()  {}
func (*KeeperJoined) isCoordinatorOutput()         {}
func (*KeeperMembersChanged) isCoordinatorOutput() {}
func (*KeeperChangeRefused) isCoordinatorOutput()  {}
func (*KeeperHalted) isCoordinatorOutput()         {}
func (*ConfigInForce) isCoordinatorOutput()        {}
func (*StoreCells) isCoordinatorOutput()           {}
func (*LayoutChanged) isCoordinatorOutput()        {}
func (*LayoutProposed) isCoordinatorOutput()       {}
func (*ConfigHistory) isCoordinatorOutput()        {}
func (*ConfigAnswer) isCoordinatorOutput()         {}
func (*OperatorAnswer) isCoordinatorOutput()       {}
func (*ExplainAnswer) isCoordinatorOutput()        {}
func (*StatusAnswer) isCoordinatorOutput()         {}

// PeerBatch is what one host sends to another in one tick.
type PeerBatch struct {
	Messages []PeerMessage `cbor:"1,keyasint"`
}

// PeerMessage is one message between hosts. Exactly one field is set.
type PeerMessage struct {
	Forward           *messenger.Forward        `cbor:"1,keyasint,omitempty"`
	Answer            *messenger.JobAnswer      `cbor:"2,keyasint,omitempty"`
	AnswerReceipt     identifier.SubmissionID   `cbor:"3,keyasint,omitempty"`
	CopyRequest       []messenger.CopyRecord    `cbor:"4,keyasint,omitempty"`
	CopyReceipt       []identifier.SubmissionID `cbor:"5,keyasint,omitempty"`
	AnswerCopy        *messenger.AnswerCopy     `cbor:"6,keyasint,omitempty"`
	AnswerCopyReceipt identifier.SubmissionID   `cbor:"7,keyasint,omitempty"`
	AnswerRequest     *messenger.AnswerRequest  `cbor:"8,keyasint,omitempty"`
	TakeoverQuery     *messenger.TakeoverQuery  `cbor:"9,keyasint,omitempty"`
	TakeoverReply     *messenger.TakeoverReply  `cbor:"10,keyasint,omitempty"`
	LeadNotice        *messenger.LeadNotice     `cbor:"11,keyasint,omitempty"`
	Lookup            *messenger.Lookup         `cbor:"12,keyasint,omitempty"`
	Cancel            *messenger.Cancel         `cbor:"13,keyasint,omitempty"`
	Load              *messenger.LoadNotice     `cbor:"20,keyasint,omitempty"`
	Spill             *messenger.SpillRequest   `cbor:"21,keyasint,omitempty"`
	SpillAnswer       *messenger.JobAnswer      `cbor:"22,keyasint,omitempty"`
	SpillReceipt      identifier.SubmissionID   `cbor:"23,keyasint,omitempty"`
	GuestQuery        *messenger.GuestQuery     `cbor:"24,keyasint,omitempty"`
	GuestReply        *messenger.GuestReply     `cbor:"25,keyasint,omitempty"`
	Replicas          []messenger.Replica       `cbor:"30,keyasint,omitempty"`
	ReplicaReceipt    *messenger.ReplicaReceipt `cbor:"31,keyasint,omitempty"`
	LookupReply       *messenger.LookupReply    `cbor:"32,keyasint,omitempty"`
	DigestBatch       *messenger.DigestBatch    `cbor:"33,keyasint,omitempty"`
	DigestQuery       *messenger.DigestQuery    `cbor:"34,keyasint,omitempty"`
	DigestReply       *messenger.DigestBatch    `cbor:"35,keyasint,omitempty"`
	Handover          *messenger.Handover       `cbor:"36,keyasint,omitempty"`
	HandoverReceipt   bool                      `cbor:"37,keyasint,omitempty"`
	// Membership, keepers and configuration.
	Gossip        *gossiper.Message   `cbor:"14,keyasint,omitempty"`
	Log           *replicator.Message `cbor:"15,keyasint,omitempty"`
	KeeperRequest *keeper.Request     `cbor:"16,keyasint,omitempty"`
	KeeperReply   *keeper.Reply       `cbor:"17,keyasint,omitempty"`
	ConfigWanted  bool                `cbor:"18,keyasint,omitempty"`
	Config        *configurer.Version `cbor:"19,keyasint,omitempty"`
	// Intents.
	IntentSync   *IntentSync           `cbor:"40,keyasint,omitempty"`
	IntentUpdate *planner.DriverUpdate `cbor:"41,keyasint,omitempty"`
	// Jobs that need not be remembered, and the backend servers that are called.
	CapacityRequest *messenger.CapacityRequest `cbor:"50,keyasint,omitempty"`
	CapacityRelease *messenger.CapacityRelease `cbor:"51,keyasint,omitempty"`
	StartReport     *messenger.StartReport     `cbor:"52,keyasint,omitempty"`
	Grant           *messenger.Grant           `cbor:"53,keyasint,omitempty"`
	CapacityAnswer  *messenger.CapacityAnswer  `cbor:"54,keyasint,omitempty"`
	TaskDone        *messenger.TaskDone        `cbor:"55,keyasint,omitempty"`
	CapacityNotice  *messenger.CapacityNotice  `cbor:"56,keyasint,omitempty"`
	ServerReports   []messenger.ServerReport   `cbor:"57,keyasint,omitempty"`
	StoredCell      *messenger.StoredCell      `cbor:"58,keyasint,omitempty"`
	// LeadFollowed is sent after the capacity requests that name runs.
	LeadFollowed    *messenger.LeadFollowed    `cbor:"59,keyasint,omitempty"`
	StartOrder      *messenger.StartOrder      `cbor:"60,keyasint,omitempty"`
	StartResult     *messenger.StartResult     `cbor:"61,keyasint,omitempty"`
	JobInquiry      *messenger.JobInquiry      `cbor:"62,keyasint,omitempty"`
	JobInquiryReply *messenger.JobInquiryReply `cbor:"63,keyasint,omitempty"`
	JobElsewhere    *messenger.JobHandoff      `cbor:"64,keyasint,omitempty"`
	StartRepeat     *messenger.StartRepeat     `cbor:"66,keyasint,omitempty"`
	// CellUpdate holds only those reports of a cell that have changed.
	CellUpdate *messenger.StoredCell `cbor:"65,keyasint,omitempty"`
}

// outbox collects the outputs of one tick, with one batch for each peer.
type outbox struct {
	outputs []Output
	byPeer  map[identifier.HostID]*ToPeer
}

func (outbox *outbox) add(output Output) { outbox.outputs = append(outbox.outputs, output) }

func (outbox *outbox) toPeer(host identifier.HostID, message PeerMessage) {
	batch, found := outbox.byPeer[host]
	if !found {
		if outbox.byPeer == nil {
			outbox.byPeer = make(map[identifier.HostID]*ToPeer)
		}
		batch = &ToPeer{Host: host}
		outbox.byPeer[host] = batch
		outbox.add(batch)
	}
	batch.Batch.Messages = append(batch.Batch.Messages, message)
}

func (outbox *outbox) drain() []Output {
	outputs := outbox.outputs
	outbox.outputs = nil
	clear(outbox.byPeer)
	return outputs
}
