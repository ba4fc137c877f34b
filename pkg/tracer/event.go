package tracer

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Event is one line of a trace after the first. The set of events is closed:
// the structs of this package are all there are.
type Event interface {
	// Kind says what happens.
	Kind() Kind
	// Moment says when, as an offset from the start of the trace.
	Moment() identifier.Moment

	read(reader *fieldReader)
	write(writer *fieldWriter)
	check(directory *directory) *Error
}

// Trace is a deployment and what happens to it, in order of time.
type Trace struct {
	Deployment Deployment
	Events     []Event
}

// Head is what every event has.
type Head struct {
	At identifier.Moment
}

// Moment says when the event happens.
func (head *Head) Moment() identifier.Moment { return head.At }

// Job is one sending of a job by its caller. The same submission in a later Job
// is a resend; the same job under a new submission is a resubmission.
type Job struct {
	Head
	Job           identifier.JobID
	Submission    identifier.SubmissionID
	Caller        identifier.CallerID
	Team          identifier.TeamID
	Class         identifier.ClassName
	FailureDomain identifier.FailureDomain
	// EntryHost is where the platform's balancer sent the job; empty means any
	// living entry host of the failure domain, or else of another.
	EntryHost  identifier.HostID
	Repeatable bool
	// MayRun is empty for the default: the own failure domain, then the others.
	MayRun []identifier.FailureDomain
	// Deadline is identifier.Never for a job that has none.
	Deadline identifier.Moment
	Tasks    []Task
}

// Task is one task of a job. Declared is what the caller said of its run time.
type Task struct {
	RunTime  time.Duration
	Declared time.Duration
}

// Cancel is a caller's cancellation of a submission.
type Cancel struct {
	Head
	Submission identifier.SubmissionID
}

// Expect states what must hold at the end of the replay: either the outcome of
// one submission (Submission is set), or a bound on a figure.
type Expect struct {
	Head
	Submission identifier.SubmissionID
	Outcome    Outcome
	Count      Figure
	AtMost     float64
}

// Kind returns KindJob.
func (job *Job) Kind() Kind { return KindJob }

// Kind returns KindCancel.
func (cancel *Cancel) Kind() Kind { return KindCancel }

// Kind returns KindExpect.
func (expect *Expect) Kind() Kind { return KindExpect }

// NamesSubmission tells whether the expectation is about one submission rather
// than about a figure.
func (expect *Expect) NamesSubmission() bool { return expect.Submission != "" }

// LongestRunTime returns the longest run time among the job's tasks.
func (job *Job) LongestRunTime() time.Duration {
	longest := time.Duration(0)
	for _, task := range job.Tasks {
		longest = max(longest, task.RunTime)
	}
	return longest
}

// Work returns the sum of the run times of the job's tasks.
func (job *Job) Work() time.Duration {
	work := time.Duration(0)
	for _, task := range job.Tasks {
		work += task.RunTime
	}
	return work
}

// FailureDomains returns where the job may run, in the order of preference, with
// the default filled in.
func (job *Job) FailureDomains(deployment *Deployment) []identifier.FailureDomain {
	if len(job.MayRun) > 0 {
		return job.MayRun
	}
	domains := []identifier.FailureDomain{job.FailureDomain}
	for _, domain := range deployment.FailureDomains {
		if domain != job.FailureDomain {
			domains = append(domains, domain)
		}
	}
	return domains
}

// newEvent returns an empty event of the kind, or nil for one that has no place
// after the first line.
func newEvent(kind Kind) Event {
	switch kind {
	case KindJob:
		return &Job{}
	case KindCancel:
		return &Cancel{}
	case KindExpect:
		return &Expect{}
	}
	return newFault(kind)
}
