package coordinator

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/leaser"
	"github.com/stoathitch/stoathitch/pkg/placer"
	"github.com/stoathitch/stoathitch/pkg/planner"
)

// IntentSettings configures how this host plans and drives intents.
type IntentSettings struct {
	// Lease is how long a worker may run a task without contact.
	Lease time.Duration
	// SyncInterval is the time between two syncs of a driving host with the leading keeper. A sync
	// carries the status of its workers.
	SyncInterval time.Duration
	// MaxStatusAge is the age beyond which a status is ignored, because its failure domain can't be
	// reached.
	MaxStatusAge time.Duration
	// ReviewInterval is the time between two reviews of the intents that wait for a plan.
	ReviewInterval time.Duration
	// RenewPlans is the time between two checks of unconfirmed plans.
	RenewPlans time.Duration
	// ConfirmWithin is how long a plan can be confirmed before it expires.
	ConfirmWithin time.Duration
	// Resend is the time after which an unanswered command is sent to the next keeper.
	Resend time.Duration
	// RetryLead is how long a host that lost its epoch but still leads the cell waits before it
	// requests a new epoch.
	RetryLead time.Duration
	Driver    planner.DriverSettings
	// Quotas are in force until there is a configuration.
	Quotas []planner.TeamQuota
}

// DefaultIntentSettings returns the daemon's default intent settings.
func DefaultIntentSettings() IntentSettings {
	return IntentSettings{
		Lease:          10 * time.Second,
		SyncInterval:   time.Second,
		MaxStatusAge:   5 * time.Second,
		ReviewInterval: time.Second,
		RenewPlans:     5 * time.Second,
		ConfirmWithin:  planner.DefaultConfirmTimeout,
		Resend:         500 * time.Millisecond,
		RetryLead:      5 * time.Second,
		Driver:         planner.DefaultDriverSettings(),
	}
}

// IntentSync is sent to the leading keeper by the host that drives a failure domain's workers. The
// reply is the update with the changes after version Since.
type IntentSync struct {
	FailureDomain identifier.FailureDomain `cbor:"1,keyasint,omitempty"`
	Epoch         identifier.Epoch         `cbor:"2,keyasint,omitempty"`
	Since         identifier.LogIndex      `cbor:"3,keyasint,omitempty"`
	// Status is nil until the driver runs.
	Status *planner.DomainStatus `cbor:"4,keyasint,omitempty"`
}

// WorkerEvent carries messages or events of a worker.
type WorkerEvent struct {
	Worker identifier.WorkerID
	Events []planner.Input
}

// ToWorker is the batch of one tick for a worker.
type ToWorker struct {
	Worker identifier.WorkerID
	// Epoch is the epoch of the driver. The worker obeys no lower epoch afterwards.
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

// knownWorker is a worker that is connected to this host.
type knownWorker struct {
	worker  placer.Worker
	reading leaser.HolderMoment
}

// wallTime returns the wall clock's reading, for display only.
func (coordinator *Coordinator) wallTime() planner.WallTime {
	return coordinator.WallStart.Add(time.Duration(coordinator.now))
}

// enforceQuotas applies the quotas of a configuration in the tick in which it comes into force.
// Tasks beyond a lowered quota continue to run.
func (coordinator *Coordinator) enforceQuotas(document []byte) {
	if coordinator.QuotasOf == nil {
		return
	}
	if teams, readable := coordinator.QuotasOf(document); readable {
		coordinator.quotas.set(teams)
	}
}
