// Package guarder decides what a running task is charged for and which action is
// taken when it uses more than its declaration.
//
// Usage reports arrive late. Each report carries the age of its measurement, and
// the guarder uses the time of the measurement, never that of its arrival: reports
// older than the last one are ignored, and a gap between reports does not count as
// overuse.
package guarder

import (
	"fmt"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tabulator"
)

//go:generate enumer -type=Act -transform=kebab -trimprefix=Act -text

// Act is an action against a task that exceeds its declaration; acts are ordered from
// the mildest to the hardest.
type Act int

// The acts, mildest first.
const (
	// ActNone does nothing.
	ActNone Act = iota
	// ActThrottle limits the task's processor time to its declaration.
	ActThrottle
	// ActCheckpoint saves the task's progress and ends it on this worker.
	ActCheckpoint
	// ActStop ends the task.
	ActStop
)

// Settings configure when the guarder acts, and which acts it may use. Shares are in
// thousandths.
type Settings struct {
	// TolerancePermille is the share of the declaration up to which usage is tolerated.
	TolerancePermille int64
	// Grace is how long overuse must last before the first act, and the minimum time
	// between one act and the next harder one.
	Grace time.Duration
	// ContendedDivisor divides Grace while neighbours of the task are affected.
	ContendedDivisor int64
	// HalfLife is the time in which a peak that is not reached again decays to half.
	HalfLife time.Duration
	// StaleAfter is the age beyond which the last measurement is stale: the task is
	// then charged at least its declaration.
	StaleAfter time.Duration
	// RunTimePermille is the share of the declared run time after which a task is
	// checkpointed and then stopped; zero disables the limit.
	RunTimePermille int64
	// MayThrottle, MayCheckpoint and MayStop enable the individual acts.
	MayThrottle   bool
	MayCheckpoint bool
	MayStop       bool
}

// DefaultSettings returns the settings used where the configuration has none.
func DefaultSettings() Settings {
	return Settings{
		TolerancePermille: 1100,
		Grace:             10 * time.Second,
		ContendedDivisor:  4,
		HalfLife:          30 * time.Second,
		StaleAfter:        20 * time.Second,
		RunTimePermille:   8000,
		MayThrottle:       true,
		MayCheckpoint:     true,
		MayStop:           true,
	}
}

// Declaration holds the declared resources and run time of a task, after learned
// corrections.
type Declaration struct {
	Need    identifier.Resources
	RunTime time.Duration
	// Checkpointable reports whether the task can save its progress.
	Checkpointable bool
}

// Report is one measurement of a task's resource usage.
type Report struct {
	Task identifier.TaskID    `cbor:"1,keyasint,omitempty"`
	Used identifier.Resources `cbor:"2,keyasint,omitempty"`
	// Age is the time between the measurement and the sending of the report, on the
	// worker's clock.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
}

// Action is an act due for a task, with the reason for operators.
type Action struct {
	Task   identifier.TaskID
	Act    Act
	Reason string
}

// Guarder tracks the usage of running tasks. Set Settings before use.
type Guarder struct {
	Settings Settings

	tasks *tabulator.Table[identifier.TaskID, taskState]
}

// taskState is the guarder's record of one running task.
type taskState struct {
	declaration  Declaration
	startedAt    identifier.Moment
	measuredAt   identifier.Moment
	measured     bool
	used         identifier.Resources
	highestUsed  identifier.Resources
	peak         peak
	overuseSince identifier.Moment
	actedAt      identifier.Moment
	act          Act
	contended    bool
}

// Watch starts tracking a task that starts at now.
func (guarder *Guarder) Watch(now identifier.Moment, task identifier.TaskID, declaration Declaration) {
	guarder.prepare()
	guarder.tasks.Put(task, &taskState{
		declaration:  declaration,
		startedAt:    now,
		measuredAt:   now,
		peak:         peak{value: identifier.Resources{Memory: declaration.Need.Memory}, at: now},
		overuseSince: identifier.Never,
	})
}

