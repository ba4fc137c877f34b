package supervisor

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// homeCell returns the job's home, the cell that gets its first request. Jobs spread evenly over
// the cells of a failure domain.
func (supervisor *Supervisor) homeCell(job *job) messenger.CellRef {
	cell := messenger.CellOf(identifier.SubmissionID(job.spec.Job), max(supervisor.Cells, 1))
	return messenger.CellRef{FailureDomain: supervisor.FailureDomain, Cell: cell}
}

// requestFromHome sends the group's request to the lead of the job's home, or to another lead if
// the home has none. Without any lead the group waits for one.
func (supervisor *Supervisor) requestFromHome(job *job, group *group) {
	home := supervisor.homeCell(job)
	if lead := supervisor.leadOf(home); lead != "" {
		supervisor.sendRequest(job, group, lead, home)
		return
	}
	if supervisor.mayInquire() && supervisor.requestElsewhere(job, group) {
		return
	}
	supervisor.waitForLead(job, group)
}

// waitForLead keeps a group until the next lead is known.
func (supervisor *Supervisor) waitForLead(job *job, group *group) {
	group.lead = ""
	supervisor.timers.Set(leadTimer(job, group), supervisor.now.Add(supervisor.leadWait(job)))
}

// awaitHome waits for the lead of the job's home because another host knows an earlier submission
// of the job. Placed elsewhere, its tasks would run at the same time as those of that submission.
func (supervisor *Supervisor) awaitHome(job *job, group *group) {
	group.lead = ""
	group.answered = false
	group.awaitsHome = true
	job.earlierMayHaveStarted = true
	supervisor.timers.Set(leadTimer(job, group), supervisor.now.Add(supervisor.Settings.HomeRetryInterval))
}

// retryHome requests capacity for a group that waits for its home as if the group were new.
func (supervisor *Supervisor) retryHome(job *job, group *group) {
	group.awaitsHome = false
	group.tried = make(map[messenger.CellRef]bool)
	if !supervisor.returnToHome(job, group) && !(supervisor.mayInquire() && supervisor.requestElsewhere(job, group)) {
		supervisor.awaitHome(job, group)
	}
}

// leadWait returns how long a job waits for a lead: as long as it can still be answered in time.
// A lost lead is replaced in about a second, and after a start of all hosts all leads are there
// within some 0.1 s. A refused caller that retries after a second loses more than that.
func (supervisor *Supervisor) leadWait(job *job) time.Duration {
	longestRunTime := time.Duration(0)
	for index := range job.spec.Tasks {
		longestRunTime = max(longestRunTime, job.spec.Tasks[index].Declared)
	}
	slack := time.Duration(float64(longestRunTime)*(job.spec.Stretch-1)) + job.spec.Allowance
	return max(slack, supervisor.Settings.MinLeadWait)
}

// returnToHome sends the tasks of a group whose lead is silent back to the lead of the job's home,
// and reports whether it could. The home referred them there on its last known state. Without the
// return, a failure domain partitioned since then would end jobs whose other tasks are running.
func (supervisor *Supervisor) returnToHome(job *job, group *group) bool {
	home := supervisor.homeCell(job)
	lead := supervisor.leadOf(home)
	if lead == "" || group.tried[home] {
		return false
	}
	_, atHome := supervisor.groupAt(job.spec.Job, lead, home.Cell)
	if atHome == nil {
		supervisor.sendRequest(job, group, lead, home)
		return true
	}
	supervisor.merge(job, group, atHome)
	return true
}
