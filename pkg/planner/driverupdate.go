package planner

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// DriverUpdate holds the state of the log that a failure domain's driver needs.
type DriverUpdate struct {
	FailureDomain identifier.FailureDomain `cbor:"1,keyasint,omitempty"`
	// Epoch is the highest one of the failure domain. A driver with a lower one is replaced.
	Epoch identifier.Epoch `cbor:"2,keyasint,omitempty"`
	// Version is the index of the last change. An update with a lower one is older.
	Version identifier.LogIndex `cbor:"3,keyasint,omitempty"`
	// Since is the version after which changes are included. A driver that has not seen it has
	// lost an earlier update and must not apply this one: it would miss the changes in between.
	Since identifier.LogIndex `cbor:"7,keyasint,omitempty"`
	// Active names all intents that the failure domain has a part in. Any other intent of the
	// driver has ended.
	Active []identifier.IntentName `cbor:"4,keyasint,omitempty"`
	// Changed holds the active intents that changed after Since.
	Changed []IntentAssigned `cbor:"5,keyasint,omitempty"`
	// Capacities are the ones by which quotas are divided, in order.
	Capacities []DomainCapacity `cbor:"6,keyasint,omitempty"`
}

// LastChange returns the index of the last change of any intent's revision.
func (machine *Machine) LastChange() identifier.LogIndex { return machine.lastChange }

// DriverUpdate returns the update for a failure domain's driver that has seen the version since.
func (machine *Machine) DriverUpdate(domain identifier.FailureDomain, since identifier.LogIndex) DriverUpdate {
	machine.prepare()
	update := DriverUpdate{FailureDomain: domain, Epoch: machine.Epoch(domain), Since: since, Version: machine.lastChange}
	machine.records.Each(func(name identifier.IntentName, record *Record) bool {
		if !record.activeIn(domain) {
			return true
		}
		update.Active = append(update.Active, name)
		if record.changedAt() > since {
			assigned, _ := machine.Assignment(name, domain)
			update.Changed = append(update.Changed, assigned)
		}
		return true
	})
	return update
}

// activeIn reports whether a failure domain's driver has a part in the intent.
func (record *Record) activeIn(domain identifier.FailureDomain) bool {
	if record.State < StateConfirmed || record.State.Ended() {
		return false
	}
	return slices.ContainsFunc(record.Plan.Allotments, func(allotment Allotment) bool {
		return allotment.FailureDomain == domain
	})
}

// changedAt returns the index of the last change of the revision.
func (record *Record) changedAt() identifier.LogIndex {
	if len(record.Changes) == 0 {
		return 0
	}
	return record.Changes[len(record.Changes)-1].Index
}

// Summary returns a copy for lists, without steps, changes, claims and racks.
func (record *Record) Summary() Record {
	summary := *record
	summary.Steps = nil
	summary.Changes = nil
	summary.Claims = nil
	summary.dropRacks()
	return summary
}

// Merge merges two reports into one; other is the later one.
func (progress Progress) Merge(other Progress) Progress {
	joined := other
	joined.Started = progress.Started || other.Started
	joined.Ranges = slices.Concat(progress.Ranges, other.Ranges)
	joined.Notes = slices.Concat(progress.Notes, other.Notes)
	joined.Notes = joined.Notes[:min(len(joined.Notes), 2*maxPendingNotes)]
	joined.Learned = slices.DeleteFunc(slices.Clone(progress.Learned), func(learned Learned) bool {
		return slices.ContainsFunc(other.Learned, func(later Learned) bool { return later.Kind == learned.Kind })
	})
	joined.Learned = append(joined.Learned, other.Learned...)
	return joined
}

// DomainCapacity is the total capacity of a failure domain's workers.
type DomainCapacity struct {
	FailureDomain identifier.FailureDomain `cbor:"1,keyasint,omitempty"`
	Capacity      identifier.Resources     `cbor:"2,keyasint,omitempty"`
}

// Capacity returns the total capacity of the failure domain's workers.
func (status *DomainStatus) Capacity() DomainCapacity {
	return DomainCapacity{FailureDomain: status.FailureDomain, Capacity: status.capacity()}
}
