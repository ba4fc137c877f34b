package coordinator

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/leaser"
	"github.com/stoathitch/stoathitch/pkg/placer"
	"github.com/stoathitch/stoathitch/pkg/planner"
)

// IntentSettings says how this host plans and drives intents.
type IntentSettings struct {
	// Lease is how long a worker may run a task without being heard.
	Lease time.Duration
	// SyncInterval is the time between two messages of a driving host to the keeper
	// that leads; they carry the picture of its workers.
	SyncInterval time.Duration
	// PictureAge is the age beyond which a picture counts as none: its failure domain
	// can't be reached.
	PictureAge time.Duration
	// LookInterval is the time between two looks at intents that wait for a plan.
	LookInterval time.Duration
	// RenewPlans is the time between two checks of unconfirmed plans.
	RenewPlans time.Duration
	// ConfirmWithin is how long a plan may be confirmed.
	ConfirmWithin time.Duration
	// Resend is the time after which an unanswered command goes to the next keeper.
	Resend time.Duration
	// RetryLead is the time that a host waits which lost its epoch but still leads.
	RetryLead time.Duration
	Driver    planner.DriverSettings
	// Quotas are in force until there is a configuration.
	Quotas []planner.TeamQuota
}

// DefaultIntentSettings returns the settings that the daemon starts from.
func DefaultIntentSettings() IntentSettings {
	return IntentSettings{
		Lease:         10 * time.Second,
		SyncInterval:  time.Second,
		PictureAge:    5 * time.Second,
		LookInterval:  time.Second,
		RenewPlans:    5 * time.Second,
		ConfirmWithin: planner.DefaultConfirmWithin,
		Resend:        500 * time.Millisecond,
		RetryLead:     5 * time.Second,
		Driver:        planner.DefaultDriverSettings(),
	}
}

// IntentSync is what the host that drives a failure domain's workers tells the
// keeper that leads. The answer is the news since the version that it has.
type IntentSync struct {
	FailureDomain identifier.FailureDomain `cbor:"1,keyasint,omitempty"`
	Epoch         identifier.Epoch         `cbor:"2,keyasint,omitempty"`
	Since         identifier.LogIndex      `cbor:"3,keyasint,omitempty"`
	// Picture is nil until the driver runs.
	Picture *planner.Picture `cbor:"4,keyasint,omitempty"`
}

// WorkerEvent brings a message or event of a worker.
type WorkerEvent struct {
	Worker identifier.WorkerID
	Events []planner.Input
}

// ToWorker is the batch of one tick for a worker.
type ToWorker struct {
	Worker identifier.WorkerID
	// Epoch is that of the driver; the worker obeys none below it afterwards.
	Epoch identifier.Epoch
	// Orders holds StartTask, RenewLeases, ThrottleTask, CheckpointTask and StopTask.
	Orders []planner.Output
	// Received acknowledges the ends of tasks.
	Received []EndReceived
}

// EndReceived acknowledges that the driver knows how a task ended.
type EndReceived struct {
	Intent identifier.IntentName
	Task   identifier.TaskID
	Number leaser.Number
}

func (*WorkerEvent) isCoordinatorInput() {}
func (*ToWorker) isCoordinatorOutput()   {}

// knownWorker is a worker whose connection to this host stands.
type knownWorker struct {
	worker  placer.Worker
	reading leaser.HolderMoment
}

// wall returns the wall clock's reading, for display.
func (coordinator *Coordinator) wall() planner.WallTime {
	return coordinator.WallStart.Add(time.Duration(coordinator.now))
}

// enforceQuotas takes the quotas of a configuration in the tick in which it comes
// into force. What runs beyond a lowered quota runs on.
func (coordinator *Coordinator) enforceQuotas(document []byte) {
	if coordinator.QuotasOf == nil {
		return
	}
	if teams, readable := coordinator.QuotasOf(document); readable {
		coordinator.quotas.set(teams)
	}
}
