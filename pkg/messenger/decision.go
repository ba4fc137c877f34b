package messenger

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

//go:generate enumer -type=DecisionKind -trimprefix=Decision -transform=kebab -text -output=decision_enumer.go

// DecisionKind is the kind of a decision about a job, or of a change in the state that a lead
// assumes of a backend server.
type DecisionKind int

// The kinds of decisions.
const (
	// DecisionArrived means that a caller's job was accepted.
	DecisionArrived DecisionKind = iota
	// DecisionAsked means that a request for capacity was sent to a lead.
	DecisionAsked
	// DecisionGranted means that a run was granted capacity.
	DecisionGranted
	// DecisionWaits means that a job waits for capacity.
	DecisionWaits
	// DecisionHandedOver means that a job, or some of its tasks, was handed off to another lead.
	DecisionHandedOver
	// DecisionTurnedAway means that a job was rejected and has not run.
	DecisionTurnedAway
	// DecisionStartFailed means that a start was not accepted.
	DecisionStartFailed
	// DecisionStartRepeated means that a start is retried because it got no answer.
	DecisionStartRepeated
	// DecisionAdopted means that a lead was notified of a run that another lead granted; the
	// reason is what it knew of that run.
	DecisionAdopted
	// DecisionRunOver means that a run ended without completing its task.
	DecisionRunOver
	// DecisionStopped means that a stop is sent for a run.
	DecisionStopped
	// DecisionAnswered means that the answer was sent to the caller.
	DecisionAnswered
	// DecisionGivenUp means that the job's deadline passed before it was done.
	DecisionGivenUp
	// DecisionCallerLeft means that the caller no longer waits for the answer.
	DecisionCallerLeft
	// DecisionInquired means that other hosts were asked whether they know a job, before it was
	// granted capacity in a cell to which the lead of its home has not referred it.
	DecisionInquired
	// DecisionServerJoined means that a new backend server is available.
	DecisionServerJoined
	// DecisionServerLost means that a backend server no longer responds.
	DecisionServerLost
	// DecisionServerBack means that a lost backend server responds again.
	DecisionServerBack
	// DecisionServerLeaves means that a backend server is draining and gets no new tasks.
	DecisionServerLeaves
	// DecisionServerGone means that the incarnation of a backend server has ended, has announced its
	// end or has long been unresponsive; it gets no more starts.
	DecisionServerGone
	// DecisionServerJudged means that the outcomes of its runs changed how many tasks a backend
	// server may have.
	DecisionServerJudged
	// DecisionServerSpeedChanged means that the learned speed of a backend server has changed by more
	// than a fifth.
	DecisionServerSpeedChanged
	// DecisionSlowRun means that the last run of a late job was on a slow backend server.
	DecisionSlowRun
	// DecisionCrashedUnder means that a backend server crashed, or stopped responding for good,
	// during a run.
	DecisionCrashedUnder
	// DecisionHeartbeatPassedOver means that a backend server's report about itself was ignored.
	DecisionHeartbeatPassedOver
	// DecisionEndPassedOver means that an end in a backend server's list was ignored, since its
	// number counts as already handled.
	DecisionEndPassedOver
)

// Decision is one line of the log: what was decided and the inputs of the decision.
// Fields that don't apply to the kind are zero and left out of the line.
type Decision struct {
	Kind DecisionKind
	// Failed means that the caller's request failed by this decision.
	Failed bool
	Job    identifier.JobID
	Task   TaskIndex
	Run    identifier.RunNumber
	Server identifier.ServerIncarnation
	Host   identifier.HostID
	// Reason is the outcome or the limit that led to the decision.
	Reason string
	// Tasks is the number of tasks or runs that the decision concerns.
	Tasks int
	// Elapsed is the time since the job or the request arrived, or since the run was granted.
	Elapsed time.Duration
	// Predicted is how long the job is estimated to wait.
	Predicted time.Duration
	// FreeSlots is the number of free task slots that the lead knew of.
	FreeSlots int
	// Epoch is the epoch of the lead.
	Epoch identifier.Epoch
}
