package supervisor

import (
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// rememberTime is how long a job that nobody waits for is remembered. A caller whose
// connection broke sends it again after about a second, late ones seconds after that; leads
// remember the numbers of its runs as long.
const rememberTime = 15 * time.Second

// remember keeps a job of which runs may be at work. Its lead stops them, but a lead that
// takes over meanwhile, and has not heard their servers yet, knows nothing of them. If the job
// came again as a new one, its tasks would be placed beside them and run twice; the log would
// show "granted" for a task with no word of the run that this host started before.
func (supervisor *Supervisor) remember(job *job) {
	if job.left == 0 || !job.granted() {
		return
	}
	supervisor.unfinished.Put(job.spec.Job, job)
	supervisor.timers.Set(forgetTimer(job.spec.Job), supervisor.now.Add(rememberTime))
}

// revive goes on with a job that is sent again, and tells whether it was remembered. The leads
// hear of the runs that were started, and tasks that are done stay so.
func (supervisor *Supervisor) revive(input *JobArrived) bool {
	id := input.Job.Job
	job := supervisor.unfinished.Get(id)
	if job == nil || len(job.tasks) != len(input.Job.Tasks) {
		return false
	}
	supervisor.unfinished.Remove(id)
	supervisor.timers.Clear(forgetTimer(id))
	job.spec, job.waiters = input.Job, []WaiterID{input.Waiter}
	job.arrivedAt, job.deadline = supervisor.now, input.Deadline
	supervisor.jobs.Put(id, job)
	supervisor.timers.Set(deadlineTimer(id), input.Deadline)
	supervisor.decided(messenger.Decision{
		Kind: messenger.DecisionArrived, Job: id, Run: job.lastRun, Tasks: job.left, Reason: string(input.Job.Queue),
	})
	for _, part := range job.parts {
		supervisor.askAgain(job, part)
	}
	return true
}

// askAgain asks the lead of the cell that a part was asked for at. Where it has none, a part with
// runs waits for one.
func (supervisor *Supervisor) askAgain(job *job, part *part) {
	part.tried = make(map[messenger.CellRef]bool)
	lead := supervisor.leadOf(part.cell)
	switch {
	case lead != "":
		supervisor.ask(job, part, lead, part.cell)
	case part.granted:
		part.lead = ""
	default:
		supervisor.askHome(job, part)
	}
}

// MayRun tells whether a run of a job may be at work for this host, or may still be granted to it
// by another cell than the given one.
func (supervisor *Supervisor) MayRun(id identifier.JobID, but messenger.CellRef) bool {
	if supervisor.jobs == nil {
		return false
	}
	if supervisor.unfinished.Get(id) != nil {
		return true
	}
	job := supervisor.jobs.Get(id)
	if job == nil {
		return false
	}
	asksAnother := func(part *part) bool { return part.lead != "" && part.cell != but }
	return job.granted() || slices.ContainsFunc(job.parts, asksAnother)
}

func forgetTimer(id identifier.JobID) timerKey { return timerKey{kind: timerForget, job: id} }
