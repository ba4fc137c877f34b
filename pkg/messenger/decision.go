package messenger

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

//go:generate enumer -type=DecisionKind -trimprefix=Decision -transform=kebab -text -output=decision_enumer.go

// DecisionKind names what was decided about a job or believed of a backend server.
type DecisionKind int

// The kinds of decisions.
const (
	// DecisionArrived means that a caller's job was taken.
	DecisionArrived DecisionKind = iota
	// DecisionAsked means that a lead was asked for room.
	DecisionAsked
	// DecisionGranted means that a run got room.
	DecisionGranted
	// DecisionWaits means that a job waits for room.
	DecisionWaits
	// DecisionHandedOver means that a job was sent to another failure domain's lead.
	DecisionHandedOver
	// DecisionTurnedAway means that a job got no room and has not run.
	DecisionTurnedAway
	// DecisionStartFailed means that a start was not accepted.
	DecisionStartFailed
	// DecisionStartRepeated means that a start without an answer is made again.
	DecisionStartRepeated
	// DecisionAdopted means that a lead was told of a run that another lead granted; the
	// reason is what it knew of that run.
	DecisionAdopted
	// DecisionRunOver means that a run ended without doing its work.
	DecisionRunOver
	// DecisionStopped means that a run is told to stop.
	DecisionStopped
	// DecisionAnswered means that the caller got the answer.
	DecisionAnswered
	// DecisionGivenUp means that the job's time was over.
	DecisionGivenUp
	// DecisionCallerLeft means that the caller no longer waits.
	DecisionCallerLeft
	// DecisionInquired means that other hosts were asked whether they know a job, before it
	// got room in a cell that its home's lead has not sent it to.
	DecisionInquired
	// DecisionServerJoined means that a backend server can be used.
	DecisionServerJoined
	// DecisionServerLost means that a backend server doesn't answer.
	DecisionServerLost
	// DecisionServerBack means that it answers again.
	DecisionServerBack
	// DecisionServerLeaves means that it gets nothing new.
	DecisionServerLeaves
	// DecisionServerGone means that its life is over.
	DecisionServerGone
	// DecisionServerJudged means that its outcomes changed how much it gets.
	DecisionServerJudged
	// DecisionCrashedUnder means that a server crashed, or fell silent for good, while a run was there.
	DecisionCrashedUnder
	// DecisionHeartbeatPassedOver means that a backend server's word about itself changed nothing.
	DecisionHeartbeatPassedOver
	// DecisionEndPassedOver means that an end which a backend server lists was taken for one that is known.
	DecisionEndPassedOver
)

// Decision is one line of the log: what was decided and the inputs that decided it.
// Fields that say nothing about the kind are zero and left out of the line.
type Decision struct {
	Kind DecisionKind
	// Failed tells that the request failed by it.
	Failed bool
	Job    identifier.JobID
	Task   TaskIndex
	Run    identifier.RunNumber
	Server identifier.ServerIncarnation
	Host   identifier.HostID
	// Reason is the outcome or the limit that decided.
	Reason string
	// Tasks counts the tasks that the decision is about.
	Tasks int
	// Elapsed is how long ago the job arrived, or how old the view is.
	Elapsed time.Duration
	// Predicted is how long a job is thought to wait.
	Predicted time.Duration
	// Spots is how many more tasks the view had room for.
	Spots int
	// Epoch is the lead's.
	Epoch identifier.Epoch
}
