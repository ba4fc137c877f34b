// Package describer defines the JSON form of intents: the requests of operators, the
// responses, and the steps of an intent from its creation to its outcome. Durations are Go
// duration strings, moments are RFC 3339 in UTC with milliseconds.
package describer

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/guarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/placer"
	"github.com/stoathitch/stoathitch/pkg/planner"
)

// Create is the JSON of a request that creates an intent.
type Create struct {
	// Request makes the request idempotent: a resend gets the first answer again.
	Request  identifier.RequestID  `json:"request"`
	Operator planner.OperatorID    `json:"operator"`
	Name     identifier.IntentName `json:"name"`
	Spec     Spec                  `json:"spec"`
}

// Order is the JSON of a request that confirms, rejects or cancels an intent.
type Order struct {
	Request  identifier.RequestID `json:"request"`
	Operator planner.OperatorID   `json:"operator"`
	// Revision is the revision of the intent that the operator has seen.
	Revision uint64 `json:"revision"`
	// Plan is the number of the plan that is confirmed.
	Plan   uint64 `json:"plan,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// Spec is the JSON of what an operator specifies for an intent.
type Spec struct {
	Team identifier.TeamID `json:"team"`
	// Urgency is normal when it is missing.
	Urgency *placer.Urgency            `json:"urgency,omitempty"`
	MayRun  []identifier.FailureDomain `json:"may-run,omitempty"`
	Batches []Batch                    `json:"batches"`
}

// Batch is the JSON of a group of identical tasks.
type Batch struct {
	Kind           guarder.Kind         `json:"kind"`
	Count          int                  `json:"count"`
	Need           identifier.Resources `json:"need"`
	RunTime        Duration             `json:"run-time"`
	Repeatable     bool                 `json:"repeatable"`
	Checkpointable bool                 `json:"checkpointable"`
}

// Result is the JSON of a command's result.
type Result struct {
	Result   planner.ResultKind    `json:"result"`
	Name     identifier.IntentName `json:"name"`
	State    planner.State         `json:"state"`
	Revision uint64                `json:"revision"`
	Reason   string                `json:"reason"`
	// Winner is the accepted command that came first, set only in a conflict.
	Winner *Change `json:"winner,omitempty"`
	Plan   *Plan   `json:"plan,omitempty"`
}

// Change is the JSON of an accepted command: its operator, its time and its content.
type Change struct {
	Revision uint64               `json:"revision"`
	Command  planner.CommandKind  `json:"command"`
	Operator planner.OperatorID   `json:"operator"`
	At       Moment               `json:"at"`
	Request  identifier.RequestID `json:"request,omitempty"`
	Plan     uint64               `json:"plan,omitempty"`
	Spec     *Spec                `json:"spec,omitempty"`
}

// Plan is the JSON of an intent's plan, or of the reasons why there is none.
type Plan struct {
	Number       uint64                      `json:"number"`
	Allotments   []planner.Allotment         `json:"allotments,omitempty"`
	StartsAt     Moment                      `json:"starts-at,omitzero"`
	EndsAt       Moment                      `json:"ends-at,omitzero"`
	Confidence   int                         `json:"confidence-percent,omitempty"`
	ConfirmUntil Moment                      `json:"confirm-until,omitzero"`
	Displaces    []planner.Preemption        `json:"displaces,omitempty"`
	Charged      placer.Quota                `json:"charged,omitzero"`
	Quota        placer.Quota                `json:"quota,omitzero"`
	Corrections  []planner.AppliedCorrection `json:"corrections,omitempty"`
	Queued       string                      `json:"queued,omitempty"`
	Limited      string                      `json:"limited,omitempty"`
	Refusals     []string                    `json:"refusals,omitempty"`
	Nearest      *Spec                       `json:"nearest,omitempty"`
}

// Intent is the JSON of the complete state of an intent.
type Intent struct {
	Name     identifier.IntentName `json:"name"`
	State    planner.State         `json:"state"`
	Revision uint64                `json:"revision"`
	Tasks    int                   `json:"tasks"`
	// Outcomes counts the tasks that have an outcome.
	Outcomes Outcomes `json:"outcomes"`
	Spec     Spec     `json:"spec"`
	Plan     *Plan    `json:"plan,omitempty"`
	// Steps lists how the intent reached its state; only with an explanation.
	Steps []Step `json:"steps,omitempty"`
	// DroppedSteps counts the steps that were dropped because there were too many to keep.
	DroppedSteps int `json:"dropped-steps,omitempty"`
}

// Outcomes counts tasks by outcome.
type Outcomes struct {
	Succeeded int `json:"succeeded"`
	Failed    int `json:"failed"`
	Stopped   int `json:"stopped"`
	NotRun    int `json:"not-run"`
	Unknown   int `json:"unknown"`
}

// Step is the JSON of one step of an intent's explanation.
type Step struct {
	At      Moment              `json:"at"`
	Command planner.CommandKind `json:"command"`
	Reason  string              `json:"reason"`
}

// Duration is a duration whose JSON is a Go duration string.
type Duration time.Duration

// MarshalText returns the Go duration string.
func (duration Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(duration).String()), nil
}

// UnmarshalText parses a Go duration string.
func (duration *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*duration = Duration(parsed)
	return err
}

// momentFormat is RFC 3339 in UTC with milliseconds.
const momentFormat = "2006-01-02T15:04:05.000Z"

// Moment is a wall-clock reading in milliseconds since 1970.
type Moment planner.WallTime

// String returns the moment in RFC 3339, as in JSON.
func (moment Moment) String() string { return time.UnixMilli(int64(moment)).UTC().Format(momentFormat) }

// MarshalText returns the moment in RFC 3339.
func (moment Moment) MarshalText() ([]byte, error) { return []byte(moment.String()), nil }

// UnmarshalText parses a moment in RFC 3339 in UTC with milliseconds.
func (moment *Moment) UnmarshalText(text []byte) error {
	parsed, err := time.Parse(momentFormat, string(text))
	*moment = Moment(parsed.UnixMilli())
	return err
}
