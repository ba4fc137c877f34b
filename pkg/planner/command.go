package planner

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/guarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

//go:generate enumer -type=CommandKind -transform=kebab -trimprefix=Command -text
//go:generate enumer -type=ResultKind -transform=kebab -trimprefix=Result -text
//go:generate enumer -type=Outcome -transform=kebab -trimprefix=Outcome -text

// CommandKind says what a command asks for.
type CommandKind int

// The kinds of commands.
const (
	// CommandCreate makes an intent known under a name that is free.
	CommandCreate CommandKind = iota
	// CommandPlan answers an intent with a plan, or replaces an unconfirmed one.
	CommandPlan
	// CommandConfirm lets the intent start as its plan says.
	CommandConfirm
	// CommandReject ends the intent instead.
	CommandReject
	// CommandExpire takes an unconfirmed plan back; a new one is needed.
	CommandExpire
	// CommandCancel ends the intent; what runs is stopped.
	CommandCancel
	// CommandProgress reports outcomes from a failure domain.
	CommandProgress
	// CommandClaim reserves the starts of tasks that must not run twice.
	CommandClaim
	// CommandEnd ends an intent whose failure domain is given up: what has no
	// outcome is then not known to have run.
	CommandEnd
	// CommandLead says which epoch leads a failure domain's workers, given in Claim;
	// without an epoch there, the log gives the next one.
	// A new lead applies it before it reads its assignments: what a former lead
	// proposed and is applied later is refused, so it can't change them any more.
	CommandLead
)

// Command is an entry of the keepers' log. Which fields are needed depends on
// the kind.
type Command struct {
	Kind CommandKind `cbor:"1,keyasint,omitempty"`
	// Request makes the command idempotent; empty for commands of the system that
	// are idempotent by themselves.
	Request  identifier.RequestID  `cbor:"2,keyasint,omitempty"`
	Operator OperatorID            `cbor:"3,keyasint,omitempty"`
	Wall     WallTime              `cbor:"4,keyasint,omitempty"`
	Name     identifier.IntentName `cbor:"5,keyasint,omitempty"`
	// Revision is the one that the sender last saw; the command is refused when
	// the intent has changed since.
	Revision uint64 `cbor:"6,keyasint,omitempty"`
	Spec     *Spec  `cbor:"7,keyasint,omitempty"`
	Plan     *Plan  `cbor:"8,keyasint,omitempty"`
	// PlanNumber is the plan that is confirmed.
	PlanNumber uint64    `cbor:"9,keyasint,omitempty"`
	Reason     string    `cbor:"10,keyasint,omitempty"`
	Progress   *Progress `cbor:"11,keyasint,omitempty"`
	Claim      *Claim    `cbor:"12,keyasint,omitempty"`
}

// Outcome is how a task ended.
type Outcome int

// The outcomes.
const (
	// OutcomeSucceeded means that the task ran to its end.
	OutcomeSucceeded Outcome = iota
	// OutcomeFailed means that the task ran and failed, or broke its limits.
	OutcomeFailed
	// OutcomeStopped means that the task was running when it was cancelled.
	OutcomeStopped
	// OutcomeNotRun means that the task never started.
	OutcomeNotRun
	// OutcomeUnknown means that the task may have run.
	OutcomeUnknown
)

// outcomes is the number of outcomes.
const outcomes = int(OutcomeUnknown) + 1

// Range is the outcome of the tasks of a batch from From up to, not including, To.
type Range struct {
	Batch   int     `cbor:"1,keyasint,omitempty"`
	From    int     `cbor:"2,keyasint,omitempty"`
	To      int     `cbor:"3,keyasint,omitempty"`
	Outcome Outcome `cbor:"4,keyasint,omitempty"`
}

