package planner

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// News is what the log has decided for a failure domain's driver.
type News struct {
	FailureDomain identifier.FailureDomain `cbor:"1,keyasint,omitempty"`
	// Epoch is the highest one of the failure domain: a driver below it is replaced.
	Epoch identifier.Epoch `cbor:"2,keyasint,omitempty"`
	// Version is the index of the last change; news of a lower one are older.
	Version identifier.LogIndex `cbor:"3,keyasint,omitempty"`
	// Since is the version after which the changes are given. A driver that has not seen
	// it has lost earlier news and must not take these: it would never learn of what
	// changed in between.
	Since identifier.LogIndex `cbor:"7,keyasint,omitempty"`
	// Active names all intents that the failure domain has a part in; what a driver
	// has besides them has ended.
	Active []identifier.IntentName `cbor:"4,keyasint,omitempty"`
	// Changed holds those that changed after the version which the driver has.
	Changed []IntentAssigned `cbor:"5,keyasint,omitempty"`
	// Capacities are those by which quotas are divided, in order.
	Capacities []DomainCapacity `cbor:"6,keyasint,omitempty"`
}

// Changed returns the index of the last change of any intent's revision.
func (machine *Machine) Changed() identifier.LogIndex { return machine.changed }

// News returns what a failure domain's driver that has seen a version needs.
func (machine *Machine) News(domain identifier.FailureDomain, since identifier.LogIndex) News {
	machine.prepare()
	news := News{FailureDomain: domain, Epoch: machine.Epoch(domain), Since: since, Version: machine.changed}
	machine.records.Each(func(name identifier.IntentName, record *Record) bool {
		if !record.activeIn(domain) {
			return true
		}
		news.Active = append(news.Active, name)
		if record.changedAt() > since {
			assigned, _ := machine.Assignment(name, domain)
			news.Changed = append(news.Changed, assigned)
		}
		return true
	})
	return news
}

// activeIn tells whether a failure domain's driver has a part in the intent.
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

// Summary returns the record without its explanation, for lists.
func (record *Record) Summary() Record {
	summary := *record
	summary.Steps = nil
	summary.Changes = nil
	summary.Claims = nil
	summary.forgetRacks()
	return summary
}

// Join returns one report that says what both say, other being the later one.
func (progress Progress) Join(other Progress) Progress {
	joined := other
	joined.Started = progress.Started || other.Started
	joined.Ranges = slices.Concat(progress.Ranges, other.Ranges)
	joined.Notes = slices.Concat(progress.Notes, other.Notes)
	joined.Notes = joined.Notes[:min(len(joined.Notes), 2*pendingNotes)]
	joined.Learned = slices.DeleteFunc(slices.Clone(progress.Learned), func(learned Learned) bool {
		return slices.ContainsFunc(other.Learned, func(later Learned) bool { return later.Kind == learned.Kind })
	})
	joined.Learned = append(joined.Learned, other.Learned...)
	return joined
}

// DomainCapacity is what the workers of a failure domain offer.
type DomainCapacity struct {
	FailureDomain identifier.FailureDomain `cbor:"1,keyasint,omitempty"`
	Capacity      identifier.Resources     `cbor:"2,keyasint,omitempty"`
}

// Capacity returns what all workers of the picture offer.
func (picture *Picture) Capacity() DomainCapacity {
	return DomainCapacity{FailureDomain: picture.FailureDomain, Capacity: picture.capacity()}
}