// Forget stops tracking a task. It returns the highest usage of each resource and
// whether anything was measured.
func (guarder *Guarder) Forget(task identifier.TaskID) (highest identifier.Resources, measured bool) {
	guarder.prepare()
	taskState := guarder.tasks.Get(task)
	if taskState == nil {
		return identifier.Resources{}, false
	}
	guarder.tasks.Remove(task)
	return taskState.highestUsed, taskState.measured
}

// Report records a measurement that arrives at now. It reports whether the measurement
// was newer than the last one; an older one changes nothing.
func (guarder *Guarder) Report(now identifier.Moment, report Report) bool {
	guarder.prepare()
	taskState := guarder.tasks.Get(report.Task)
	if taskState == nil {
		return false
	}
	at := max(now.Add(-max(report.Age, 0)), taskState.startedAt)
	if taskState.measured && at <= taskState.measuredAt {
		return false
	}
	if taskState.measured && at.Sub(taskState.measuredAt) > guarder.Settings.StaleAfter {
		taskState.overuseSince = identifier.Never
	}
	taskState.measuredAt = at
	taskState.measured = true
	taskState.used = report.Used
	taskState.highestUsed = taskState.highestUsed.Max(report.Used)
	taskState.peak.raise(at, report.Used, guarder.Settings.HalfLife)
	guarder.recordOveruse(taskState)
	return true
}

// SetContended sets whether the neighbours of a task are affected, which shortens its grace.
func (guarder *Guarder) SetContended(task identifier.TaskID, crowded bool) {
	guarder.prepare()
	if taskState := guarder.tasks.Get(task); taskState != nil {
		taskState.contended = crowded
	}
}

// Charge returns the resources that a task is charged at now: its declaration until the
// first report, then the larger of the last measurement and the decayed peak. The memory
// peak starts at the declaration, since charging a task too little memory kills its
// neighbours, while too little processor time only slows them down. While the last
// measurement is stale, at least the declaration is charged, since the task may have
// grown since.
func (guarder *Guarder) Charge(now identifier.Moment, task identifier.TaskID) identifier.Resources {
	guarder.prepare()
	taskState := guarder.tasks.Get(task)
	if taskState == nil {
		return identifier.Resources{}
	}
	if !taskState.measured {
		return taskState.declaration.Need
	}
	charge := taskState.used.Max(taskState.peak.decayed(now, guarder.Settings.HalfLife))
	if now.Sub(taskState.measuredAt) > guarder.Settings.StaleAfter {
		charge = charge.Max(taskState.declaration.Need).Max(taskState.peak.value)
	}
	// Accelerators are whole and exclusive: an idle one can't be given to another task.
	charge.Accelerators = max(charge.Accelerators, taskState.declaration.Need.Accelerators)
	return charge
}

// Act returns the action due at now for one task, and records it as taken.
func (guarder *Guarder) Act(now identifier.Moment, task identifier.TaskID) (Action, bool) {
	guarder.prepare()
	taskState := guarder.tasks.Get(task)
	if taskState == nil || taskState.act == ActStop {
		return Action{}, false
	}
	if guarder.exceedsRunTime(now, taskState) {
		reason := fmt.Sprintf("ran for %s, declared were %s", now.Sub(taskState.startedAt), taskState.declaration.RunTime)
		return guarder.escalate(now, task, taskState, max(taskState.act, ActThrottle), reason)
	}
	if !guarder.overuseExceedsGrace(taskState) {
		return Action{}, false
	}
	reason := describeOveruse(taskState)
	return guarder.escalate(now, task, taskState, taskState.act, reason)
}

// Actions returns the actions due at now for all tasks, and records them as taken.
func (guarder *Guarder) Actions(now identifier.Moment) []Action {
	guarder.prepare()
	var actions []Action
	for _, task := range guarder.tasks.Keys() {
		if action, due := guarder.Act(now, task); due {
			actions = append(actions, action)
		}
	}
	return actions
}

