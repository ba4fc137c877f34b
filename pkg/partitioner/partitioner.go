// Package partitioner decides into how many cells a failure domain is divided. It is pure: it reads
// no clock and does no I/O.
package partitioner

import (
	"maps"
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

const (
	// singleCellMinCPU is the processor share from which one host can lead a whole failure domain.
	// A smaller host leads one of two cells, as bursts take twice the usual share of a lead.
	singleCellMinCPU identifier.MilliCPU = 300
	// SettleTime is how long the entry hosts of a failure domain must be the same before its layout
	// is decided, so that hosts that start together are all counted.
	SettleTime = 2 * time.Second
	// MaxWait bounds the wait in a failure domain whose hosts change all the time.
	MaxWait = 6 * time.Second
)

// CellsFor returns the number of cells of a failure domain with the given entry hosts, and false if
// none of them states its processor capacity.
func CellsFor(hosts map[identifier.HostID]identifier.HostCapacity) (int, bool) {
	cells, stated := 1, false
	for _, capacity := range hosts {
		switch {
		case capacity.MilliCPU <= 0:
		case capacity.MilliCPU < singleCellMinCPU:
			cells, stated = 2, true
		default:
			stated = true
		}
	}
	return cells, stated
}

// Partitioner waits until the entry hosts of a failure domain are known. The zero value is ready for
// use.
type Partitioner struct {
	domains map[identifier.FailureDomain]*domain
}

// domain holds the entry hosts of a failure domain that state their capacity.
type domain struct {
	hosts map[identifier.HostID]identifier.HostCapacity
	// settledAt is when the hosts count as known, and latestAt when they do at the latest.
	settledAt, latestAt identifier.Moment
}

// Observe records the entry hosts that are known now in each failure domain.
func (partitioner *Partitioner) Observe(now identifier.Moment, hosts map[identifier.FailureDomain]map[identifier.HostID]identifier.HostCapacity) {
	if partitioner.domains == nil {
		partitioner.domains = make(map[identifier.FailureDomain]*domain)
	}
	for name, known := range hosts {
		if _, stated := CellsFor(known); !stated {
			continue
		}
		found := partitioner.domains[name]
		if found == nil {
			found = &domain{latestAt: now.Add(MaxWait)}
			partitioner.domains[name] = found
		}
		if found.hosts == nil || !maps.Equal(found.hosts, known) {
			found.hosts = maps.Clone(known)
			found.settledAt = now.Add(SettleTime)
		}
	}
	maps.DeleteFunc(partitioner.domains, func(name identifier.FailureDomain, _ *domain) bool {
		_, stated := CellsFor(hosts[name])
		return !stated
	})
}

// Decided returns the layouts of the failure domains whose hosts are known, sorted by name.
func (partitioner *Partitioner) Decided(now identifier.Moment) []configurer.Layout {
	var layouts []configurer.Layout
	for _, name := range slices.Sorted(maps.Keys(partitioner.domains)) {
		domain := partitioner.domains[name]
		if !identifier.Earlier(domain.settledAt, domain.latestAt).Due(now) {
			continue
		}
		cells, _ := CellsFor(domain.hosts)
		layouts = append(layouts, configurer.Layout{FailureDomain: name, Cells: cells})
	}
	return layouts
}