// Progress reports what happened in a failure domain. The first outcome of a
// task stands; repeating a report changes nothing.
type Progress struct {
	FailureDomain identifier.FailureDomain `cbor:"1,keyasint,omitempty"`
	// Epoch is that of the host that leads the failure domain's workers. Reports
	// of a former lead are refused.
	Epoch identifier.Epoch `cbor:"2,keyasint,omitempty"`
	// Started tells whether any task has started.
	Started bool    `cbor:"3,keyasint,omitempty"`
	Ranges  []Range `cbor:"4,keyasint,omitempty"`
	Notes   []Note  `cbor:"5,keyasint,omitempty"`
	// Learned is what the driver knows of the kinds of batches whose tasks ended.
	Learned []Learned `cbor:"6,keyasint,omitempty"`
}

// Learned is what is known of a kind of the intent's batches.
type Learned struct {
	Kind       guarder.Kind       `cbor:"1,keyasint,omitempty"`
	Correction guarder.Correction `cbor:"2,keyasint,omitempty"`
}

// Note explains something that happened to tasks of an intent.
type Note struct {
	Reason string `cbor:"1,keyasint,omitempty"`
	// Count is how often the like happened since the last report.
	Count int `cbor:"2,keyasint,omitempty"`
	// Ago is the time between the first of these and the report.
	Ago time.Duration `cbor:"3,keyasint,omitempty"`
}

// Claim reserves the starts of tasks that are not repeatable. It is accepted if
// From is where the last claim of that failure domain ended; the last claim may be
// repeated. After a change of
// the lead no claimed task is started, so none is started twice.
type Claim struct {
	FailureDomain identifier.FailureDomain `cbor:"1,keyasint,omitempty"`
	Epoch         identifier.Epoch         `cbor:"2,keyasint,omitempty"`
	Batch         int                      `cbor:"3,keyasint,omitempty"`
	From          int                      `cbor:"4,keyasint,omitempty"`
	To            int                      `cbor:"5,keyasint,omitempty"`
}

// ResultKind says how a command was answered.
type ResultKind int

// The kinds of results.
const (
	// ResultAccepted means that the command took effect.
	ResultAccepted ResultKind = iota
	// ResultConflict means that somebody else was first; see Winner.
	ResultConflict
	// ResultNotFound means that there is no intent of that name.
	ResultNotFound
	// ResultWrongState means that the intent's state doesn't allow the command.
	ResultWrongState
	// ResultInvalid means that the command makes no sense.
	ResultInvalid
	// ResultFenced means that another lead has taken over the failure domain.
	ResultFenced
)

// Change is an accepted command that changed an intent: who, when and with what.
type Change struct {
	Revision uint64               `cbor:"1,keyasint,omitempty"`
	Kind     CommandKind          `cbor:"2,keyasint,omitempty"`
	Operator OperatorID           `cbor:"3,keyasint,omitempty"`
	Wall     WallTime             `cbor:"4,keyasint,omitempty"`
	Request  identifier.RequestID `cbor:"5,keyasint,omitempty"`
	Index    identifier.LogIndex  `cbor:"6,keyasint,omitempty"`
	// Spec is what was created, PlanNumber what was planned or confirmed.
	Spec       *Spec  `cbor:"7,keyasint,omitempty"`
	PlanNumber uint64 `cbor:"8,keyasint,omitempty"`
}

// Result answers a command.
type Result struct {
	Kind     ResultKind          `cbor:"1,keyasint,omitempty"`
	Index    identifier.LogIndex `cbor:"2,keyasint,omitempty"`
	State    State               `cbor:"3,keyasint,omitempty"`
	Revision uint64              `cbor:"4,keyasint,omitempty"`
	Reason   string              `cbor:"5,keyasint,omitempty"`
	// Winner is the change that came first, for ResultConflict.
	Winner *Change `cbor:"6,keyasint,omitempty"`
	// Plan is the plan that stands, for CommandPlan and a confirmation of another.
	Plan *Plan `cbor:"7,keyasint,omitempty"`
	// Epoch is the one that CommandLead gave.
	Epoch identifier.Epoch `cbor:"8,keyasint,omitempty"`
}
