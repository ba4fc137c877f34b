package generator

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tracer"
)

// Parameters say what a generated trace is like. Shares are from 0 to 1; weights
// are relative to each other within their list.
type Parameters struct {
	Deployment tracer.Deployment
	// Seed drives every choice of the generator.
	Seed uint64
	// Length is how long jobs arrive.
	Length time.Duration
	// Load is the share of all slots that the work would keep busy on average,
	// outside of bursts.
	Load     float64
	Widths   []Width
	RunTimes RunTimes
	// FarOffShare is the share of tasks whose declared run time is FarOffFactor
	// times too long or too short.
	FarOffShare  float64
	FarOffFactor float64
	Teams        []Team
	Classes      []Class
	// CallerPrefix and Callers name the callers: prefix-0, prefix-1 and so on.
	CallerPrefix string
	Callers      int
	// NotRepeatableShare is the share of jobs that may run at most once.
	NotRepeatableShare float64
	// DeadlineShare is the share of jobs with a deadline, which lies
	// DeadlineSlack after the end of their longest task.
	DeadlineShare float64
	DeadlineSlack time.Duration
	// HotEntryHost gets HotShare of the jobs, whatever their failure domain; the
	// balancer spreads the others. Empty for no skew.
	HotEntryHost identifier.HostID
	HotShare     float64
	Resends      Repeats
	// Resubmissions send the job again under a new submission.
	Resubmissions Repeats
	// Cancellations are spread over the trace; the waves come at once.
	Cancellations     Repeats
	CancellationWaves []CancellationWave
	Bursts            []Burst
	// Faults and Expectations are taken over as they are.
	Faults       []tracer.Event
	Expectations []tracer.Event
}

// Width is a number of tasks of a job and the weight, among all jobs, of the
// jobs that have it.
type Width struct {
	Tasks  int
	Weight float64
}

// RunTimes says how long tasks run: short ones spread evenly on a logarithmic
// scale, a share of slow ones spread evenly.
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

// Repeats says that a share of the jobs has something done again or done to it
// some time after it was sent, from half of After to one and a half.
type Repeats struct {
	Share float64
	After time.Duration
}

// CancellationWave cancels at one moment a share of the jobs that were sent
// within the window before.
type CancellationWave struct {
	At     identifier.Moment
	Window time.Duration
	Share  float64
}

// Burst multiplies the rate of arrivals from From until To.
type Burst struct {
	From, To identifier.Moment
	Factor   float64
}

// EqualTasks returns a mix of widths in which each width has the same number of
// tasks, so that wide jobs are rare and narrow ones many: the default mix.
func EqualTasks(widths ...int) []Width {
	mix := make([]Width, 0, len(widths))
	for _, tasks := range widths {
		mix = append(mix, Width{Tasks: tasks, Weight: 1 / float64(tasks)})
	}
	return mix
}
