package assembler

import (
	"github.com/stoathitch/stoathitch/pkg/assessor"
	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/loader"
	"github.com/stoathitch/stoathitch/pkg/selector"
)

// fillDispatch copies the dispatch settings to the dispatcher's settings.
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

// ejectThresholdAllowance puts the ejection threshold half a failure below the configured number,
// because the assessor discounts a server's failures by those that other servers show.
const ejectThresholdAllowance = 0.5

func fillHealth(settings *loader.Dispatch, target *assessor.Settings) {
	target.MaxEjectedFraction = settings.EjectionFractionMax
	target.EjectThreshold = float64(settings.EjectionFailures) - ejectThresholdAllowance
	// A window of no more tasks than the configured failures could never reach the threshold.
	target.Window = max(target.Window, 2*settings.EjectionFailures)
	target.EjectionTime = settings.EjectionTime.Std()
	target.MaxEjectionTime = max(target.MaxEjectionTime, target.EjectionTime)
}
