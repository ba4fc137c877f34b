package coordinator

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/placer"
	"github.com/stoathitch/stoathitch/pkg/planner"
)

// quotas holds the limits on the teams' intents over all failure domains, and divides them for the
// driver of one domain.
type quotas struct {
	teams []planner.TeamQuota
	// capacities are those of all failure domains, as the leading keeper knows them.
	capacities []planner.DomainCapacity
	// changed reports that the driver has not received its current quotas yet.
	changed bool
	// teamsWithQuota lists the teams for which the driver has a quota.
	teamsWithQuota []identifier.TeamID
}

// set replaces the quotas of all teams.
func (quotas *quotas) set(teams []planner.TeamQuota) {
	quotas.teams = teams
	quotas.changed = true
}

// updateCapacities records the capacities by which quotas are divided.
func (quotas *quotas) updateCapacities(capacities []planner.DomainCapacity) {
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

// domainQuotas returns the quotas for the driver of a failure domain, and false if nothing has
// changed. While the capacities are unknown, all failure domains get equal shares. A team that is
// no longer in the configuration gets an empty quota, which lifts its limit.
func (quotas *quotas) domainQuotas(own identifier.FailureDomain, all []identifier.FailureDomain) (planner.QuotasChanged, bool) {
	if !quotas.changed {
		return planner.QuotasChanged{}, false
	}
	quotas.changed = false
	weights, position := quotas.weights(own, all)
	var changed planner.QuotasChanged
	for _, team := range quotas.teams {
		changed.Quotas = append(changed.Quotas, planner.TeamQuota{Team: team.Team, Quota: planner.DivideQuota(team.Quota, weights)[position]})
	}
	for _, gone := range quotas.teamsWithQuota {
		if !slices.ContainsFunc(quotas.teams, func(team planner.TeamQuota) bool { return team.Team == gone }) {
			changed.Quotas = append(changed.Quotas, planner.TeamQuota{Team: gone})
		}
	}
	quotas.teamsWithQuota = nil
	for _, team := range quotas.teams {
		quotas.teamsWithQuota = append(quotas.teamsWithQuota, team.Team)
	}
	return changed, len(changed.Quotas) > 0
}

// weights returns the capacities to divide by, and the index of the own failure domain among them.
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
