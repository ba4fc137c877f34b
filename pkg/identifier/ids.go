// Package identifier holds the named types of ids, units and moments that every
// other package shares. It imports nothing of the project and decides nothing.
package identifier

// SubmissionID identifies one submission of a job. The same id sent again is a resend
// and gets the same answer.
type SubmissionID string

// JobID identifies a job. A job that is sent again under a new SubmissionID is a
// resubmission.
type JobID string

// TaskID identifies a task within one submission.
type TaskID string

// CallerID identifies the caller that submitted a job and may read its answer.
type CallerID string

// TeamID identifies the team whose quota a job is charged to.
type TeamID string

// ClassName names the urgency class of a job.
type ClassName string

// HostID identifies one process of the system (an entry host or a keeper).
type HostID string

// BackendServerID identifies a backend server across its restarts.
type BackendServerID string

// WorkerID identifies a worker, a machine that intents are placed on.
type WorkerID string

// FailureDomain is the name of a failure domain, a group of hosts and backend servers.
type FailureDomain string

// RackID identifies a rack within a failure domain.
type RackID string

// RequestID makes an operator's request idempotent: a resend with the same id
// gets the first answer again.
type RequestID string

// IntentName is the name of an operator's intent.
type IntentName string

// Epoch orders the leads of one cell: a backend server refuses starts from an
// epoch below the highest that it has seen.
type Epoch uint64

// Term orders the leaders of the keepers.
type Term uint64

// LogIndex is a position in the keepers' replicated log; the first entry is 1.
type LogIndex uint64

// ConfigVersion numbers the accepted configurations; the first is 1.
type ConfigVersion uint64

// ConfigRevision is the number that an external source of configurations assigns to its
// documents. Numbers increase, but not always by one. Zero means that there is none.
type ConfigRevision uint64

// Slots counts tasks that a backend server can run at the same moment.
type Slots int

// Bytes is a size in bytes.
type Bytes int64

// MilliCPU is processor capacity in thousandths of a core.
type MilliCPU int64