// recordOveruse tracks since when every measurement has exceeded the tolerance. A
// measurement within the tolerance resets that time but not the last act, so a throttle
// stays and the next act is a harder one.
func (guarder *Guarder) recordOveruse(taskState *taskState) {
	if !exceeds(taskState.used, taskState.declaration.Need, guarder.Settings.TolerancePermille) {
		taskState.overuseSince = identifier.Never
		return
	}
	taskState.overuseSince = identifier.Earlier(taskState.overuseSince, taskState.measuredAt)
}

// overuseExceedsGrace reports whether measurements show that overuse has lasted for the
// grace period since it began or since the last act.
func (guarder *Guarder) overuseExceedsGrace(taskState *taskState) bool {
	if taskState.overuseSince == identifier.Never {
		return false
	}
	since := taskState.overuseSince
	if taskState.act != ActNone {
		since = max(since, taskState.actedAt)
	}
	return taskState.measuredAt.Sub(since) >= guarder.grace(taskState)
}

func (guarder *Guarder) exceedsRunTime(now identifier.Moment, taskState *taskState) bool {
	share := guarder.Settings.RunTimePermille
	if share == 0 || taskState.declaration.RunTime == 0 {
		return false
	}
	limit := taskState.declaration.RunTime / permille * time.Duration(share)
	if taskState.act > ActThrottle {
		limit = max(limit, taskState.actedAt.Sub(taskState.startedAt)+guarder.grace(taskState))
	}
	return now.Sub(taskState.startedAt) > limit
}

func (guarder *Guarder) grace(taskState *taskState) time.Duration {
	if !taskState.contended {
		return guarder.Settings.Grace
	}
	return guarder.Settings.Grace / time.Duration(max(guarder.Settings.ContendedDivisor, 1))
}

// escalate records and returns the mildest allowed act that is harder than last.
func (guarder *Guarder) escalate(now identifier.Moment, task identifier.TaskID, taskState *taskState, last Act, reason string) (Action, bool) {
	for act := last + 1; act <= ActStop; act++ {
		if !guarder.allowed(act, taskState) {
			continue
		}
		taskState.act = act
		taskState.actedAt = now
		if taskState.contended {
			reason += "; its neighbours suffer"
		}
		return Action{Task: task, Act: act, Reason: reason}, true
	}
	return Action{}, false
}

func (guarder *Guarder) allowed(act Act, taskState *taskState) bool {
	switch act {
	case ActThrottle:
		over := taskState.used.MilliCPU > taskState.declaration.Need.MilliCPU
		return guarder.Settings.MayThrottle && over
	case ActCheckpoint:
		return guarder.Settings.MayCheckpoint && taskState.declaration.Checkpointable
	case ActStop:
		return guarder.Settings.MayStop
	default:
		return false
	}
}

func (guarder *Guarder) prepare() {
	if guarder.tasks == nil {
		guarder.tasks = tabulator.New[identifier.TaskID, taskState]()
	}
}

// exceeds reports whether used exceeds the tolerated share of need for any resource.
// Accelerators have no tolerance.
func exceeds(used, need identifier.Resources, tolerance int64) bool {
	return int64(used.MilliCPU)*permille > int64(need.MilliCPU)*tolerance ||
		int64(used.Memory)*permille > int64(need.Memory)*tolerance ||
		used.Accelerators > need.Accelerators
}

// describeOveruse names the resource, memory or processors, that exceeds the declaration
// by the larger factor.
func describeOveruse(taskState *taskState) string {
	used, need := taskState.used, taskState.declaration.Need
	if int64(used.Memory)*int64(max(need.MilliCPU, 1)) > int64(need.Memory)*int64(used.MilliCPU) {
		return fmt.Sprintf("uses %d bytes, declared were %d", used.Memory, need.Memory)
	}
	return fmt.Sprintf("uses %d milli-cpu, declared were %d", used.MilliCPU, need.MilliCPU)
}
