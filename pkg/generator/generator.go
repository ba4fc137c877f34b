package generator

import (
	"fmt"
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tracer"
)

// timeGrain is the precision of generated moments, which keeps the lines short.
const timeGrain = 10 * time.Microsecond

// declaredGrain is the precision of declared run times.
const declaredGrain = 10 * time.Millisecond

// Generate makes the trace that the parameters describe.
func Generate(parameters *Parameters) (*tracer.Trace, error) {
	if err := parameters.check(); err != nil {
		return nil, err
	}
	generation := &generation{parameters: parameters, chooser: newChooser(parameters.Seed)}
	jobs := generation.arrivals()
	events := generation.repeatAndCancel(jobs)
	events = append(events, parameters.Faults...)
	slices.SortStableFunc(events, byMoment)
	events = append(events, parameters.Expectations...)
	slices.SortStableFunc(events, byMoment)
	return &tracer.Trace{Deployment: parameters.Deployment, Events: events}, nil
}

func byMoment(first, second tracer.Event) int {
	return int(first.Moment() - second.Moment())
}

type generation struct {
	parameters *Parameters
	chooser    *chooser
}

// arrivals returns jobs in the order of their arrival. They are drawn on a scale
// of operational time, on which the rate of arrivals is constant, until their
// work suffices for the load; then that scale is fitted to the trace's length.
func (generation *generation) arrivals() []*tracer.Job {
	parameters := generation.parameters
	operational := operationalLength(parameters)
	wanted := time.Duration(parameters.Load * float64(parameters.Deployment.AllSlots()) * operational)
	allowed := wanted + overshoot(parameters)
	var jobs []*tracer.Job
	var positions []float64
	position, work := 0.0, time.Duration(0)
	for work < wanted {
		job := generation.job(len(jobs))
		if work+job.Work() > allowed {
			continue
		}
		position += generation.chooser.exponential()
		work += job.Work()
		jobs = append(jobs, job)
		positions = append(positions, position)
	}
	for number, job := range jobs {
		place(job, momentAt(parameters, positions[number]/position*operational), parameters)
	}
	return jobs
}

// overshoot returns how much more work than wanted a trace may have. The last
// jobs are drawn again until they fit, because one of 110 tasks alone is a
// percent of the work of ten seconds. A job of the narrowest width always fits,
// so that the drawing ends.
func overshoot(parameters *Parameters) time.Duration {
	narrowest := parameters.Widths[0].Tasks
	for _, width := range parameters.Widths {
		narrowest = min(narrowest, width.Tasks)
	}
	longest := max(parameters.RunTimes.ShortTo, parameters.RunTimes.SlowTo)
	return longest * time.Duration(narrowest)
}

// place moves a job, whose deadline counts from zero so far, to its moment.
func place(job *tracer.Job, at identifier.Moment, parameters *Parameters) {
	job.At = grained(at)
	if job.Deadline != identifier.Never {
		job.Deadline = job.At.Add(job.LongestRunTime() + parameters.DeadlineSlack)
	}
}

func (generation *generation) job(number int) *tracer.Job {
	parameters, chooser := generation.parameters, generation.chooser
	width := chooser.weighted(len(parameters.Widths), func(position int) float64 { return parameters.Widths[position].Weight })
	team := chooser.weighted(len(parameters.Teams), func(position int) float64 { return parameters.Teams[position].Weight })
	class := chooser.weighted(len(parameters.Classes), func(position int) float64 { return parameters.Classes[position].Weight })
	domains := parameters.Deployment.FailureDomains
	job := &tracer.Job{
		Job:           identifier.JobID(fmt.Sprintf("j-%d", number)),
		Submission:    identifier.SubmissionID(fmt.Sprintf("s-%d", number)),
		Caller:        identifier.CallerID(fmt.Sprintf("%s-%d", parameters.CallerPrefix, chooser.number(parameters.Callers))),
		Team:          parameters.Teams[team].Name,
		Class:         parameters.Classes[class].Name,
		FailureDomain: domains[chooser.number(len(domains))],
		Repeatable:    !chooser.happens(parameters.NotRepeatableShare),
		Deadline:      identifier.Never,
	}
	if chooser.happens(parameters.HotShare) {
		job.EntryHost = parameters.HotEntryHost
	}
	if chooser.happens(parameters.DeadlineShare) {
		job.Deadline = 0
	}
	for range parameters.Widths[width].Tasks {
		job.Tasks = append(job.Tasks, generation.task())
	}
	return job
}

func (generation *generation) task() tracer.Task {
	parameters, chooser := generation.parameters, generation.chooser
	runTime := chooser.runTime(&parameters.RunTimes)
	declared := float64(runTime)
	if chooser.happens(parameters.FarOffShare) {
		if chooser.happens(0.5) {
			declared *= parameters.FarOffFactor
		} else {
			declared /= parameters.FarOffFactor
		}
	}
	rounded := time.Duration(declared).Round(declaredGrain)
	return tracer.Task{RunTime: runTime, Declared: max(rounded, declaredGrain)}
}

func grained(moment identifier.Moment) identifier.Moment {
	return identifier.Moment(time.Duration(moment).Round(timeGrain))
}
