package loader

// Dispatch says how tasks are spread over backend servers.
type Dispatch struct {
	// Policy names the policy that picks a backend server for each task: `cell-lead`,
	// or one of the baselines `random` and `two-choices`.
	Policy PolicyName `json:"policy"`

	// Cells is the number of cells that the slots of each failure domain form. All
	// hosts of a deployment must have the same number; hosts whose numbers differ serve
	// nothing until they agree.
	Cells int `json:"cells"`

	// RetryBudgetRatio is the share of starts that may be repeated elsewhere after a
	// refusal, from 0 (none) to 1 (as many as first starts).
	RetryBudgetRatio float64 `json:"retry-budget-ratio"`

	// SpillMargin is how much sooner another failure domain must be able to start a
	// task before the task goes there. It keeps a short queue from causing traffic
	// between failure domains.
	SpillMargin Duration `json:"spill-margin"`

	// EjectionFractionMax is the largest share of a failure domain's backend
	// servers that may be ejected at once, from 0 to 0.9, so that many failures
	// at once never empty the failure domain.
	EjectionFractionMax float64 `json:"ejection-fraction-max"`

	// EjectionFailures is the number of failed tasks in a row that eject a backend
	// server.
	EjectionFailures int `json:"ejection-failures"`

	// EjectionTime is how long a backend server first stays ejected before a trickle
	// of tasks lets it prove itself.
	EjectionTime Duration `json:"ejection-time"`
}

// PolicyName names a dispatch policy.
type PolicyName string

const (
	// PolicyCellLead lets the lead of each cell, which knows every slot of it, pick.
	PolicyCellLead PolicyName = "cell-lead"
	// PolicyRandom picks any backend server: a baseline to measure against.
	PolicyRandom PolicyName = "random"
	// PolicyTwoChoices picks the less loaded of two: a baseline to measure against.
	PolicyTwoChoices PolicyName = "two-choices"
)

// Policies returns the names that `policy` may have.
func Policies() []PolicyName {
	return []PolicyName{PolicyCellLead, PolicyRandom, PolicyTwoChoices}
}
