package configurer

import (
	"cmp"
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Evacuation orders that no further tasks are started on the backend servers of a failure
// domain, or withdraws such an order.
type Evacuation struct {
	// Request identifies the order, so that a resend has no second effect.
	Request identifier.RequestID `cbor:"1,keyasint"`
	// Expected is the version that the order is based on. The order is rejected if a later
	// order for the same failure domain has been accepted since.
	Expected      identifier.ConfigVersion `cbor:"2,keyasint"`
	FailureDomain identifier.FailureDomain `cbor:"3,keyasint"`
	// Withdrawn ends the evacuation.
	Withdrawn bool `cbor:"4,keyasint,omitempty"`
	// Operator is the name of the operator who issued the order.
	Operator string `cbor:"5,keyasint"`
	// At is the proposer's wall-clock time in RFC 3339, for display only.
	At string `cbor:"6,keyasint,omitempty"`
}

// EvacuationState is the state of a failure domain after the last order for it.
type EvacuationState struct {
	FailureDomain identifier.FailureDomain `cbor:"1,keyasint" json:"failure-domain"`
	Evacuated     bool                     `cbor:"2,keyasint,omitempty" json:"evacuated"`
	// ChangedIn is the version that the order created.
	ChangedIn identifier.ConfigVersion `cbor:"3,keyasint" json:"changed-in"`
	Operator  string                   `cbor:"4,keyasint,omitempty" json:"operator,omitempty"`
	At        string                   `cbor:"5,keyasint,omitempty" json:"at,omitempty"`
}

// Evacuated returns the failure domains that are evacuated in a version, sorted by name.
func (version *Version) Evacuated() []identifier.FailureDomain {
	var evacuated []identifier.FailureDomain
	for _, state := range version.Evacuations {
		if state.Evacuated {
			evacuated = append(evacuated, state.FailureDomain)
		}
	}
	return evacuated
}

// evacuation returns the state of a failure domain. One that no order has named is not
// evacuated and has ChangedIn 0.
func (version *Version) evacuation(domain identifier.FailureDomain) EvacuationState {
	for _, state := range version.Evacuations {
		if state.FailureDomain == domain {
			return state
		}
	}
	return EvacuationState{FailureDomain: domain}
}

// withEvacuation returns a copy of the states with that of one failure domain replaced.
func (version *Version) withEvacuation(changed EvacuationState) []EvacuationState {
	states := slices.Clone(version.Evacuations)
	position, known := slices.BinarySearchFunc(states, changed.FailureDomain, func(state EvacuationState, domain identifier.FailureDomain) int {
		return cmp.Compare(state.FailureDomain, domain)
	})
	if known {
		states[position] = changed
		return states
	}
	return slices.Insert(states, position, changed)
}

// ApplyEvacuation executes an order and returns its result. An accepted order creates a new
// version with the previous document, so that it reaches hosts as a configuration does.
func (register *Register) ApplyEvacuation(order *Evacuation) Result {
	return register.decideOnce(order.Request, func() Result { return register.decideEvacuation(order) })
}

func (register *Register) decideEvacuation(order *Evacuation) Result {
	newest := register.Newest()
	before := newest.evacuation(order.FailureDomain)
	switch {
	case before.Evacuated == !order.Withdrawn:
		return register.rejectedResult(order.Request, VerdictSuperseded)
	case before.ChangedIn > order.Expected:
		return register.rejectedResult(order.Request, VerdictConflict)
	}
	accepted := newest
	accepted.Version++
	accepted.Operator, accepted.Request, accepted.At = order.Operator, order.Request, order.At
	accepted.Evacuations = newest.withEvacuation(EvacuationState{
		FailureDomain: order.FailureDomain, Evacuated: !order.Withdrawn,
		ChangedIn: accepted.Version, Operator: order.Operator, At: order.At,
	})
	return register.accept(accepted)
}
