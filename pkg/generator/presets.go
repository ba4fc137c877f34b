package generator

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tracer"
)

// Preset is a name and the parameters of a trace in testdata/traces.
type Preset struct {
	Name       string
	Parameters *Parameters
}

// Presets returns the presets of all scenarios for both deployments. They are scaled
// down in length and load, but have as many hosts as the deployments. The bounds
// that they expect follow from the guarantees; they are no performance targets.
func Presets() []Preset {
	var presets []Preset
	for _, deployment := range deployments {
		for number, scenario := range scenarios {
			parameters := deployment.parameters(deployment.firstSeed + uint64(number))
			scenario.change(parameters)
			parameters.expect(scenario.bounds...)
			name := deployment.name + "-" + scenario.name
			presets = append(presets, Preset{Name: name, Parameters: parameters})
		}
	}
	return presets
}

// FindPreset returns the preset with the given name, or nil if there is none.
func FindPreset(name string) *Preset {
	for _, preset := range Presets() {
		if preset.Name == name {
			return &preset
		}
	}
	return nil
}

var deployments = []struct {
	name       string
	parameters func(seed uint64) *Parameters
	firstSeed  uint64
}{
	{"phuc-tin", PhucTin, 1},
	{"bsv", BSV, 101},
}

// bound is the maximum of a figure at the end of a trace.
type bound struct {
	figure tracer.Figure
	atMost float64
}

var (
	noViolation = bound{tracer.FigureViolations, 0}
	allAnswered = bound{tracer.FigureJobsUnanswered, 0}
	noneFailed  = bound{tracer.FigureJobsFailed, 0}
	noneRefused = bound{tracer.FigureJobsRefused, 0}
	guarantees  = []bound{noViolation, allAnswered}
)

func failedAtMost(count float64) bound { return bound{tracer.FigureJobsFailed, count} }

// settlingTime is the time between the end of arrivals and the expectations.
const settlingTime = time.Minute

func (parameters *Parameters) expect(bounds ...bound) {
	at := identifier.Moment(parameters.Length + settlingTime)
	for _, bound := range bounds {
		parameters.Expectations = append(parameters.Expectations,
			&tracer.Expect{Head: tracer.Head{At: at}, Figure: bound.figure, AtMost: bound.atMost})
	}
}

// scenario changes the default parameters, those of a calm trace, and has the bounds
// that the changed trace must keep.
type scenario struct {
	name   string
	change func(parameters *Parameters)
	bounds []bound
}

// The maximum number of failed jobs. A black hole, which fails every task, may fail
// about ten tasks of different jobs before it is detected, and some more when it is
// probed. A silent server has at most as many tasks as slots, and as many again in
// transit to it.
const (
	blackHoleFailures = 40
	silentFailures    = 24
)

var scenarios = []scenario{
	{"calm", func(*Parameters) {}, joinBounds(guarantees, noneFailed, noneRefused, bound{tracer.FigureResponseOverIdealP99, 2})},
	{"burst", burst, joinBounds(guarantees, noneFailed)},
	{"black-hole", blackHole, joinBounds(guarantees, failedAtMost(blackHoleFailures))},
	{"silent", silent, joinBounds(guarantees, failedAtMost(silentFailures))},
	{"leaving", leaving, joinBounds(guarantees, noneFailed, noneRefused)},
	{"cancellation-wave", cancellationWave, guarantees},
	{"cut-off", cutOff, guarantees},
	{"rolling-restart", rollingRestart, joinBounds(guarantees, noneFailed)},
	{"two-faults", twoFaults, joinBounds(guarantees, failedAtMost(blackHoleFailures+silentFailures))},
	{"resends", resends, joinBounds(guarantees, noneFailed, noneRefused)},
	{"resubmissions-while-cut-off", resubmissionsWhileCutOff, guarantees},
	{"entry-host-dies", entryHostDies, []bound{noViolation}},
}

func joinBounds(bounds []bound, more ...bound) []bound {
	return append(append([]bound{}, bounds...), more...)
}
