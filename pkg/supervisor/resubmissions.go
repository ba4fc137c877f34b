package supervisor

import (
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// retentionTime is how long a job without waiters is retained. A caller whose connection broke
// resubmits after about a second, slow ones seconds later. Leads remember the numbers of the job's
// runs for the same time.
const retentionTime = 15 * time.Second

// retain keeps a removed job while some of its runs may be active. Its lead stops them, but a lead
// that takes over meanwhile, and has received nothing from their servers yet, doesn't know them. If
// the resubmitted job counted as a new one, its tasks would be placed again and run twice. The log
// would show "granted" for a task and not mention the run that this host started before.
func (supervisor *Supervisor) retain(job *job) {
	if job.tasksLeft == 0 || !job.granted() {
		return
	}
	supervisor.retained.Put(job.spec.Job, job)
	supervisor.timers.Set(retentionTimer(job.spec.Job), supervisor.now.Add(retentionTime))
	supervisor.timers.Set(releaseTimer(job.spec.Job), supervisor.now.Add(releaseRepeatTime))
}

// resume continues a resubmitted job, and reports whether the job was retained. The new requests
// list the runs that were started, and completed tasks stay completed.
func (supervisor *Supervisor) resume(input *JobArrived) bool {
	id := input.Job.Job
	job := supervisor.retained.Get(id)
	if job == nil || len(job.tasks) != len(input.Job.Tasks) {
		return false
	}
	supervisor.retained.Remove(id)
	supervisor.timers.Clear(retentionTimer(id))
	supervisor.timers.Clear(releaseTimer(id))
	job.releaseRepeats = 0
	job.spec, job.waiters = input.Job, []WaiterID{input.Waiter}
	job.arrivedAt, job.deadline = supervisor.now, input.Deadline
	supervisor.jobs.Put(id, job)
	supervisor.timers.Set(deadlineTimer(id), input.Deadline)
	supervisor.logDecision(messenger.Decision{
		Kind: messenger.DecisionArrived, Job: id, Run: job.lastRun, Tasks: job.tasksLeft, Reason: string(input.Job.Queue),
	})
	for _, group := range job.groups {
		supervisor.requestAgain(job, group)
	}
	return true
}

// requestAgain repeats a group's request to the lead of its cell. If the cell has no lead, a group
// with runs waits for one, and a group without runs starts over at the job's home.
func (supervisor *Supervisor) requestAgain(job *job, group *group) {
	group.tried = make(map[messenger.CellRef]bool)
	lead := supervisor.leadOf(group.cell)
	switch {
	case lead != "":
		supervisor.sendRequest(job, group, lead, group.cell)
	case group.granted:
		group.lead = ""
	default:
		supervisor.requestFromHome(job, group)
	}
}

// MayRun reports whether a run of a job may be active for this host, or may still be granted to it
// by a cell other than except.
func (supervisor *Supervisor) MayRun(id identifier.JobID, except messenger.CellRef) bool {
	if supervisor.jobs == nil {
		return false
	}
	if supervisor.retained.Get(id) != nil {
		return true
	}
	job := supervisor.jobs.Get(id)
	if job == nil {
		return false
	}
	requestsElsewhere := func(group *group) bool { return group.lead != "" && group.cell != except }
	return job.granted() || slices.ContainsFunc(job.groups, requestsElsewhere)
}

func retentionTimer(id identifier.JobID) timerKey { return timerKey{kind: timerRetention, job: id} }
