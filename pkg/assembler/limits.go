package assembler

import (
	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/limiter"
	"github.com/stoathitch/stoathitch/pkg/loader"
)

// fillLimits copies the retry ratio and the limits of teams and classes to the dispatcher's settings.
func fillLimits(settings *loader.Settings, target *dispatcher.LimitSettings) {
	target.Limiter.RetryRatio = settings.Dispatch.RetryBudgetRatio
	target.Initial = limitsOf(settings)
}

// limitsOf converts the limits of teams and classes.
func limitsOf(settings *loader.Settings) dispatcher.LimitsConfigured {
	var limits dispatcher.LimitsConfigured
	for _, team := range settings.Teams {
		limits.Teams = append(limits.Teams, limiter.TeamLimits{
			Team:           team.Team,
			TasksPerSecond: team.TasksPerSecond,
			TasksInFlight:  team.TasksInFlight,
			Weight:         team.Weight,
		})
	}
	for _, class := range settings.Classes {
		limits.Classes = append(limits.Classes, dispatcher.ClassLimits{
			Class:  class.Class,
			Weight: class.Weight,
			Urgent: class.Urgent,
		})
	}
	return limits
}
