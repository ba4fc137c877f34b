package configurer

import (
	"cmp"
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Evacuation orders that nothing more is started on the backend servers of a failure
// domain, or takes such an order back.
type Evacuation struct {
	// Request makes the order idempotent.
	Request identifier.RequestID `cbor:"1,keyasint"`
	// Expected is the version that the order is based on. An order on a failure domain
	// for which another one was accepted since has no effect: it is older than that one.
	Expected      identifier.ConfigVersion `cbor:"2,keyasint"`
	FailureDomain identifier.FailureDomain `cbor:"3,keyasint"`
	// Withdrawn takes the evacuation back.
	Withdrawn bool `cbor:"4,keyasint,omitempty"`
	// Operator is who asks.
	Operator string `cbor:"5,keyasint"`
	// At is the wall clock of the proposer in RFC 3339, for display only.
	At string `cbor:"6,keyasint,omitempty"`
}

// EvacuationState is what the last order on a failure domain has left.
type EvacuationState struct {
	FailureDomain identifier.FailureDomain `cbor:"1,keyasint" json:"failure-domain"`
	Evacuated     bool                     `cbor:"2,keyasint,omitempty" json:"evacuated"`
	// ChangedIn is the version that the order made.
	ChangedIn identifier.ConfigVersion `cbor:"3,keyasint" json:"changed-in"`
	Operator  string                   `cbor:"4,keyasint,omitempty" json:"operator,omitempty"`
	At        string                   `cbor:"5,keyasint,omitempty" json:"at,omitempty"`
}

// Evacuated lists the failure domains that are evacuated in a version, in the order of
// their names.
func (version *Version) Evacuated() []identifier.FailureDomain {
	var evacuated []identifier.FailureDomain
	for _, state := range version.Evacuations {
		if state.Evacuated {
			evacuated = append(evacuated, state.FailureDomain)
		}
	}
	return evacuated
}

// evacuation is what the last order on a failure domain has left; nothing was ordered on
// one that no order has named.
func (version *Version) evacuation(domain identifier.FailureDomain) EvacuationState {
	for _, state := range version.Evacuations {
		if state.FailureDomain == domain {
			return state
		}
	}
	return EvacuationState{FailureDomain: domain}
}

// withEvacuation returns the states of a version with that of one failure domain replaced.
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

// ApplyEvacuation carries out an order and returns its result. It makes a new version with
// the document of the one before, so that hosts learn of it as they do of a configuration.
func (register *Register) ApplyEvacuation(order *Evacuation) Result {
	return register.once(order.Request, func() Result { return register.decideEvacuation(order) })
}

func (register *Register) decideEvacuation(order *Evacuation) Result {
	newest := register.Newest()
	before := newest.evacuation(order.FailureDomain)
	switch {
	case before.Evacuated == !order.Withdrawn:
		return register.rejected(order.Request, VerdictSuperseded)
	case before.ChangedIn > order.Expected:
		return register.rejected(order.Request, VerdictConflict)
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
