// Package estimator learns how long tasks run from the answers that come back.
//
// Declared run times may be far off, so they are never taken as they stand. For
// each team and class the estimator keeps two predictors, the mean of what was
// observed and the declared time corrected by the observed ratio, and answers by
// the one that has been off by less. It is pure and bounded: beyond
// Settings.MaxKeys a pair of team and class is answered from its class.
package estimator

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Settings bounds what the estimator holds and how fast it forgets.
type Settings struct {
	// MaxKeys bounds the pairs of team and class that have an entry of their own.
	MaxKeys int
	// MaxClasses bounds the classes that have an entry of their own.
	MaxClasses int
	// MinSamples is how many answers an entry needs before it is believed.
	MinSamples int
	// Memory is about how many of the latest answers an estimate rests on.
	Memory int
	// OutlierFactor caps an observed run time at so many times the mean, so that
	// one straggler does not spoil the estimates of its team.
	OutlierFactor float64
	// Unknown is the run time of a task of which nothing was declared or learned.
	Unknown time.Duration
}

// DefaultSettings returns the settings that the daemon starts from.
func DefaultSettings() Settings {
	return Settings{
		MaxKeys:       4096,
		MaxClasses:    64,
		MinSamples:    8,
		Memory:        64,
		OutlierFactor: 16,
		Unknown:       200 * time.Millisecond,
	}
}

// Key names a series of tasks that are likely to run alike.
type Key struct {
	Team  identifier.TeamID
	Class identifier.ClassName
}

// Estimate is what a task is expected to take on a slot.
type Estimate struct {
	// Mean is the expected slot time, stragglers included; sums of it are work.
	Mean time.Duration
	// Typical is the median run time; stragglers hardly move it.
	Typical time.Duration
	// Learned tells that the estimate rests on enough observed answers.
	Learned bool
}

// Estimator learns run times. Set Settings before use.
type Estimator struct {
	Settings Settings

	byKey   map[Key]*series
	byClass map[identifier.ClassName]*series
	all     series
}

// Observe learns from one answer: the task ran for observed and was declared to
// run for declared, or zero when nothing was declared.
func (estimator *Estimator) Observe(key Key, declared, observed time.Duration) {
	if observed <= 0 {
		return
	}
	estimator.prepare()
	estimator.all.observe(&estimator.Settings, declared, observed)
	if series := openSeries(estimator.byClass, key.Class, estimator.Settings.MaxClasses); series != nil {
		series.observe(&estimator.Settings, declared, observed)
	}
	if series := openSeries(estimator.byKey, key, estimator.Settings.MaxKeys); series != nil {
		series.observe(&estimator.Settings, declared, observed)
	}
}

// Model answers for one key; it is valid until the next Observe.
type Model struct {
	series  *series
	unknown time.Duration
}

// Model returns the narrowest series that has enough answers: the pair of team
// and class, the class, or all tasks.
func (estimator *Estimator) Model(key Key) Model {
	for _, series := range [...]*series{estimator.byKey[key], estimator.byClass[key.Class], &estimator.all} {
		if series != nil && series.samples >= estimator.Settings.MinSamples {
			return Model{series: series}
		}
	}
	return Model{unknown: estimator.Settings.Unknown}
}

// Estimate returns what a task with a declared run time, or zero, is expected to
// take. Without enough answers it is the declared time.
func (model Model) Estimate(declared time.Duration) Estimate {
	if model.series != nil {
		return model.series.estimate(declared)
	}
	if declared <= 0 {
		declared = model.unknown
	}
	return Estimate{Mean: declared, Typical: declared}
}

func (estimator *Estimator) prepare() {
	if estimator.byKey == nil {
		estimator.byKey = make(map[Key]*series)
		estimator.byClass = make(map[identifier.ClassName]*series)
	}
}

// openSeries returns the series of key, a new one while there is room, or nil.
func openSeries[K comparable](known map[K]*series, key K, limit int) *series {
	if found := known[key]; found != nil {
		return found
	}
	if len(known) >= limit {
		return nil
	}
	created := &series{}
	known[key] = created
	return created
}
