package generator

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tracer"
)

// Parameters describe a generated trace. Shares are from 0 to 1; weights are
// relative to the other weights of the same list.
type Parameters struct {
	Deployment tracer.Deployment
	// Seed is the seed of all random choices of the generator.
	Seed uint64
	// Length is the time during which jobs arrive.
	Length time.Duration
	// Load is the share of all slots that the tasks would keep busy on average,
	// outside of bursts.
	Load     float64
	Widths   []Width
	RunTimes RunTimes
	// MisdeclaredShare is the share of tasks whose declared run time is too long or too
	// short by MisdeclaredFactor.
	MisdeclaredShare  float64
	MisdeclaredFactor float64
	Teams             []Team
	Classes           []Class
	// CallerPrefix and Callers give the names of the callers, prefix-0, prefix-1 and
	// so on, and their number.
	CallerPrefix string
	Callers      int
	// NotRepeatableShare is the share of jobs that may run at most once.
	NotRepeatableShare float64
	// DeadlineShare is the share of jobs with a deadline. The deadline is the arrival
	// plus the run time of the longest task plus DeadlineSlack.
	DeadlineShare float64
	DeadlineSlack time.Duration
	// HotEntryHost receives HotShare of the jobs regardless of their failure domain;
	// the load balancer distributes the others. Empty for no skew.
	HotEntryHost identifier.HostID
	HotShare     float64
	Resends      Repeats
	// Resubmissions submit the same job under a new submission.
	Resubmissions Repeats
	// Cancellations are distributed over the trace; each wave cancels many jobs at
	// the same moment.
	Cancellations     Repeats
	CancellationWaves []CancellationWave
	Bursts            []Burst
	// Faults and Expectations are added to the trace unchanged.
	Faults       []tracer.Event
	Expectations []tracer.Event
}

// Width is a number of tasks per job, and the weight of the jobs with that number
// among all jobs.
type Width struct {
	Tasks  int
	Weight float64
}

// RunTimes is the distribution of the run times of tasks: log-uniform for short
// tasks, uniform for slow ones, which are SlowShare of all tasks.
type RunTimes struct {
	ShortFrom, ShortTo time.Duration
	SlowShare          float64
	SlowFrom, SlowTo   time.Duration
}

// Team is a team and its weight among all jobs.
type Team struct {
	Name   identifier.TeamID
	Weight float64
}

// Class is an urgency class and its weight among all jobs.
type Class struct {
	Name   identifier.ClassName
	Weight float64
}

// Repeats selects the share of jobs that are resent, resubmitted or cancelled, and
// the delay after their arrival: uniform from 0.5 to 1.5 times After.
type Repeats struct {
	Share float64
	After time.Duration
}

// CancellationWave cancels, at the moment At, a share of the jobs that arrived
// within the window before it.
type CancellationWave struct {
	At     identifier.Moment
	Window time.Duration
	Share  float64
}

// Burst multiplies the arrival rate by Factor from From until To.
type Burst struct {
	From, To identifier.Moment
	Factor   float64
}

// EqualTasks returns widths whose weights give each width the same total number of
// tasks, so that wide jobs are rare and narrow ones frequent. This is the default.
func EqualTasks(widths ...int) []Width {
	mix := make([]Width, 0, len(widths))
	for _, tasks := range widths {
		mix = append(mix, Width{Tasks: tasks, Weight: 1 / float64(tasks)})
	}
	return mix
}
