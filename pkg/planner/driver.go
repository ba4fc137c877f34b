package planner

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/guarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/leaser"
	"github.com/stoathitch/stoathitch/pkg/placer"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// DriverSettings configures a Driver.
type DriverSettings struct {
	// SweepInterval is the time between two checks of all running tasks and workers.
	SweepInterval time.Duration
	// PlaceInterval is the minimum time between two rounds of placement. Any heartbeat may
	// free capacity, and a round has a cost for each waiting batch.
	PlaceInterval time.Duration
	// FlushInterval is how long outcomes are collected before they are proposed to the log.
	FlushInterval time.Duration
	// Window is the number of tasks of a batch that wait in the placer, and the size of a claim.
	Window int
	// FailuresToQuarantine is the number of consecutive failures after which a worker gets no
	// new tasks. Only failures of batches that have succeeded somewhere count.
	FailuresToQuarantine int
	// Quarantine is the length of the first quarantine. It doubles each time the worker fails
	// again at once, up to eight times this length.
	Quarantine time.Duration
	// QuarantinedPermille is the highest share of workers in quarantine.
	QuarantinedPermille int
	// CheckpointTimeout is the time after which a task that is still not checkpointed is stopped.
	CheckpointTimeout time.Duration
	// LostWorkerRetention is how long a lost worker counts as one that will return; then it is
	// removed.
	LostWorkerRetention time.Duration
}

// DefaultDriverSettings returns the settings used where the configuration has none.
func DefaultDriverSettings() DriverSettings {
	return DriverSettings{
		SweepInterval:        2 * time.Second,
		PlaceInterval:        50 * time.Millisecond,
		FlushInterval:        500 * time.Millisecond,
		Window:               256,
		FailuresToQuarantine: 10,
		Quarantine:           30 * time.Second,
		QuarantinedPermille:  250,
		CheckpointTimeout:    30 * time.Second,
		LostWorkerRetention:  10 * time.Minute,
	}
}

// Driver runs the confirmed intents on the workers of one failure domain. It runs only on
// the host that leads these workers. Its Epoch is above that of every former lead, the
// former lead must have lost its right to lead before this one begins, and a CommandLead
// must be applied before the first assignment is read. Set the exported fields before use.
type Driver[P placer.Policy] struct {
	FailureDomain identifier.FailureDomain
	Epoch         identifier.Epoch
	Settings      DriverSettings
	Placer        *placer.Placer[P]
	// Granter holds the leases. If another host led before, its QuietUntil is at least one
	// lease after the driver's first Tick.
	Granter *leaser.Granter
	Guarder *guarder.Guarder
	Learner *guarder.Learner

	intents *tabulator.Table[identifier.IntentName, driverIntent]
	tasks   *tabulator.Table[identifier.TaskID, driverTask]
	workers *tabulator.Table[identifier.WorkerID, driverWorker]
	outputs []Output
	sweepAt identifier.Moment
	flushAt identifier.Moment
	quiet   bool
	// evacuated reports whether starts in the failure domain are suspended.
	evacuated bool
	// placementPending reports whether a change may allow further placements; placeAt is the
	// time of the next attempt.
	placementPending bool
	placeAt          identifier.Moment
	badRacks         map[identifier.RackID]bool
	// workersKnownAt is when every live worker has had time to announce itself.
	workersKnownAt identifier.Moment
}

// NewDriver returns a driver with the default settings. Nothing is started before
// quietUntil, the time until which tasks of a former lead may run.
func NewDriver[P placer.Policy](policy P, domain identifier.FailureDomain, epoch identifier.Epoch, lease time.Duration, quietUntil identifier.Moment) *Driver[P] {
	return &Driver[P]{
		FailureDomain: domain,
		Epoch:         epoch,
		Settings:      DefaultDriverSettings(),
		Placer:        &placer.Placer[P]{Policy: policy, Settings: placer.DefaultSettings(), Seed: uint64(epoch)},
		Granter:       &leaser.Granter{Epoch: epoch, Length: lease, QuietUntil: quietUntil},
		Guarder:       &guarder.Guarder{Settings: guarder.DefaultSettings()},
		Learner:       &guarder.Learner{Limit: DefaultKinds},
	}
}

// DefaultKinds is the maximum number of kinds of batches with learned corrections.
const DefaultKinds = 8192

