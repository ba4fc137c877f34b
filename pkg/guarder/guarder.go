// Package guarder decides what a running task is charged for and what is done
// when it uses more than was declared.
//
// Usage reports lag behind. A report says how old its measurement is, and the
// guarder acts on the moment of the measurement, never on its arrival: reports
// that are overtaken are passed over, and a pause between reports does not count
// as a time of overuse.
package guarder

import (
	"fmt"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

//go:generate enumer -type=Act -transform=kebab -trimprefix=Act -text

// Act is what is done to a task that goes beyond its declaration, mildest first.
type Act int

// The acts.
const (
	// ActNone leaves the task alone.
	ActNone Act = iota
	// ActThrottle holds the task's processors to what was declared.
	ActThrottle
	// ActCheckpoint saves the task's progress and ends it on this worker.
	ActCheckpoint
	// ActStop ends the task.
	ActStop
)

// Settings say how patient the guarder is. Shares are in thousandths.
type Settings struct {
	// TolerancePermille is the share of the declaration up to which nothing is done.
	TolerancePermille int64
	// Grace is the time of overuse after which the task is throttled, and again
	// the time between one act and the next harder one.
	Grace time.Duration
	// CrowdedDivisor divides Grace while neighbours suffer.
	CrowdedDivisor int64
	// HalfLife is the time in which a peak that is not seen again is halved.
	HalfLife time.Duration
	// StaleAfter is the age of the last measurement from which it is not trusted:
	// the task is then charged its declaration at the least.
	StaleAfter time.Duration
	// RunTimePermille is the share of the declared run time after which a task is
	// checkpointed and then stopped; zero lets tasks run on.
	RunTimePermille int64
	// MayThrottle, MayCheckpoint and MayStop allow the acts.
	MayThrottle   bool
	MayCheckpoint bool
	MayStop       bool
}

// DefaultSettings returns the settings used where the configuration has none.
func DefaultSettings() Settings {
	return Settings{
		TolerancePermille: 1100,
		Grace:             10 * time.Second,
		CrowdedDivisor:    4,
		HalfLife:          30 * time.Second,
		StaleAfter:        20 * time.Second,
		RunTimePermille:   8000,
		MayThrottle:       true,
		MayCheckpoint:     true,
		MayStop:           true,
	}
}

// Declaration is what was declared for a task, after learned corrections.
type Declaration struct {
	Need    identifier.Resources
	RunTime time.Duration
	// Checkpointable tells whether the task can save its progress.
	Checkpointable bool
}

// Report is one measurement of a task.
type Report struct {
	Task identifier.TaskID    `cbor:"1,keyasint,omitempty"`
	Used identifier.Resources `cbor:"2,keyasint,omitempty"`
	// Age is the time on the worker's clock between the measurement and the
	// sending of the report.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
}

// Action is an act upon a task with its explanation.
type Action struct {
	Task   identifier.TaskID
	Act    Act
	Reason string
}

// Guarder watches the running tasks. Set Settings before use.
type Guarder struct {
	Settings Settings

	watched *tabulator.Table[identifier.TaskID, watch]
}

// watch is what is known of one running task.
type watch struct {
	declaration Declaration
	startedAt   identifier.Moment
	measuredAt  identifier.Moment
	measured    bool
	used        identifier.Resources
	highest     identifier.Resources
	peak        peak
	overSince   identifier.Moment
	actedAt     identifier.Moment
	act         Act
	crowded     bool
}

// Watch begins to watch a task that starts at now.
func (guarder *Guarder) Watch(now identifier.Moment, task identifier.TaskID, declaration Declaration) {
	guarder.prepare()
	guarder.watched.Put(task, &watch{
		declaration: declaration,
		startedAt:   now,
		measuredAt:  now,
		peak:        peak{value: identifier.Resources{Memory: declaration.Need.Memory}, at: now},
		overSince:   identifier.Never,
	})
}

// Forget ends the watch and returns the highest usage that was measured.
func (guarder *Guarder) Forget(task identifier.TaskID) (highest identifier.Resources, measured bool) {
	guarder.prepare()
	watch := guarder.watched.Get(task)
	if watch == nil {
		return identifier.Resources{}, false
	}
	guarder.watched.Remove(task)
	return watch.highest, watch.measured
}

// Report takes a measurement that arrives at now. It tells whether it was newer
// than the last one; an older one changes nothing.
func (guarder *Guarder) Report(now identifier.Moment, report Report) bool {
	guarder.prepare()
	watch := guarder.watched.Get(report.Task)
	if watch == nil {
		return false
	}
	at := max(now.Add(-max(report.Age, 0)), watch.startedAt)
	if watch.measured && at <= watch.measuredAt {
		return false
	}
	if watch.measured && at.Sub(watch.measuredAt) > guarder.Settings.StaleAfter {
		watch.overSince = identifier.Never
	}
	watch.measuredAt = at
	watch.measured = true
	watch.used = report.Used
	watch.highest = watch.highest.Max(report.Used)
	watch.peak.raise(at, report.Used, guarder.Settings.HalfLife)
	guarder.noteOveruse(watch)
	return true
}

// Crowded says whether the neighbours of a task suffer, so that less patience is due.
func (guarder *Guarder) Crowded(task identifier.TaskID, crowded bool) {
	guarder.prepare()
	if watch := guarder.watched.Get(task); watch != nil {
		watch.crowded = crowded
	}
}

// Charge returns what a task is charged at now: its declaration until the first
// report, then the larger of the last measurement and the decayed peak. The peak of
// memory begins at the declaration, since a task that is given too little of it
// kills its neighbours; too few processors only slow them down. While the last measurement is stale the declaration
// is charged at the least, since the task may have grown unseen.
func (guarder *Guarder) Charge(now identifier.Moment, task identifier.TaskID) identifier.Resources {
	guarder.prepare()
	watch := guarder.watched.Get(task)
	if watch == nil {
		return identifier.Resources{}
	}
	if !watch.measured {
		return watch.declaration.Need
	}
	charge := watch.used.Max(watch.peak.decayed(now, guarder.Settings.HalfLife))
	if now.Sub(watch.measuredAt) > guarder.Settings.StaleAfter {
		charge = charge.Max(watch.declaration.Need).Max(watch.peak.value)
	}
	// Accelerators are whole and exclusive: an idle one cannot be lent.
	charge.Accelerators = max(charge.Accelerators, watch.declaration.Need.Accelerators)
	return charge
}

// Act returns what is due at now for one task, and remembers that it was done.
func (guarder *Guarder) Act(now identifier.Moment, task identifier.TaskID) (Action, bool) {
	guarder.prepare()
	watch := guarder.watched.Get(task)
	if watch == nil || watch.act == ActStop {
		return Action{}, false
	}
	if guarder.ranTooLong(now, watch) {
		reason := fmt.Sprintf("ran for %s, declared were %s", now.Sub(watch.startedAt), watch.declaration.RunTime)
		return guarder.escalate(now, task, watch, max(watch.act, ActThrottle), reason)
	}
	if !guarder.overuseIsDue(watch) {
		return Action{}, false
	}
	reason := overuse(watch)
	return guarder.escalate(now, task, watch, watch.act, reason)
}

// Actions returns what is due at now for every task.
func (guarder *Guarder) Actions(now identifier.Moment) []Action {
	guarder.prepare()
	var actions []Action
	for _, task := range guarder.watched.Keys() {
		if action, due := guarder.Act(now, task); due {
			actions = append(actions, action)
		}
	}
	return actions
}

// noteOveruse keeps the moment since which every measurement lay beyond the
// tolerance. A measurement within it forgives the time before, but a throttle
// stays: the next act is a harder one.
func (guarder *Guarder) noteOveruse(watch *watch) {
	if !beyond(watch.used, watch.declaration.Need, guarder.Settings.TolerancePermille) {
		watch.overSince = identifier.Never
		return
	}
	watch.overSince = identifier.Earlier(watch.overSince, watch.measuredAt)
}

// overuseIsDue tells whether measured overuse lasted for the grace since it
// began or since the last act, as far as measurements show it.
func (guarder *Guarder) overuseIsDue(watch *watch) bool {
	if watch.overSince == identifier.Never {
		return false
	}
	since := watch.overSince
	if watch.act != ActNone {
		since = max(since, watch.actedAt)
	}
	return watch.measuredAt.Sub(since) >= guarder.grace(watch)
}

func (guarder *Guarder) ranTooLong(now identifier.Moment, watch *watch) bool {
	share := guarder.Settings.RunTimePermille
	if share == 0 || watch.declaration.RunTime == 0 {
		return false
	}
	limit := watch.declaration.RunTime / permille * time.Duration(share)
	if watch.act > ActThrottle {
		limit = max(limit, watch.actedAt.Sub(watch.startedAt)+guarder.grace(watch))
	}
	return now.Sub(watch.startedAt) > limit
}

func (guarder *Guarder) grace(watch *watch) time.Duration {
	if !watch.crowded {
		return guarder.Settings.Grace
	}
	return guarder.Settings.Grace / time.Duration(max(guarder.Settings.CrowdedDivisor, 1))
}

// escalate takes the mildest allowed act that is harder than the last one.
func (guarder *Guarder) escalate(now identifier.Moment, task identifier.TaskID, watch *watch, last Act, reason string) (Action, bool) {
	for act := last + 1; act <= ActStop; act++ {
		if !guarder.allowed(act, watch) {
			continue
		}
		watch.act = act
		watch.actedAt = now
		if watch.crowded {
			reason += "; its neighbours suffer"
		}
		return Action{Task: task, Act: act, Reason: reason}, true
	}
	return Action{}, false
}

func (guarder *Guarder) allowed(act Act, watch *watch) bool {
	switch act {
	case ActThrottle:
		over := watch.used.MilliCPU > watch.declaration.Need.MilliCPU
		return guarder.Settings.MayThrottle && over
	case ActCheckpoint:
		return guarder.Settings.MayCheckpoint && watch.declaration.Checkpointable
	case ActStop:
		return guarder.Settings.MayStop
	default:
		return false
	}
}

func (guarder *Guarder) prepare() {
	if guarder.watched == nil {
		guarder.watched = tabulator.New[identifier.TaskID, watch]()
	}
}

// beyond tells whether used exceeds the tolerated share of need anywhere.
func beyond(used, need identifier.Resources, tolerance int64) bool {
	return int64(used.MilliCPU)*permille > int64(need.MilliCPU)*tolerance ||
		int64(used.Memory)*permille > int64(need.Memory)*tolerance ||
		used.Accelerators > need.Accelerators
}

// overuse explains what a task uses beyond its declaration.
func overuse(watch *watch) string {
	used, need := watch.used, watch.declaration.Need
	if int64(used.Memory)*int64(max(need.MilliCPU, 1)) > int64(need.Memory)*int64(used.MilliCPU) {
		return fmt.Sprintf("uses %d bytes, declared were %d", used.Memory, need.Memory)
	}
	return fmt.Sprintf("uses %d milli-cpu, declared were %d", used.MilliCPU, need.MilliCPU)
}
