package planner

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/guarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

//go:generate enumer -type=CommandKind -transform=kebab -trimprefix=Command -text
//go:generate enumer -type=ResultKind -transform=kebab -trimprefix=Result -text
//go:generate enumer -type=Outcome -transform=kebab -trimprefix=Outcome -text

// CommandKind selects what a command does.
type CommandKind int

// The kinds of commands.
const (
	// CommandCreate creates an intent under an unused name.
	CommandCreate CommandKind = iota
	// CommandPlan adds a plan to an intent, or replaces an unconfirmed one.
	CommandPlan
	// CommandConfirm allows the intent to start according to its plan.
	CommandConfirm
	// CommandReject ends an unconfirmed intent.
	CommandReject
	// CommandExpire withdraws an unconfirmed plan; the intent needs a new one.
	CommandExpire
	// CommandCancel ends the intent and stops its running tasks.
	CommandCancel
	// CommandProgress reports outcomes from a failure domain.
	CommandProgress
	// CommandClaim reserves the right to start tasks, so that no later lead starts them again.
	CommandClaim
	// CommandEnd ends an intent whose failure domain is given up. Claimed tasks without an
	// outcome get OutcomeUnknown.
	CommandEnd
	// CommandLead sets the epoch that leads a failure domain's workers, given in Claim. If
	// the epoch is 0, the log assigns the next one. A new lead applies it before it reads its
	// assignments: commands that a former lead proposed and that are applied later are then
	// refused and can't change the assignments any more.
	CommandLead
)

// Command is an entry of the keepers' log. The Kind determines which fields are required.
type Command struct {
	Kind CommandKind `cbor:"1,keyasint,omitempty"`
	// Request makes the command idempotent. It is empty for commands of the system that are
	// idempotent by themselves.
	Request  identifier.RequestID  `cbor:"2,keyasint,omitempty"`
	Operator OperatorID            `cbor:"3,keyasint,omitempty"`
	Wall     WallTime              `cbor:"4,keyasint,omitempty"`
	Name     identifier.IntentName `cbor:"5,keyasint,omitempty"`
	// Revision is the last one that the sender saw. The command is refused if the intent
	// has changed since.
	Revision uint64 `cbor:"6,keyasint,omitempty"`
	Spec     *Spec  `cbor:"7,keyasint,omitempty"`
	Plan     *Plan  `cbor:"8,keyasint,omitempty"`
	// PlanNumber is the number of the plan to confirm.
	PlanNumber uint64    `cbor:"9,keyasint,omitempty"`
	Reason     string    `cbor:"10,keyasint,omitempty"`
	Progress   *Progress `cbor:"11,keyasint,omitempty"`
	Claim      *Claim    `cbor:"12,keyasint,omitempty"`
}

// Outcome is the final result of a task.
type Outcome int

// The outcomes.
const (
	// OutcomeSucceeded means that the task ran to its end.
	OutcomeSucceeded Outcome = iota
	// OutcomeFailed means that the task ran and failed, or exceeded its limits.
	OutcomeFailed
	// OutcomeStopped means that the task was stopped before its end, such as by a cancellation.
	OutcomeStopped
	// OutcomeNotRun means that the task never started.
	OutcomeNotRun
	// OutcomeUnknown means that the task may have run.
	OutcomeUnknown
)

// outcomeCount is the number of outcomes.
const outcomeCount = int(OutcomeUnknown) + 1

// Range is the outcome of the tasks of a batch from From up to, not including, To.
type Range struct {
	Batch   int     `cbor:"1,keyasint,omitempty"`
	From    int     `cbor:"2,keyasint,omitempty"`
	To      int     `cbor:"3,keyasint,omitempty"`
	Outcome Outcome `cbor:"4,keyasint,omitempty"`
}

