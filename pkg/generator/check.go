package generator

import (
	"fmt"

	"github.com/rotisserie/eris"
)

//go:generate enumer -type=ErrorKind -trimprefix=Error -transform=kebab -text

// ErrorKind says what is wrong with the parameters.
type ErrorKind int

// The kinds of errors.
const (
	ErrorBadParameter ErrorKind = iota
)

// Error is the one error type of this package.
type Error struct {
	Operation string
	Kind      ErrorKind
	Err       error
}

// Error returns the operation, the kind and the cause.
func (generatorError *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", generatorError.Operation, generatorError.Kind, generatorError.Err)
}

// Unwrap returns the cause.
func (generatorError *Error) Unwrap() error { return generatorError.Err }

// check refuses parameters under which the generation would not end or would
// make something else than was asked for.
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
		{parameters.Deployment.AllSlots() > 0, "there must be a slot"},
		{parameters.Deployment.EntryHostsPerFailureDomain > 0, "there must be an entry host"},
		{parameters.Length > 0, "the length must be above zero"},
		{parameters.Load > 0, "the load must be above zero"},
		{parameters.widthsAreSound(), "each width must have tasks and a weight"},
		{runTimes.ShortFrom > 0 && runTimes.ShortTo >= runTimes.ShortFrom, "short run times must be above zero, the shorter first"},
		{runTimes.SlowShare == 0 || runTimes.SlowTo >= runTimes.SlowFrom, "slow run times must have the shorter first"},
		{parameters.FarOffShare == 0 || parameters.FarOffFactor > 0, "the far-off factor must be above zero"},
		{len(parameters.Teams) > 0 && len(parameters.Classes) > 0, "there must be a team and a class"},
		{parameters.Callers > 0, "there must be a caller"},
		{parameters.HotShare == 0 || parameters.HotEntryHost != "", "a hot share needs a hot entry host"},
		{ordered(parameters.Bursts, parameters.Length), "bursts must follow each other within the length"},
	}
}

func (parameters *Parameters) widthsAreSound() bool {
	for _, width := range parameters.Widths {
		if width.Tasks < 1 || width.Weight <= 0 {
			return false
		}
	}
	return len(parameters.Widths) > 0
}
