package tracer

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Event is one line of a trace after the first. Only the structs of this package
// implement it.
type Event interface {
	// Kind returns the kind of the event, which is written to the field "event".
	Kind() Kind
	// Moment returns the time of the event as an offset from the start of the trace.
	Moment() identifier.Moment

	read(reader *fieldReader)
	write(writer *fieldWriter)
	check(directory *directory) *Error
}

// Trace is a deployment and the events in it, ordered by time.
type Trace struct {
	Deployment Deployment
	Events     []Event
}

// Head holds the time of an event, the field that all events have.
type Head struct {
	At identifier.Moment
}

// Moment returns the time of the event as an offset from the start of the trace.
func (head *Head) Moment() identifier.Moment { return head.At }

// Job is a request that submits a job. A later Job with the same submission is a
// resend; the same job under a new submission is a resubmission.
type Job struct {
	Head
	Job           identifier.JobID
	Submission    identifier.SubmissionID
	Caller        identifier.CallerID
	Team          identifier.TeamID
	Class         identifier.ClassName
	FailureDomain identifier.FailureDomain
	// EntryHost is the host that the platform's load balancer sent the job to.
	// Empty means any living entry host of the failure domain, or of another one
	// if this one has none.
	EntryHost  identifier.HostID
	Repeatable bool
	// MayRun lists the allowed failure domains in order of preference. Empty means
	// the default: FailureDomain first, then the others.
	MayRun []identifier.FailureDomain
	// Deadline is identifier.Never for a job without a deadline.
	Deadline identifier.Moment
	Tasks    []Task
}

// Task is one task of a job. RunTime is its real run time, DeclaredRunTime the run time
// that the caller declared.
type Task struct {
	RunTime         time.Duration
	DeclaredRunTime time.Duration
}

// Cancel is the cancellation of a submission by its caller.
type Cancel struct {
	Head
	Submission identifier.SubmissionID
}

// Expect is an assertion that is checked at the end of the replay: either the
// outcome of one submission, if Submission is set, or an upper bound on a figure.
type Expect struct {
	Head
	Submission identifier.SubmissionID
	Outcome    Outcome
	Figure     Figure
	AtMost     float64
}

// Kind returns KindJob.
func (job *Job) Kind() Kind { return KindJob }

// Kind returns KindCancel.
func (cancel *Cancel) Kind() Kind { return KindCancel }

// Kind returns KindExpect.
func (expect *Expect) Kind() Kind { return KindExpect }

// NamesSubmission reports whether the expectation is about one submission rather
// than about a figure.
func (expect *Expect) NamesSubmission() bool { return expect.Submission != "" }

// LongestRunTime returns the longest real run time among the job's tasks.
func (job *Job) LongestRunTime() time.Duration {
	longest := time.Duration(0)
	for _, task := range job.Tasks {
		longest = max(longest, task.RunTime)
	}
	return longest
}

// TotalRunTime returns the sum of the real run times of the job's tasks.
func (job *Job) TotalRunTime() time.Duration {
	work := time.Duration(0)
	for _, task := range job.Tasks {
		work += task.RunTime
	}
	return work
}

// FailureDomains returns the failure domains that the job may run in, in order of
// preference; it applies the default if MayRun is empty.
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

// newEvent returns an empty event of the kind, or nil for KindDeployment, which is
// allowed on the first line only.
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
