// Package messenger holds the typed messages of the data path: jobs, starts and
// answers as they pass between callers, entry hosts and backend servers. It
// moves nothing itself; pkg/connector does.
package messenger

import (
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Job is what a caller asks to run. Its tasks run in parallel and its answer is
// either complete or marked failed.
type Job struct {
	Submission identifier.SubmissionID `cbor:"1,keyasint"`
	Job        identifier.JobID        `cbor:"2,keyasint"`
	Caller     identifier.CallerID     `cbor:"3,keyasint"`
	Team       identifier.TeamID       `cbor:"4,keyasint"`
	Class      identifier.ClassName    `cbor:"5,keyasint"`
	// Repeatable tells that a resubmission under another id may run again.
	Repeatable bool `cbor:"6,keyasint"`
	// MayRun lists the failure domains in which the job may run, the one that
	// it belongs to (its home) first.
	MayRun []identifier.FailureDomain `cbor:"7,keyasint"`
	Tasks  []Task                     `cbor:"8,keyasint"`
}

// Task is one part of a job.
type Task struct {
	Task            identifier.TaskID `cbor:"1,keyasint"`
	Payload         []byte            `cbor:"2,keyasint"`
	DeclaredRunTime time.Duration     `cbor:"3,keyasint,omitempty"`
}

// WithoutTasks returns the job as it is remembered once it has its answer.
func (job *Job) WithoutTasks() *Job {
	slim := *job
	slim.Tasks = nil
	return &slim
}

// Home returns the failure domain whose lead keeps the record of the job.
func (job *Job) Home() identifier.FailureDomain {
	if len(job.MayRun) == 0 {
		return ""
	}
	return job.MayRun[0]
}

// MayRunIn tells whether the job may run in failureDomain.
func (job *Job) MayRunIn(failureDomain identifier.FailureDomain) bool {
	return slices.Contains(job.MayRun, failureDomain)
}

// SameRequest tells whether other can be a resend of the job: the same caller
// asks for the same job under the same submission id.
func (job *Job) SameRequest(other *Job) bool {
	return job.Caller == other.Caller && job.Job == other.Job
}
