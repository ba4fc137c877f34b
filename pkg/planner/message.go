package planner

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/guarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/leaser"
	"github.com/stoathitch/stoathitch/pkg/placer"
)

//go:generate enumer -type=TaskEnd -transform=kebab -trimprefix=End -text

// TaskEnd is how a run of a task ended on its worker.
type TaskEnd int

// The ways in which a task ends on a worker.
const (
	// EndSucceeded means that it ran to its end.
	EndSucceeded TaskEnd = iota
	// EndFailed means that it failed.
	EndFailed
	// EndStopped means that it was stopped, by an order or because its lease ended.
	EndStopped
	// EndCheckpointed means that it was stopped after its progress was saved.
	EndCheckpointed
	// EndRefused means that the worker did not start it.
	EndRefused
)

// Input is an event that a Driver handles.
type Input interface{ isInput() }

// WorkerAnnounced reports that a worker's process has connected.
type WorkerAnnounced struct {
	Worker placer.Worker
	// Reading is the worker's own clock, as in WorkerHeartbeat.
	Reading leaser.HolderMoment
}

// WorkerHeartbeat is sent by each worker at regular intervals.
type WorkerHeartbeat struct {
	Worker  identifier.WorkerID
	Reading leaser.HolderMoment
	Running []RunningTask
	Reports []guarder.Report
}

// RunningTask is a task that a worker runs, with the number of its lease.
type RunningTask struct {
	Task   identifier.TaskID
	Number leaser.Number
}

// WorkerLost reports that the connection to a worker is closed. Its tasks may continue to
// run until their leases end.
type WorkerLost struct{ Worker identifier.WorkerID }

// TaskEnded is a worker's report of how a task ended.
type TaskEnded struct {
	Worker identifier.WorkerID
	Task   identifier.TaskID
	Number leaser.Number
	End    TaskEnd
}

// IntentAssigned assigns a failure domain's part of a confirmed intent to its driver, or
// notifies the driver that a known intent is being cancelled. See Machine.Assignment.
type IntentAssigned struct {
	Name       identifier.IntentName
	Spec       Spec
	Allotments []Allotment
	Claims     []ClaimMark
	Ranges     []Range
	Learned    []Learned
	Cancelling bool
}

// EvacuationChanged sets whether starts on the workers of the failure domain are suspended.
// Assigned tasks wait meanwhile.
type EvacuationChanged struct{ Evacuated bool }

func (EvacuationChanged) isInput() {}

// IntentEnded reports that the log has ended an intent. Its running tasks are stopped.
type IntentEnded struct{ Name identifier.IntentName }

// ClaimApplied is the result of a proposed claim.
type ClaimApplied struct {
	Name     identifier.IntentName
	Claim    Claim
	Accepted bool
}

// QuotasChanged replaces quotas of teams within this failure domain.
type QuotasChanged struct{ Quotas []TeamQuota }

// TeamQuota is the quota of one team.
type TeamQuota struct {
	Team  identifier.TeamID
	Quota placer.Quota
}

func (WorkerAnnounced) isInput() {}
func (WorkerHeartbeat) isInput() {}
func (WorkerLost) isInput()      {}
func (TaskEnded) isInput()       {}
func (IntentAssigned) isInput()  {}
func (IntentEnded) isInput()     {}
func (ClaimApplied) isInput()    {}
func (QuotasChanged) isInput()   {}

// Output is an action that a Driver requests.
type Output interface{ isOutput() }

// StartTask orders a worker to run a task under a new lease.
type StartTask struct {
	Worker identifier.WorkerID
	Grant  leaser.Grant
	Intent identifier.IntentName
	Batch  int
	Index  int
	// Need is the limit of the task's usage while it is throttled.
	Need    identifier.Resources
	RunTime time.Duration
	// Resume reports whether to resume from the task's checkpoint.
	Resume bool
}

// RenewLeases extends leases, in response to a heartbeat.
type RenewLeases struct {
	Worker identifier.WorkerID
	Grants []leaser.Grant
}

// ThrottleTask limits a task to its declared processors.
type ThrottleTask struct{ TaskOrder }

// CheckpointTask saves a task's progress and stops it.
type CheckpointTask struct{ TaskOrder }

// StopTask stops a task.
type StopTask struct{ TaskOrder }

// TaskOrder is the target of an order to a worker, and the reason for it.
type TaskOrder struct {
	Worker identifier.WorkerID
	Task   identifier.TaskID
	Number leaser.Number
	Reason string
}

// Propose appends a command to the log. Whoever carries it out sets the command's Wall and
// retries until the command is applied or this host no longer leads.
type Propose struct{ Command Command }

func (StartTask) isOutput()      {}
func (RenewLeases) isOutput()    {}
func (ThrottleTask) isOutput()   {}
func (CheckpointTask) isOutput() {}
func (StopTask) isOutput()       {}
func (Propose) isOutput()        {}

// Assignment returns the part of an intent that a failure domain's driver runs. It returns
// false if there is none or the intent may not run.
func (machine *Machine) Assignment(name identifier.IntentName, domain identifier.FailureDomain) (IntentAssigned, bool) {
	record := machine.Get(name)
	if record == nil || record.State < StateConfirmed || record.State.Ended() {
		return IntentAssigned{}, false
	}
	assigned := IntentAssigned{Name: name, Spec: record.Spec, Cancelling: record.State == StateCancelling}
	for _, allotment := range record.Plan.Allotments {
		if allotment.FailureDomain == domain {
			assigned.Allotments = append(assigned.Allotments, allotment)
		}
	}
	for _, mark := range record.Claims {
		if mark.FailureDomain == domain {
			assigned.Claims = append(assigned.Claims, mark)
		}
	}
	assigned.Ranges = append(assigned.Ranges, record.Ranges...)
	for _, batch := range record.Spec.Batches {
		known := machine.learned.Known(guarder.KindKey{Team: record.Spec.Team, Kind: batch.Kind})
		assigned.Learned = append(assigned.Learned, Learned{Kind: batch.Kind, Correction: known})
	}
	return assigned, len(assigned.Allotments) > 0
}
