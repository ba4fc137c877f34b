package generator

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tracer"
)

// Preset names the parameters of one of the traces that the project keeps.
type Preset struct {
	Name       string
	Parameters *Parameters
}

// Presets returns the traces that the project keeps, each for both deployments.
// They are scaled down in length and load, not in hosts. What they state at
// their end follows from the promises; it is no aim for speed.
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

// FindPreset returns the preset of that name, or nil.
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

// bound is the most that a figure may be at the end of a trace.
type bound struct {
	figure tracer.Figure
	atMost float64
}

var (
	noViolation  = bound{tracer.FigureViolations, 0}
	allAnswered  = bound{tracer.FigureJobsUnanswered, 0}
	noneFailed   = bound{tracer.FigureJobsFailed, 0}
	noneRefused  = bound{tracer.FigureJobsRefused, 0}
	promisesKept = []bound{noViolation, allAnswered}
)

func failedAtMost(count float64) bound { return bound{tracer.FigureJobsFailed, count} }

// settlingTime is how long after the last arrival the outcomes are stated.
const settlingTime = time.Minute

func (parameters *Parameters) expect(bounds ...bound) {
	at := identifier.Moment(parameters.Length + settlingTime)
	for _, bound := range bounds {
		parameters.Expectations = append(parameters.Expectations,
			&tracer.Expect{Head: tracer.Head{At: at}, Count: bound.figure, AtMost: bound.atMost})
	}
}

// scenario changes a calm trace into another one.
type scenario struct {
	name   string
	change func(parameters *Parameters)
	bounds []bound
}

// A black hole may fail about ten tasks, each of another job, before it is
// noticed, and some more as it is tried out; a silent server holds at most as
// many tasks as it has slots, and as many again on their way to it.
const (
	blackHoleFailures = 40
	silentFailures    = 24
)

var scenarios = []scenario{
	{"calm", func(*Parameters) {}, with(promisesKept, noneFailed, noneRefused, bound{tracer.FigureResponseOverIdealP99, 2})},
	{"burst", burst, with(promisesKept, noneFailed)},
	{"black-hole", blackHole, with(promisesKept, failedAtMost(blackHoleFailures))},
	{"silent", silent, with(promisesKept, failedAtMost(silentFailures))},
	{"leaving", leaving, with(promisesKept, noneFailed, noneRefused)},
	{"cancellation-wave", cancellationWave, promisesKept},
	{"cut-off", cutOff, promisesKept},
	{"rolling-restart", rollingRestart, with(promisesKept, noneFailed)},
	{"two-faults", twoFaults, with(promisesKept, failedAtMost(blackHoleFailures+silentFailures))},
	{"resends", resends, with(promisesKept, noneFailed, noneRefused)},
	{"resubmissions-while-cut-off", resubmissionsWhileCutOff, promisesKept},
	{"entry-host-dies", entryHostDies, []bound{noViolation}},
}

func with(bounds []bound, more ...bound) []bound {
	return append(append([]bound{}, bounds...), more...)
}
