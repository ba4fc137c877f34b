package supervisor

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// homeOf is the cell that a job is asked for first. Cells of a failure domain share its
// jobs evenly.
func (supervisor *Supervisor) homeOf(job *job) messenger.CellRef {
	cell := messenger.CellOf(identifier.SubmissionID(job.spec.Job), max(supervisor.Cells, 1))
	return messenger.CellRef{FailureDomain: supervisor.FailureDomain, Cell: cell}
}

// askHome asks the lead of the job's home, or another lead where the home has none.
func (supervisor *Supervisor) askHome(job *job, part *part) {
	home := supervisor.homeOf(job)
	if lead := supervisor.leadOf(home); lead != "" {
		supervisor.ask(job, part, lead, home)
		return
	}
	if supervisor.askElsewhere(job, part) {
		return
	}
	part.lead = ""
	supervisor.timers.Set(silenceTimer(job, part), supervisor.now.Add(supervisor.leadWait(job)))
}

// awaitHome waits for the lead of the job's home, as another host knows an earlier sending of
// the job. Given room elsewhere, its tasks would run beside those of that sending.
func (supervisor *Supervisor) awaitHome(job *job, part *part) {
	part.lead = ""
	part.heard = false
	part.awaitsHome = true
	job.sentBefore = true
	supervisor.timers.Set(silenceTimer(job, part), supervisor.now.Add(supervisor.Settings.HomeRetry))
}

// askHomeAgain asks for a part that waits for its home as if it were new.
func (supervisor *Supervisor) askHomeAgain(job *job, part *part) {
	part.awaitsHome = false
	part.tried = make(map[messenger.CellRef]bool)
	if !supervisor.giveBack(job, part) && !supervisor.askElsewhere(job, part) {
		supervisor.awaitHome(job, part)
	}
}

// leadWait is how long a job waits for somebody to lead: as long as it can still be in
// time. A lost lead is replaced in about a second, all leads after a start of all hosts in
// some 0.1 s; a caller that is told to come back in a second has lost more than that.
func (supervisor *Supervisor) leadWait(job *job) time.Duration {
	longest := time.Duration(0)
	for index := range job.spec.Tasks {
		longest = max(longest, job.spec.Tasks[index].Declared)
	}
	spare := time.Duration(float64(longest)*(job.spec.Stretch-1)) + job.spec.Allowance
	return max(spare, supervisor.Settings.LeadWait)
}

// giveBack asks the lead of the job's home for the tasks of a part whose lead is silent, and
// tells whether it could. The home sent them there by what it had heard lately; a failure
// domain that has been cut off since would else end jobs of which other tasks run.
func (supervisor *Supervisor) giveBack(job *job, part *part) bool {
	home := supervisor.homeOf(job)
	lead := supervisor.leadOf(home)
	if lead == "" || part.tried[home] {
		return false
	}
	_, atHome := supervisor.partAt(job.spec.Job, lead, home.Cell)
	if atHome == nil {
		supervisor.ask(job, part, lead, home)
		return true
	}
	supervisor.join(job, part, atHome)
	return true
}