// driverTask is a task that runs, or may run, on a worker.
type driverTask struct {
	batch     *driverBatch
	index     int
	worker    identifier.WorkerID
	number    leaser.Number
	startedAt identifier.Moment
	stopCause stopCause
	// checkpointOrderedAt is when the worker was ordered to checkpoint the task.
	checkpointOrderedAt identifier.Moment
	// stopping reports whether the task was ordered to stop; its lease is no longer renewed.
	stopping bool
	reason   string
}

// stopCause is why a task was ordered to checkpoint or stop.
type stopCause int

const (
	stopCauseNone stopCause = iota
	stopCausePreempted
	stopCauseGuarder
	stopCauseCancelled
)

// driverWorker is the driver's state of a worker.
type driverWorker struct {
	worker           placer.Worker
	lostAt           identifier.Moment
	lost             bool
	silent           bool
	failures         int
	quarantineLength time.Duration
	quarantinedUntil identifier.Moment
}

// Tick handles inputs at now and returns the outputs to carry out, in order.
func (driver *Driver[P]) Tick(now identifier.Moment, inputs []Input) []Output {
	driver.prepare(now)
	driver.outputs = nil
	driver.placementPending = driver.placementPending || len(inputs) > 0
	for _, input := range inputs {
		driver.handleInput(now, input)
	}
	driver.endQuietPeriod(now)
	driver.expireLeases(now)
	if driver.sweepAt.Due(now) {
		driver.sweep(now)
	}
	if !driver.quiet && !driver.evacuated && driver.placementPending && driver.placeAt.Due(now) {
		driver.placementPending = false
		driver.placeAt = now.Add(driver.Settings.PlaceInterval)
		driver.refill(now)
		driver.place(now)
	}
	driver.flush(now)
	return driver.outputs
}

// NextDeadline returns when Tick must be called even if there is no input.
func (driver *Driver[P]) NextDeadline() identifier.Moment {
	if driver.intents == nil {
		return identifier.Never
	}
	next := identifier.Earlier(driver.Granter.NextDeadline(), driver.flushAt)
	if driver.intents.Len() > 0 || driver.workers.Len() > 0 {
		next = identifier.Earlier(next, driver.sweepAt)
	}
	if driver.quiet {
		next = identifier.Earlier(next, driver.Granter.QuietUntil)
	} else if driver.placementPending && !driver.evacuated {
		next = identifier.Earlier(next, driver.placeAt)
	}
	return next
}

// Status returns the capacities and loads that plans are based on.
func (driver *Driver[P]) Status(now identifier.Moment) DomainStatus {
	if driver.intents == nil {
		return DomainStatus{FailureDomain: driver.FailureDomain, WorkersUnknown: true}
	}
	status := DomainStatus{FailureDomain: driver.FailureDomain, Workers: driver.Placer.WorkerCapacities()}
	status.WorkersUnknown = now.Before(driver.workersKnownAt) || driver.workers.Len() == 0
	loads := driver.Placer.Loads(now)
	status.Loads = loads[:]
	return status
}

func (driver *Driver[P]) handleInput(now identifier.Moment, input Input) {
	switch input := input.(type) {
	case WorkerAnnounced:
		driver.handleWorkerAnnounced(now, input)
	case WorkerHeartbeat:
		driver.handleHeartbeat(now, input)
	case WorkerLost:
		driver.handleWorkerLost(now, input.Worker)
	case TaskEnded:
		driver.handleTaskEnded(now, input)
	case IntentAssigned:
		driver.handleIntentAssigned(now, input)
	case IntentEnded:
		driver.handleIntentEnded(now, input.Name)
	case ClaimApplied:
		driver.handleClaimApplied(input)
	case EvacuationChanged:
		driver.evacuated = input.Evacuated
	case QuotasChanged:
		for _, changed := range input.Quotas {
			driver.Placer.SetQuota(changed.Team, changed.Quota)
		}
	}
}

func (driver *Driver[P]) emit(output Output) { driver.outputs = append(driver.outputs, output) }

func (driver *Driver[P]) prepare(now identifier.Moment) {
	if driver.intents != nil {
		return
	}
	driver.intents = tabulator.New[identifier.IntentName, driverIntent]()
	driver.tasks = tabulator.New[identifier.TaskID, driverTask]()
	driver.workers = tabulator.New[identifier.WorkerID, driverWorker]()
	driver.flushAt = identifier.Never
	driver.sweepAt = now.Add(driver.Settings.SweepInterval)
	driver.workersKnownAt = now.Add(driver.Granter.Length)
	driver.quiet = now.Before(driver.Granter.QuietUntil)
}