// Progress reports outcomes and notes from a failure domain. The first outcome of a task
// stands; repeating a report adds no outcome.
type Progress struct {
	FailureDomain identifier.FailureDomain `cbor:"1,keyasint,omitempty"`
	// Epoch is that of the host that leads the failure domain's workers. Reports of a former
	// lead are refused.
	Epoch identifier.Epoch `cbor:"2,keyasint,omitempty"`
	// Started reports whether any task has started.
	Started bool    `cbor:"3,keyasint,omitempty"`
	Ranges  []Range `cbor:"4,keyasint,omitempty"`
	Notes   []Note  `cbor:"5,keyasint,omitempty"`
	// Learned holds the driver's corrections for the kinds of batches whose tasks ended.
	Learned []Learned `cbor:"6,keyasint,omitempty"`
}

// Learned is the learned correction for one kind of the intent's batches.
type Learned struct {
	Kind       guarder.Kind       `cbor:"1,keyasint,omitempty"`
	Correction guarder.Correction `cbor:"2,keyasint,omitempty"`
}

// Note explains an event that affected tasks of an intent.
type Note struct {
	Reason string `cbor:"1,keyasint,omitempty"`
	// Count is the number of such events since the last report.
	Count int `cbor:"2,keyasint,omitempty"`
	// Ago is the time from the first of these events to the report.
	Ago time.Duration `cbor:"3,keyasint,omitempty"`
}

// Claim reserves the starts of tasks that are not repeatable. It is accepted if From is
// where the last claim of that failure domain ended; the last claim may be repeated.
// After a change of the lead no claimed task is started, so none is started twice.
type Claim struct {
	FailureDomain identifier.FailureDomain `cbor:"1,keyasint,omitempty"`
	Epoch         identifier.Epoch         `cbor:"2,keyasint,omitempty"`
	Batch         int                      `cbor:"3,keyasint,omitempty"`
	From          int                      `cbor:"4,keyasint,omitempty"`
	To            int                      `cbor:"5,keyasint,omitempty"`
}

// ResultKind classifies the result of a command.
type ResultKind int

// The kinds of results.
const (
	// ResultAccepted means that the command took effect.
	ResultAccepted ResultKind = iota
	// ResultConflict means that another command changed the intent first; see Winner.
	ResultConflict
	// ResultNotFound means that there is no intent of that name.
	ResultNotFound
	// ResultWrongState means that the intent's state doesn't allow the command.
	ResultWrongState
	// ResultInvalid means that the command is malformed or incomplete.
	ResultInvalid
	// ResultFenced means that another lead has taken over the failure domain.
	ResultFenced
)

// Change is an accepted command that changed an intent: its sender, time and content.
type Change struct {
	Revision uint64               `cbor:"1,keyasint,omitempty"`
	Kind     CommandKind          `cbor:"2,keyasint,omitempty"`
	Operator OperatorID           `cbor:"3,keyasint,omitempty"`
	Wall     WallTime             `cbor:"4,keyasint,omitempty"`
	Request  identifier.RequestID `cbor:"5,keyasint,omitempty"`
	Index    identifier.LogIndex  `cbor:"6,keyasint,omitempty"`
	// Spec is set for a creation, PlanNumber for a plan or a confirmation.
	Spec       *Spec  `cbor:"7,keyasint,omitempty"`
	PlanNumber uint64 `cbor:"8,keyasint,omitempty"`
}

// Result is the response to a command.
type Result struct {
	Kind     ResultKind          `cbor:"1,keyasint,omitempty"`
	Index    identifier.LogIndex `cbor:"2,keyasint,omitempty"`
	State    State               `cbor:"3,keyasint,omitempty"`
	Revision uint64              `cbor:"4,keyasint,omitempty"`
	Reason   string              `cbor:"5,keyasint,omitempty"`
	// Winner is the change that was applied first, for ResultConflict.
	Winner *Change `cbor:"6,keyasint,omitempty"`
	// Plan is the current plan, for CommandPlan and for the confirmation of an outdated plan.
	Plan *Plan `cbor:"7,keyasint,omitempty"`
	// Epoch is the one that CommandLead set.
	Epoch identifier.Epoch `cbor:"8,keyasint,omitempty"`
}
