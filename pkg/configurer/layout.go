package configurer

import (
	"cmp"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// MaxCells is the most cells that a failure domain may be divided into.
const MaxCells = 64

// Layout is how a failure domain is divided into cells.
type Layout struct {
	FailureDomain identifier.FailureDomain `cbor:"1,keyasint" json:"failure-domain"`
	Cells         int                      `cbor:"2,keyasint" json:"cells"`
}

// Valid reports whether a layout names a failure domain and a possible number of cells.
func (layout Layout) Valid() bool {
	return layout.FailureDomain != "" && layout.Cells >= 1 && layout.Cells <= MaxCells
}

// SetLayout sets the layout of a failure domain. The first command for a failure domain wins. Its
// layout never changes afterwards: two layouts would assign a backend server to two cells.
type SetLayout struct {
	// Request identifies the command, so that a resend has no second effect.
	Request identifier.RequestID `cbor:"1,keyasint"`
	Layout  Layout               `cbor:"2,keyasint"`
	// At is the proposer's wall-clock time in RFC 3339, for display only.
	At string `cbor:"3,keyasint,omitempty"`
}

// layoutOperator is the operator of the versions that a SetLayout creates.
const layoutOperator = "keepers"

// Layout returns the agreed layout of a failure domain, and false if it has none.
func (version *Version) Layout(domain identifier.FailureDomain) (Layout, bool) {
	position, known := version.layoutPosition(domain)
	if !known {
		return Layout{}, false
	}
	return version.Layouts[position], true
}

func (version *Version) layoutPosition(domain identifier.FailureDomain) (int, bool) {
	return slices.BinarySearchFunc(version.Layouts, domain, func(layout Layout, domain identifier.FailureDomain) int {
		return cmp.Compare(layout.FailureDomain, domain)
	})
}

// ApplyLayout executes a command and returns its result. An accepted one creates a new version with
// the previous document, so that it reaches hosts as a configuration does.
func (register *Register) ApplyLayout(command *SetLayout) Result {
	return register.decideOnce(command.Request, func() Result { return register.decideLayout(command) })
}

func (register *Register) decideLayout(command *SetLayout) Result {
	newest := register.Newest()
	if !command.Layout.Valid() {
		return register.rejectedResult(command.Request, VerdictInvalid)
	}
	position, known := newest.layoutPosition(command.Layout.FailureDomain)
	if known {
		inForce := newest.Layouts[position]
		verdict := VerdictConflict
		if inForce == command.Layout {
			verdict = VerdictSuperseded
		}
		result := register.rejectedResult(command.Request, verdict)
		result.Layout = &inForce
		return result
	}
	accepted := newest
	accepted.Version++
	accepted.Operator, accepted.Request, accepted.At = layoutOperator, command.Request, command.At
	accepted.Layouts = slices.Insert(slices.Clone(newest.Layouts), position, command.Layout)
	result := register.accept(accepted)
	result.Layout = &command.Layout
	return result
}

// LayoutError returns why a SetLayout with this result was refused, or nil if it was not.
func (result *Result) LayoutError() error {
	switch {
	case result.Verdict == VerdictInvalid:
		return &Error{Operation: "set layout", Kind: ErrorLayout, Err: eris.Errorf("want a failure domain and 1 to %d cells", MaxCells)}
	case result.Verdict == VerdictConflict && result.Layout != nil:
		return &Error{Operation: "set layout", Kind: ErrorLayout, Err: eris.Errorf(
			"the layout of %s is fixed at %d cells", result.Layout.FailureDomain, result.Layout.Cells)}
	default:
		return nil
	}
}
