// Package messenger defines the typed messages of the data path: jobs, starts and answers
// between callers, entry hosts and backend servers. It sends nothing itself; pkg/connector
// does.
package messenger

import (
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Job is a caller's request to run tasks. They run in parallel, and the job's answer is
// either complete or marked as failed.
type Job struct {
	Submission identifier.SubmissionID `cbor:"1,keyasint"`
	Job        identifier.JobID        `cbor:"2,keyasint"`
	Caller     identifier.CallerID     `cbor:"3,keyasint"`
	Team       identifier.TeamID       `cbor:"4,keyasint"`
	Class      identifier.ClassName    `cbor:"5,keyasint"`
	// Repeatable means that a resubmission under another id may run again.
	Repeatable bool `cbor:"6,keyasint"`
	// MayRun lists the failure domains in which the job may run. The first is the one
	// that it belongs to, its home.
	MayRun []identifier.FailureDomain `cbor:"7,keyasint"`
	Tasks  []Task                     `cbor:"8,keyasint"`
}

// Task is one of the parallel units of work of a job.
type Task struct {
	Task            identifier.TaskID `cbor:"1,keyasint"`
	Payload         []byte            `cbor:"2,keyasint"`
	DeclaredRunTime time.Duration     `cbor:"3,keyasint,omitempty"`
}

// WithoutTasks returns a copy without the tasks, as it is kept once the job has its answer.
func (job *Job) WithoutTasks() *Job {
	withoutTasks := *job
	withoutTasks.Tasks = nil
	return &withoutTasks
}

// Home returns the failure domain whose lead keeps the record of the job, or "" if MayRun
// is empty.
func (job *Job) Home() identifier.FailureDomain {
	if len(job.MayRun) == 0 {
		return ""
	}
	return job.MayRun[0]
}

// MayRunIn reports whether the job may run in failureDomain.
func (job *Job) MayRunIn(failureDomain identifier.FailureDomain) bool {
	return slices.Contains(job.MayRun, failureDomain)
}

// SameRequest reports whether other, received under the same submission id, can be a resend
// of the job: it has the same caller and the same job id.
func (job *Job) SameRequest(other *Job) bool {
	return job.Caller == other.Caller && job.Job == other.Job
}
