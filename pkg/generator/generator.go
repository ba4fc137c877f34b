package generator

import (
	"fmt"
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tracer"
)

// timePrecision is the precision of generated moments. It keeps the lines short.
const timePrecision = 10 * time.Microsecond

// declaredPrecision is the precision of declared run times, and the shortest one.
const declaredPrecision = 10 * time.Millisecond

// Generate returns the trace that the parameters describe, or an error with
// ErrorBadParameter if one of them is invalid.
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

// arrivals returns jobs in the order of their arrival. Jobs are drawn in operational
// time, in which the arrival rate is constant, until their work amounts to the
// load; then operational time is scaled to the length of the trace.
func (generation *generation) arrivals() []*tracer.Job {
	parameters := generation.parameters
	operational := operationalLength(parameters)
	wantedWork := time.Duration(parameters.Load * float64(parameters.Deployment.TotalSlots()) * operational)
	maxWork := wantedWork + maxExcessWork(parameters)
	var jobs []*tracer.Job
	var positions []float64
	position, work := 0.0, time.Duration(0)
	for work < wantedWork {
		job := generation.job(len(jobs))
		if work+job.TotalRunTime() > maxWork {
			continue
		}
		position += generation.chooser.exponential()
		work += job.TotalRunTime()
		jobs = append(jobs, job)
		positions = append(positions, position)
	}
	for number, job := range jobs {
		schedule(job, momentAt(parameters, positions[number]/position*operational), parameters)
	}
	return jobs
}

// maxExcessWork returns by how much the work of a trace may exceed the requested
// work. The last jobs are drawn again until they fit, because a single job of 110
// tasks is one percent of the work of ten seconds. A job of the narrowest width
// always fits, so the loop terminates.
func maxExcessWork(parameters *Parameters) time.Duration {
	narrowest := parameters.Widths[0].Tasks
	for _, width := range parameters.Widths {
		narrowest = min(narrowest, width.Tasks)
	}
	longest := max(parameters.RunTimes.ShortTo, parameters.RunTimes.SlowTo)
	return longest * time.Duration(narrowest)
}

// schedule sets the arrival of a job. It also sets the deadline of a job that has
// one; until then the deadline is zero.
func schedule(job *tracer.Job, at identifier.Moment, parameters *Parameters) {
	job.At = roundMoment(at)
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
	if chooser.happens(parameters.MisdeclaredShare) {
		if chooser.happens(0.5) {
			declared *= parameters.MisdeclaredFactor
		} else {
			declared /= parameters.MisdeclaredFactor
		}
	}
	rounded := time.Duration(declared).Round(declaredPrecision)
	return tracer.Task{RunTime: runTime, DeclaredRunTime: max(rounded, declaredPrecision)}
}

func roundMoment(moment identifier.Moment) identifier.Moment {
	return identifier.Moment(time.Duration(moment).Round(timePrecision))
}
