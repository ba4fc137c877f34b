package assembler

import (
	"testing"

	"github.com/stoathitch/stoathitch/pkg/assessor"
	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/loader"
	"github.com/stoathitch/stoathitch/pkg/selector"
)

// TestDefaultSettingsMatchDecidingPackages guards against a daemon whose defaults differ from those
// of the deciding packages.
func TestDefaultSettingsMatchDecidingPackages(t *testing.T) {
	settings := loader.Defaults()
	got := coordinatorSettings(&settings).Dispatcher
	health := assessor.DefaultSettings()
	health.MaxEjectedFraction = got.Health.MaxEjectedFraction // A third, rounded up to 0.34.
	if got.Health != health || got.Selection != selector.DefaultSettings() || got.Spill != dispatcher.DefaultSpillSettings() {
		t.Errorf("got %+v, want %+v", got, coordinator.DefaultSettings().Dispatcher)
	}
}

// TestDispatchSettingsTakeEffect guards against keys of `dispatch` that are read but have no effect.
func TestDispatchSettingsTakeEffect(t *testing.T) {
	changes := map[string]func(*loader.Dispatch){
		"policy":                func(dispatch *loader.Dispatch) { dispatch.Policy = loader.PolicyTwoChoices },
		"cells":                 func(dispatch *loader.Dispatch) { dispatch.Cells = 7 },
		"retry-budget-ratio":    func(dispatch *loader.Dispatch) { dispatch.RetryBudgetRatio = 0.7 },
		"spill-margin":          func(dispatch *loader.Dispatch) { dispatch.SpillMargin++ },
		"ejection-fraction-max": func(dispatch *loader.Dispatch) { dispatch.EjectionFractionMax = 0.7 },
		"ejection-failures":     func(dispatch *loader.Dispatch) { dispatch.EjectionFailures = 70 },
		"ejection-time":         func(dispatch *loader.Dispatch) { dispatch.EjectionTime++ },
	}
	plain := loader.Defaults()
	before := summary(coordinatorSettings(&plain).Dispatcher)
	for key, change := range changes {
		settings := loader.Defaults()
		change(&settings.Dispatch)
		if after := summary(coordinatorSettings(&settings).Dispatcher); after == before {
			t.Errorf("dispatch.%s changes nothing", key)
		}
	}
}

// effect holds the settings that the keys of `dispatch` change.
type effect struct {
	cells     int
	selection selector.Settings
	spill     dispatcher.SpillSettings
	health    assessor.Settings
	retries   float64
}

func summary(settings dispatcher.Settings) effect {
	return effect{
		cells: settings.Cells, selection: settings.Selection, spill: settings.Spill,
		health: settings.Health, retries: settings.Limits.Limiter.RetryRatio,
	}
}
