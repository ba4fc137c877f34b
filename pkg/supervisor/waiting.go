package supervisor

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// handleLeadTimeout decides what to do about a request that its lead has not answered. Nothing of
// the group has started.
//
// It keeps waiting for a lead that has sent anything since. If the jobs of a slow lead also went to
// the other leads, one overloaded lead would become four, and most jobs would be rejected with
// capacity free.
func (supervisor *Supervisor) handleLeadTimeout(job *job, group *group) {
	if group.answered || group.granted {
		return
	}
	if group.awaitsHome {
		supervisor.retryHome(job, group)
		return
	}
	if respondedAt := supervisor.lastResponseAt[group.lead]; group.lead != "" && group.awaitingSince.Before(respondedAt) {
		group.awaitingSince = supervisor.now
		supervisor.timers.Set(leadTimer(job, group), supervisor.now.Add(supervisor.Settings.LeadTimeout))
		return
	}
	if group.lead != "" && (supervisor.replaceSilentLead(job, group) || supervisor.waitForHome(job, group)) {
		return
	}
	supervisor.refuse(job, messenger.ReasonNoBackendServer, "no lead answers", supervisor.Settings.RetryAfter)
}

// maxLeadsTried is how many silent leads are tried for one group: one in this host's failure
// domain and one more. If both are silent, this host is more likely to be partitioned itself.
const maxLeadsTried = 2

// replaceSilentLead requests capacity for a group from another lead, and reports whether it could.
func (supervisor *Supervisor) replaceSilentLead(job *job, group *group) bool {
	home := supervisor.homeCell(job)
	otherLeft := len(group.tried) < maxLeadsTried && supervisor.mayInquire()
	if group.waitsForHome || group.cell == home && !otherLeft {
		return false
	}
	supervisor.release(group.lead, group.cell.Cell, job.spec.Job)
	return supervisor.returnToHome(job, group) || otherLeft && supervisor.requestElsewhere(job, group)
}

// mayInquire reports whether a job may be requested from a lead that its home has not referred it
// to. That lead queries every host of the home and needs the replies of all of them within tens of
// milliseconds. In a large failure domain some host is always slower, and the queries of all jobs of
// one slow lead would slow down the others.
func (supervisor *Supervisor) mayInquire() bool {
	return supervisor.peers <= supervisor.Settings.MaxInquiredHosts
}

// waitForHome keeps a group waiting for the lead of its home while that lead may still serve it,
// and reports whether it does. The lead is merely slow, or its replacement gets the request.
func (supervisor *Supervisor) waitForHome(job *job, group *group) bool {
	until := supervisor.waitsUntil(job)
	home := supervisor.homeCell(job)
	lead := supervisor.leadOf(home)
	if until.Due(supervisor.now) || lead == "" {
		return false
	}
	if group.cell != home {
		if job.hasOtherGroupAt(home, group) {
			return false
		}
		supervisor.sendRequest(job, group, lead, home)
	}
	group.waitsForHome = true
	supervisor.timers.Set(leadTimer(job, group), until)
	return true
}

// waitsUntil returns until when a job waits for a silent lead: as long as its longest task may still
// end before the deadline, and not beyond the silence after which this host counts as cut off.
func (supervisor *Supervisor) waitsUntil(job *job) identifier.Moment {
	until := job.deadline.Add(-job.longestTask())
	if supervisor.silentSince != identifier.Never {
		until = identifier.Earlier(until, supervisor.silentSince.Add(supervisor.Settings.MaxSilence))
	}
	return until
}

// longestTask returns the longest declared run time of the tasks that are not done.
func (job *job) longestTask() time.Duration {
	longest := time.Duration(0)
	for index := range job.spec.Tasks {
		if !job.tasks[index].done {
			longest = max(longest, job.spec.Tasks[index].Declared)
		}
	}
	return longest
}

// recordRequest records that a lead has to answer.
func (supervisor *Supervisor) recordRequest() {
	supervisor.silentSince = identifier.Earlier(supervisor.silentSince, supervisor.now)
}

// recordResponse records that a lead has sent something.
func (supervisor *Supervisor) recordResponse(from identifier.HostID) {
	supervisor.lastResponseAt[from] = supervisor.now
	supervisor.silentSince = identifier.Never
}
