// Package estimator estimates the run time of tasks from the run times observed in
// earlier answers.
//
// Declared run times may be far off, so they are corrected once enough answers have
// been observed. For each team and class the estimator keeps two predictors, the mean
// observed run time and the declared time corrected by the observed ratio, and uses the
// one with the smaller error so far. It does no I/O and its memory is bounded: for pairs
// of team and class beyond Settings.MaxKeys the estimate of the class is used.
package estimator

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Settings bounds the estimator's memory and configures how fast it adapts.
type Settings struct {
	// MaxKeys bounds the pairs of team and class that have an entry of their own.
	MaxKeys int
	// MaxClasses bounds the classes that have an entry of their own.
	MaxClasses int
	// MinSamples is how many answers an entry needs before its estimates are used.
	MinSamples int
	// Window is about how many of the latest answers an estimate is based on.
	Window int
	// OutlierFactor caps an observed run time at this multiple of the predicted one, so
	// that a single straggler does not distort the estimates of its team.
	OutlierFactor float64
	// DefaultRunTime is the estimate for a task without a declared or learned run time.
	DefaultRunTime time.Duration
}

// DefaultSettings returns the settings that the daemon starts from.
func DefaultSettings() Settings {
	return Settings{
		MaxKeys:        4096,
		MaxClasses:     64,
		MinSamples:     8,
		Window:         64,
		OutlierFactor:  16,
		DefaultRunTime: 200 * time.Millisecond,
	}
}

// Key identifies tasks that are likely to have similar run times.
type Key struct {
	Team  identifier.TeamID
	Class identifier.ClassName
}

// Estimate is the expected time that a task occupies a slot.
type Estimate struct {
	// Mean is the expected slot time, including stragglers. Sums of it estimate work.
	Mean time.Duration
	// Typical is the median run time, which stragglers hardly affect.
	Typical time.Duration
	// Learned is set when the estimate is based on at least MinSamples observed answers.
	Learned bool
}

// Estimator learns run times from observed answers. Set Settings before use.
type Estimator struct {
	Settings Settings

	byKey   map[Key]*series
	byClass map[identifier.ClassName]*series
	overall series
}

// Observe learns from one answer. declared is the task's declared run time, or zero
// when nothing was declared. Answers without a positive observed time are ignored.
func (estimator *Estimator) Observe(key Key, declared, observed time.Duration) {
	if observed <= 0 {
		return
	}
	estimator.initialize()
	estimator.overall.observe(&estimator.Settings, declared, observed)
	if series := getOrAddSeries(estimator.byClass, key.Class, estimator.Settings.MaxClasses); series != nil {
		series.observe(&estimator.Settings, declared, observed)
	}
	if series := getOrAddSeries(estimator.byKey, key, estimator.Settings.MaxKeys); series != nil {
		series.observe(&estimator.Settings, declared, observed)
	}
}

// Model estimates the tasks of one key. It is valid until the next Observe.
type Model struct {
	series         *series
	defaultRunTime time.Duration
}

// Model returns a model based on the most specific series that has enough answers: the
// pair of team and class, the class, or all tasks.
func (estimator *Estimator) Model(key Key) Model {
	for _, series := range [...]*series{estimator.byKey[key], estimator.byClass[key.Class], &estimator.overall} {
		if series != nil && series.samples >= estimator.Settings.MinSamples {
			return Model{series: series}
		}
	}
	return Model{defaultRunTime: estimator.Settings.DefaultRunTime}
}

// Estimate returns the estimate for a task with the given declared run time, zero when
// nothing was declared. Without enough answers it is the declared time, or
// DefaultRunTime when there is none.
func (model Model) Estimate(declared time.Duration) Estimate {
	if model.series != nil {
		return model.series.estimate(declared)
	}
	if declared <= 0 {
		declared = model.defaultRunTime
	}
	return Estimate{Mean: declared, Typical: declared}
}

func (estimator *Estimator) initialize() {
	if estimator.byKey == nil {
		estimator.byKey = make(map[Key]*series)
		estimator.byClass = make(map[identifier.ClassName]*series)
	}
}

// getOrAddSeries returns the series of key, adding one if the map is below limit. It
// returns nil otherwise.
func getOrAddSeries[K comparable](known map[K]*series, key K, limit int) *series {
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
