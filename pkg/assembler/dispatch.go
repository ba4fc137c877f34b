package assembler

import (
	"github.com/stoathitch/stoathitch/pkg/assessor"
	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/loader"
	"github.com/stoathitch/stoathitch/pkg/selector"
)

// fillDispatch takes over how tasks are spread over backend servers.
func fillDispatch(settings *loader.Dispatch, target *dispatcher.Settings) {
	target.Cells = settings.Cells
	target.Selection.Kind = kindOf(settings.Policy)
	target.Spill.Margin = settings.SpillMargin.Std()
	fillHealth(settings, &target.Health)
}

func kindOf(policy loader.PolicyName) selector.Kind {
	switch policy {
	case loader.PolicyRandom:
		return selector.KindRandom
	case loader.PolicyTwoChoices:
		return selector.KindTwoChoices
	default:
		return selector.KindLeastLoaded
	}
}

// half a failure below the wanted number, because blame is less than the number of
// failures by what other servers show.
const blameAllowance = 0.5

func fillHealth(settings *loader.Dispatch, target *assessor.Settings) {
	target.MaxEjectedFraction = settings.EjectionFractionMax
	target.EjectThreshold = float64(settings.EjectionFailures) - blameAllowance
	// In a window of no more tasks than the wanted failures none could be reached.
	target.Window = max(target.Window, 2*settings.EjectionFailures)
	target.EjectionTime = settings.EjectionTime.Std()
	target.MaxEjectionTime = max(target.MaxEjectionTime, target.EjectionTime)
}
