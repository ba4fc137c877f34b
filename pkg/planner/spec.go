package planner

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/guarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/placer"
)

// OperatorID identifies the sender of a command.
type OperatorID string

// WallTime is a wall-clock reading in milliseconds since 1970. It is kept for display only;
// no decision depends on it.
type WallTime int64

// Add returns the reading interval later.
func (wall WallTime) Add(interval time.Duration) WallTime {
	return wall + WallTime(interval/time.Millisecond)
}

// Batch is a number of identical tasks.
type Batch struct {
	// Kind names what the tasks do. Corrections are learned for each kind of a team.
	Kind    guarder.Kind         `cbor:"1,keyasint,omitempty" json:"kind"`
	Count   int                  `cbor:"2,keyasint,omitempty" json:"count"`
	Need    identifier.Resources `cbor:"3,keyasint,omitempty" json:"need"`
	RunTime time.Duration        `cbor:"4,keyasint,omitempty" json:"run-time"`
	// Repeatable reports whether a task that may have run already may run again.
	Repeatable     bool `cbor:"5,keyasint,omitempty" json:"repeatable"`
	Checkpointable bool `cbor:"6,keyasint,omitempty" json:"checkpointable"`
}

// Declaration returns the declared need and run time. A task that must not run again is
// never resumed from a checkpoint either.
func (batch Batch) Declaration() guarder.Declaration {
	return guarder.Declaration{
		Need:           batch.Need,
		RunTime:        batch.RunTime,
		Checkpointable: batch.Checkpointable && batch.Repeatable,
	}
}

// Spec is the content of an intent as stated by an operator.
type Spec struct {
	Team    identifier.TeamID          `cbor:"1,keyasint,omitempty" json:"team"`
	Urgency placer.Urgency             `cbor:"2,keyasint,omitempty" json:"urgency"`
	MayRun  []identifier.FailureDomain `cbor:"3,keyasint,omitempty" json:"may-run,omitempty"`
	Batches []Batch                    `cbor:"4,keyasint,omitempty" json:"batches"`
}

// Tasks returns the number of tasks of all batches.
func (spec Spec) Tasks() int {
	tasks := 0
	for _, batch := range spec.Batches {
		tasks += batch.Count
	}
	return tasks
}

// Allotment is the part of a batch that runs in one failure domain: the tasks
// with the indexes from From up to, not including, To.
type Allotment struct {
	Batch         int                      `cbor:"1,keyasint,omitempty" json:"batch"`
	FailureDomain identifier.FailureDomain `cbor:"2,keyasint,omitempty" json:"failure-domain"`
	From          int                      `cbor:"3,keyasint,omitempty" json:"from"`
	To            int                      `cbor:"4,keyasint,omitempty" json:"to"`
	Racks         []RackCount              `cbor:"5,keyasint,omitempty" json:"racks,omitempty"`
}

// RackCount is the number of tasks expected in a rack.
type RackCount struct {
	Rack  identifier.RackID `cbor:"1,keyasint,omitempty" json:"rack"`
	Count int               `cbor:"2,keyasint,omitempty" json:"count"`
}

// Preemption is the number of tasks that are expected to be preempted in a failure domain.
type Preemption struct {
	FailureDomain identifier.FailureDomain `cbor:"1,keyasint,omitempty" json:"failure-domain"`
	Tasks         int                      `cbor:"2,keyasint,omitempty" json:"tasks"`
}

// AppliedCorrection records that a batch's declaration was corrected.
type AppliedCorrection struct {
	Batch      int                `cbor:"1,keyasint,omitempty" json:"batch"`
	Correction guarder.Correction `cbor:"2,keyasint,omitempty" json:"correction"`
}

// Plan is the system's proposal for a Spec.
type Plan struct {
	// Number counts the plans of an intent, starting at 1. Apply sets it.
	Number       uint64              `cbor:"1,keyasint,omitempty" json:"number"`
	Allotments   []Allotment         `cbor:"2,keyasint,omitempty" json:"allotments,omitempty"`
	StartsAt     WallTime            `cbor:"3,keyasint,omitempty" json:"starts-at,omitempty"`
	EndsAt       WallTime            `cbor:"4,keyasint,omitempty" json:"ends-at,omitempty"`
	Confidence   int                 `cbor:"5,keyasint,omitempty" json:"confidence-percent,omitempty"`
	Preemptions  []Preemption        `cbor:"6,keyasint,omitempty" json:"displaces,omitempty"`
	Charged      placer.Quota        `cbor:"7,keyasint,omitempty" json:"charged,omitzero"`
	Quota        placer.Quota        `cbor:"8,keyasint,omitempty" json:"quota,omitzero"`
	ConfirmUntil WallTime            `cbor:"9,keyasint,omitempty" json:"confirm-until,omitempty"`
	Corrections  []AppliedCorrection `cbor:"10,keyasint,omitempty" json:"corrections,omitempty"`
	// Queued is the reason for which nothing can start at once; empty if something can.
	Queued string `cbor:"11,keyasint,omitempty" json:"queued,omitempty"`
	// Limited says how the team's quota slows the intent down; empty if it doesn't.
	Limited string `cbor:"14,keyasint,omitempty" json:"limited,omitempty"`
	// Refusals are all reasons for which the intent can never run; empty if it can.
	Refusals []string `cbor:"12,keyasint,omitempty" json:"refusals,omitempty"`
	// Nearest is the nearest spec that would run, if there are Refusals.
	Nearest *Spec `cbor:"13,keyasint,omitempty" json:"nearest,omitempty"`
}
