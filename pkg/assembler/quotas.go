package assembler

import (
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/loader"
	"github.com/stoathitch/stoathitch/pkg/placer"
	"github.com/stoathitch/stoathitch/pkg/planner"
)

// quotasOf returns the quotas that bound the intents of each team.
func quotasOf(settings *loader.Settings) []planner.TeamQuota {
	quotas := make([]planner.TeamQuota, 0, len(settings.Teams))
	for _, team := range settings.Teams {
		quotas = append(quotas, planner.TeamQuota{Team: team.Team, Quota: placer.Quota{
			Limit: identifier.Resources{
				MilliCPU: team.MilliCPU, Memory: team.Memory, Accelerators: identifier.Accelerators(team.Accelerators),
			},
			TasksInFlight: team.TasksInFlight,
			Weight:        int64(team.Weight),
		}})
	}
	return quotas
}
