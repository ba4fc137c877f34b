package planner

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/guarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/leaser"
	"github.com/stoathitch/stoathitch/pkg/placer"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

// DriverSettings of a Driver.
type DriverSettings struct {
	// SweepInterval is the time between two looks at all running tasks.
	SweepInterval time.Duration
	// PlaceInterval is the time between two rounds of placement: every heartbeat may
	// make room, and a round costs something for each batch that waits.
	PlaceInterval time.Duration
	// FlushInterval is how long outcomes are gathered before they are proposed.
	FlushInterval time.Duration
	// Window is the number of tasks of a batch that wait in the placer, and that
	// are claimed at once.
	Window int
	// FailuresToQuarantine is the number of failures in a row, of batches that
	// succeed elsewhere, after which a worker gets no new tasks.
	FailuresToQuarantine int
	// Quarantine is the time for which it gets none, doubled up to eight times as
	// long when it fails again at once.
	Quarantine time.Duration
	// QuarantinedPermille is the highest share of workers in quarantine.
	QuarantinedPermille int
	// CheckpointWithin is the time after which a checkpoint is given up for a stop.
	CheckpointWithin time.Duration
	// RememberLost is how long a lost worker counts as one that will be back.
	RememberLost time.Duration
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
		CheckpointWithin:     30 * time.Second,
		RememberLost:         10 * time.Minute,
	}
}

// Driver runs the confirmed intents on the workers of one failure domain. It runs
// only on the host that leads these workers; its Epoch is above that of every
// former lead, the former lead must have lost its right before this one begins,
// and a CommandLead must be applied before the first assignment is read. Set the exported fields before use.
type Driver[P placer.Policy] struct {
	FailureDomain identifier.FailureDomain
	Epoch         identifier.Epoch
	Settings      DriverSettings
	Placer        *placer.Placer[P]
	// Granter holds the leases; its QuietUntil lies at least one lease after the
	// driver's first Tick when another host led before.
	Granter *leaser.Granter
	Guarder *guarder.Guarder
	Learner *guarder.Learner

	intents *tabulator.Table[identifier.IntentName, driven]
	tasks   *tabulator.Table[identifier.TaskID, driveTask]
	workers *tabulator.Table[identifier.WorkerID, driveWorker]
	outputs []Output
	sweepAt identifier.Moment
	flushAt identifier.Moment
	quiet   bool
	// evacuated tells that nothing is started in the failure domain.
	evacuated bool
	// changed tells that something may be placed that could not be before; placeAt
	// is when that is tried next.
	changed  bool
	placeAt  identifier.Moment
	badRacks map[identifier.RackID]bool
	// settledAt is when every living worker has had time to announce itself.
	settledAt identifier.Moment
}

// NewDriver returns a driver with the default settings. Nothing is started before
// quietUntil, the moment until which tasks of a former lead may run.
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

// DefaultKinds is the number of kinds of batches that are learned of.
const DefaultKinds = 8192

// driveTask is a task that runs, or may run, on a worker.
type driveTask struct {
	batch     *drivenBatch
	index     int
	worker    identifier.WorkerID
	number    leaser.Number
	startedAt identifier.Moment
	leaving   leaving
	// leavingSince is when a checkpoint was ordered.
	leavingSince identifier.Moment
	// stopping tells that the lease is no longer renewed.
	stopping bool
	reason   string
}

// leaving says why a task was told to stop.
type leaving int

const (
	leavingNot leaving = iota
	leavingPreempted
	leavingGuarded
	leavingCancelled
)

// driveWorker is a worker as the driver sees it.
type driveWorker struct {
	worker           placer.Worker
	lostAt           identifier.Moment
	lost             bool
	silent           bool
	failures         int
	quarantine       time.Duration
	quarantinedUntil identifier.Moment
}

// Tick takes inputs at now and returns what is to be done, in order.
func (driver *Driver[P]) Tick(now identifier.Moment, inputs []Input) []Output {
	driver.prepare(now)
	driver.outputs = nil
	driver.changed = driver.changed || len(inputs) > 0
	for _, input := range inputs {
		driver.take(now, input)
	}
	driver.endQuiet(now)
	driver.expireLeases(now)
	if driver.sweepAt.Due(now) {
		driver.sweep(now)
	}
	if !driver.quiet && !driver.evacuated && driver.changed && driver.placeAt.Due(now) {
		driver.changed = false
		driver.placeAt = now.Add(driver.Settings.PlaceInterval)
		driver.refill(now)
		driver.place(now)
	}
	driver.flush(now)
	return driver.outputs
}

// NextDeadline returns the moment at which Tick is due without any input.
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
	} else if driver.changed && !driver.evacuated {
		next = identifier.Earlier(next, driver.placeAt)
	}
	return next
}

// Picture returns what plans are made from.
func (driver *Driver[P]) Picture(now identifier.Moment) Picture {
	if driver.intents == nil {
		return Picture{FailureDomain: driver.FailureDomain, Settling: true}
	}
	picture := Picture{FailureDomain: driver.FailureDomain, Rooms: driver.Placer.Rooms()}
	picture.Settling = now.Before(driver.settledAt) || driver.workers.Len() == 0
	loads := driver.Placer.Loads(now)
	picture.Loads = loads[:]
	return picture
}

func (driver *Driver[P]) take(now identifier.Moment, input Input) {
	switch input := input.(type) {
	case WorkerAnnounced:
		driver.announce(now, input)
	case WorkerHeartbeat:
		driver.heartbeat(now, input)
	case WorkerLost:
		driver.lose(now, input.Worker)
	case TaskEnded:
		driver.taskEnded(now, input)
	case IntentAssigned:
		driver.assign(now, input)
	case IntentEnded:
		driver.intentEnded(now, input.Name)
	case ClaimApplied:
		driver.claimApplied(input)
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
	driver.intents = tabulator.New[identifier.IntentName, driven]()
	driver.tasks = tabulator.New[identifier.TaskID, driveTask]()
	driver.workers = tabulator.New[identifier.WorkerID, driveWorker]()
	driver.flushAt = identifier.Never
	driver.sweepAt = now.Add(driver.Settings.SweepInterval)
	driver.settledAt = now.Add(driver.Granter.Length)
	driver.quiet = now.Before(driver.Granter.QuietUntil)
}
