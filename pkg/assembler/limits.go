package assembler

import (
	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/limiter"
	"github.com/stoathitch/stoathitch/pkg/loader"
)

// fillLimits takes over the limits of teams and classes.
func fillLimits(settings *loader.Settings, target *dispatcher.LimitSettings) {
	target.Limiter.RetryRatio = settings.Dispatch.RetryBudgetRatio
	for _, team := range settings.Teams {
		target.Initial.Teams = append(target.Initial.Teams, limiter.TeamLimits{
			Team:           team.Team,
			TasksPerSecond: team.TasksPerSecond,
			TasksInFlight:  team.TasksInFlight,
			Weight:         team.Weight,
		})
	}
	for _, class := range settings.Classes {
		target.Initial.Classes = append(target.Initial.Classes, dispatcher.ClassLimits{
			Class:  class.Class,
			Weight: class.Weight,
			Urgent: class.Urgent,
		})
	}
}
