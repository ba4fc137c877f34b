package coordinator

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/placer"
	"github.com/stoathitch/stoathitch/pkg/planner"
)

// quotas holds what the teams' intents may hold over all failure domains, and hands
// the driver the part of its own one.
type quotas struct {
	teams []planner.TeamQuota
	// capacities are those of all failure domains as the keeper that leads knows them.
	capacities []planner.DomainCapacity
	// changed tells that the driver has not got its part yet.
	changed bool
	// given lists the teams that the driver has a quota of.
	given []identifier.TeamID
}

// set replaces the quotas of all teams.
func (quotas *quotas) set(teams []planner.TeamQuota) {
	quotas.teams = teams
	quotas.changed = true
}

// learn takes the capacities by which quotas are divided.
func (quotas *quotas) learn(capacities []planner.DomainCapacity) {
	if len(capacities) > 0 && !slices.Equal(capacities, quotas.capacities) {
		quotas.capacities = capacities
		quotas.changed = true
	}
}

// of returns a team's quota over all failure domains.
func (quotas *quotas) of(team identifier.TeamID) placer.Quota {
	for _, known := range quotas.teams {
		if known.Team == team {
			return known.Quota
		}
	}
	return placer.Quota{}
}

// part returns what the driver of a failure domain has to be told, and false when
// nothing has changed. While the capacities aren't known the parts are equal. A team
// that is gone from the configuration is free of its quota.
func (quotas *quotas) part(own identifier.FailureDomain, all []identifier.FailureDomain) (planner.QuotasChanged, bool) {
	if !quotas.changed {
		return planner.QuotasChanged{}, false
	}
	quotas.changed = false
	weights, position := quotas.weights(own, all)
	var changed planner.QuotasChanged
	for _, team := range quotas.teams {
		changed.Quotas = append(changed.Quotas, planner.TeamQuota{Team: team.Team, Quota: planner.DivideQuota(team.Quota, weights)[position]})
	}
	for _, gone := range quotas.given {
		if !slices.ContainsFunc(quotas.teams, func(team planner.TeamQuota) bool { return team.Team == gone }) {
			changed.Quotas = append(changed.Quotas, planner.TeamQuota{Team: gone})
		}
	}
	quotas.given = nil
	for _, team := range quotas.teams {
		quotas.given = append(quotas.given, team.Team)
	}
	return changed, len(changed.Quotas) > 0
}

// weights returns the capacities to divide by, and which of them is the own one.
func (quotas *quotas) weights(own identifier.FailureDomain, all []identifier.FailureDomain) ([]identifier.Resources, int) {
	position := slices.IndexFunc(quotas.capacities, func(capacity planner.DomainCapacity) bool { return capacity.FailureDomain == own })
	if position < 0 {
		return slices.Repeat([]identifier.Resources{{MilliCPU: 1, Memory: 1, Accelerators: 1}}, len(all)), slices.Index(all, own)
	}
	var weights []identifier.Resources
	for _, capacity := range quotas.capacities {
		weights = append(weights, capacity.Capacity)
	}
	return weights, position
}
