package generator

import (
	"fmt"

	"github.com/rotisserie/eris"
)

//go:generate enumer -type=ErrorKind -trimprefix=Error -transform=kebab -text

// ErrorKind is the reason why a trace could not be generated.
type ErrorKind int

// The kinds of errors: so far, only invalid parameters.
const (
	ErrorBadParameter ErrorKind = iota
)

// Error is the error type of all functions of this package.
type Error struct {
	Operation string
	Kind      ErrorKind
	Err       error
}

// Error returns the operation, the kind and the cause.
func (generatorError *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", generatorError.Operation, generatorError.Kind, generatorError.Err)
}

// Unwrap returns the underlying error.
func (generatorError *Error) Unwrap() error { return generatorError.Err }

// check rejects parameters with which the generation would not terminate, or would
// return another trace than requested.
func (parameters *Parameters) check() error {
	for _, rule := range parameters.rules() {
		if !rule.holds {
			return &Error{Operation: "generate trace", Kind: ErrorBadParameter, Err: eris.New(rule.text)}
		}
	}
	return nil
}

type rule struct {
	holds bool
	text  string
}

func (parameters *Parameters) rules() []rule {
	runTimes := &parameters.RunTimes
	return []rule{
		{len(parameters.Deployment.FailureDomains) > 0, "there must be a failure domain"},
		{parameters.Deployment.TotalSlots() > 0, "there must be a slot"},
		{parameters.Deployment.EntryHostsPerFailureDomain > 0, "there must be an entry host"},
		{parameters.Length > 0, "the length must be above zero"},
		{parameters.Load > 0, "the load must be above zero"},
		{parameters.widthsAreValid(), "each width must have tasks and a weight"},
		{runTimes.ShortFrom > 0 && runTimes.ShortTo >= runTimes.ShortFrom, "short run times must be above zero, the shorter first"},
		{runTimes.SlowShare == 0 || runTimes.SlowTo >= runTimes.SlowFrom, "slow run times must have the shorter first"},
		{parameters.MisdeclaredShare == 0 || parameters.MisdeclaredFactor > 0, "the factor of misdeclared run times must be above zero"},
		{len(parameters.Teams) > 0 && len(parameters.Classes) > 0, "there must be a team and a class"},
		{parameters.Callers > 0, "there must be a caller"},
		{parameters.HotShare == 0 || parameters.HotEntryHost != "", "a hot share needs a hot entry host"},
		{burstsAreOrdered(parameters.Bursts, parameters.Length), "bursts must follow each other within the length"},
	}
}

func (parameters *Parameters) widthsAreValid() bool {
	for _, width := range parameters.Widths {
		if width.Tasks < 1 || width.Weight <= 0 {
			return false
		}
	}
	return len(parameters.Widths) > 0
}
