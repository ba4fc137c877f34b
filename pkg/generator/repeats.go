package generator

import (
	"fmt"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tracer"
)

// repeatAndCancel returns the jobs together with their resends, resubmissions and
// cancellations.
func (generation *generation) repeatAndCancel(jobs []*tracer.Job) []tracer.Event {
	parameters := generation.parameters
	events := make([]tracer.Event, 0, len(jobs))
	for _, job := range jobs {
		events = append(events, job)
		if generation.chooser.happens(parameters.Resends.Share) {
			events = append(events, generation.resend(job))
		}
		if generation.chooser.happens(parameters.Resubmissions.Share) {
			events = append(events, generation.resubmission(job))
		}
		if generation.chooser.happens(parameters.Cancellations.Share) {
			events = append(events, cancel(job, generation.repeatMoment(job.At, parameters.Cancellations)))
		}
	}
	for _, wave := range parameters.CancellationWaves {
		events = append(events, generation.cancelWave(jobs, wave)...)
	}
	return events
}

// resend returns a resend of the same submission to a random entry host of any
// failure domain: the load balancer doesn't know which host received the first one.
func (generation *generation) resend(job *tracer.Job) *tracer.Job {
	repeated := *job
	repeated.At = generation.repeatMoment(job.At, generation.parameters.Resends)
	repeated.EntryHost = generation.anyEntryHost()
	return &repeated
}

// resubmission returns the same job under a new submission, sent to a random entry
// host. A deadline moves with the arrival.
func (generation *generation) resubmission(job *tracer.Job) *tracer.Job {
	repeated := *job
	repeated.At = generation.repeatMoment(job.At, generation.parameters.Resubmissions)
	repeated.EntryHost = generation.anyEntryHost()
	repeated.Submission = identifier.SubmissionID(fmt.Sprintf("%s-again", job.Submission))
	if job.Deadline != identifier.Never {
		repeated.Deadline = repeated.At.Add(job.Deadline.Sub(job.At))
	}
	return &repeated
}

func (generation *generation) anyEntryHost() identifier.HostID {
	deployment := &generation.parameters.Deployment
	domain := deployment.FailureDomains[generation.chooser.number(len(deployment.FailureDomains))]
	return tracer.EntryHost(domain, generation.chooser.number(deployment.EntryHostsPerFailureDomain))
}

func (generation *generation) repeatMoment(at identifier.Moment, repeats Repeats) identifier.Moment {
	return roundMoment(at.Add(generation.chooser.between(repeats.After/2, repeats.After*3/2)))
}

func (generation *generation) cancelWave(jobs []*tracer.Job, wave CancellationWave) []tracer.Event {
	var events []tracer.Event
	for _, job := range jobs {
		age := wave.At.Sub(job.At)
		if age < 0 || age > wave.Window || !generation.chooser.happens(wave.Share) {
			continue
		}
		events = append(events, cancel(job, wave.At))
	}
	return events
}

func cancel(job *tracer.Job, at identifier.Moment) *tracer.Cancel {
	return &tracer.Cancel{Head: tracer.Head{At: max(at, job.At+identifier.Moment(time.Nanosecond))}, Submission: job.Submission}
}
