package loader

import "github.com/stoathitch/stoathitch/pkg/identifier"

// Limits bounds what callers may send and what a host holds in memory. What
// exceeds a bound is refused as not run.
type Limits struct {
	// RequestBody is the largest body of one HTTP request.
	RequestBody identifier.Bytes `json:"request-body-bytes"`

	// RequestHeader is the largest header of one HTTP request. A change takes effect
	// at the next start.
	RequestHeader identifier.Bytes `json:"request-header-bytes"`

	// Payload is the largest payload of one task.
	Payload identifier.Bytes `json:"payload-bytes"`

	// TasksPerJob is the largest number of tasks in one job.
	TasksPerJob int `json:"tasks-per-job"`

	// QueuedTasks is the largest number of tasks that wait on this host for a slot.
	QueuedTasks int `json:"queued-tasks"`

	// QueuedPayload is the largest sum of the bodies of the jobs whose callers wait
	// on this host. It bounds the memory that waiting jobs take.
	QueuedPayload identifier.Bytes `json:"queued-bytes"`

	// JobsInMemory is the largest number of jobs that this host remembers, running
	// and answered ones together.
	JobsInMemory int `json:"jobs-in-memory"`
}
