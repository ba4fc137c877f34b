package supervisor

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// groupNumber numbers the task groups of one job from 1.
type groupNumber int

// group is a task group: the tasks of a job for which capacity is requested from one cell. A job
// starts with one group. A lead with capacity for only some of the tasks refers this host to
// other leads for the rest. The caller gets one answer, when all groups are done.
type group struct {
	number groupNumber
	// lead is the host that received the request, empty while none has; cell is the cell that
	// it leads.
	lead identifier.HostID
	cell messenger.CellRef
	// requestNumber is the number of the request that the lead has.
	requestNumber messenger.RequestNumber
	// answered is set once the lead has answered the request.
	answered bool
	// awaitingSince is the start of the period without any message from the lead, after which
	// the lead counts as silent.
	awaitingSince identifier.Moment
	// granted is set once a start call for some run may have been sent.
	granted bool
	// tried holds the cells whose leads received a request.
	tried map[messenger.CellRef]bool
	// referredTo is the cell to which a lead that knows the job has referred the group.
	referredTo messenger.CellRef
	// awaitsHome is set while only the lead of the job's home may place the group.
	awaitsHome bool
	// waitsForHome is set while the silent lead of the home is waited for and no other lead is tried.
	waitsForHome bool
}

func (job *job) addGroup() *group {
	job.lastGroup++
	created := &group{number: job.lastGroup, tried: make(map[messenger.CellRef]bool)}
	job.groups = append(job.groups, created)
	return created
}

func (job *job) groupByNumber(number groupNumber) *group {
	index := slices.IndexFunc(job.groups, func(group *group) bool { return group.number == number })
	if index < 0 {
		return nil
	}
	return job.groups[index]
}

// granted reports whether a start call for some run of the job may have been sent.
func (job *job) granted() bool {
	return job.startedInDropped || slices.ContainsFunc(job.groups, func(group *group) bool { return group.granted })
}

// provablyNotRun reports whether no run of the job can have started, for this submission or an
// earlier one. Earlier submissions are known only to the leads that received a request, so every
// group needs an answer.
func (job *job) provablyNotRun() bool {
	unanswered := func(group *group) bool { return !group.answered }
	return !job.granted() && !job.earlierMayHaveStarted && !slices.ContainsFunc(job.groups, unanswered)
}

// hasOtherGroupAt reports whether another group has a request at the cell. A lead treats a second
// request for the same job as a resubmission of that job.
func (job *job) hasOtherGroupAt(cell messenger.CellRef, except *group) bool {
	return job.otherGroupAt(cell, except) != nil
}

// groupForAnswer returns the group that a lead's answer belongs to, or nil if the answer is to an
// earlier request. A slow lead may answer a withdrawn request after it has received a new one. If
// that answer counted, a task could be in two groups and run twice.
func (supervisor *Supervisor) groupForAnswer(id identifier.JobID, from identifier.HostID, cell messenger.CellNumber, number messenger.RequestNumber) (*job, *group) {
	job, group := supervisor.groupAt(id, from, cell)
	if group != nil && group.requestNumber != number {
		return job, nil
	}
	return job, group
}

// groupAt returns the group whose request a lead has for one of its cells, or nil.
func (supervisor *Supervisor) groupAt(id identifier.JobID, from identifier.HostID, cell messenger.CellNumber) (*job, *group) {
	job := supervisor.jobs.Get(id)
	if job == nil {
		return nil, nil
	}
	for _, group := range job.groups {
		if group.lead == from && group.cell.Cell == cell {
			return job, group
		}
	}
	return job, nil
}

func leadTimer(job *job, group *group) timerKey {
	return timerKey{kind: timerLeadTimeout, job: job.spec.Job, group: group.number}
}

// requestElsewhere sends the group's request to a lead that has not received it yet, preferably in
// this host's failure domain, and reports whether there was one. A group with runs stays with its
// cell: another lead doesn't know the order of epochs at the servers of these runs, and would
// fence off the servers' own lead.
func (supervisor *Supervisor) requestElsewhere(job *job, group *group) bool {
	other, found := supervisor.nextCell(job, group)
	if found {
		supervisor.sendRequest(job, group, supervisor.leadOf(other), other)
	}
	return found
}

// nextCell returns the cell that gets the group's next request, and false if there is none.
func (supervisor *Supervisor) nextCell(job *job, group *group) (messenger.CellRef, bool) {
	var found messenger.CellRef
	if group.granted {
		return found, false
	}
	supervisor.leads.Each(func(cell messenger.CellRef, lead *lead) bool {
		if lead.host != "" && !group.tried[cell] && !job.hasOtherGroupAt(cell, group) && !supervisor.evacuations.Has(cell.FailureDomain) {
			if found.FailureDomain == "" || cell.FailureDomain == supervisor.FailureDomain {
				found = cell
			}
		}
		return true
	})
	return found, found.FailureDomain != ""
}

// sendRequest requests everything that a group still needs from the lead of a cell.
func (supervisor *Supervisor) sendRequest(job *job, group *group, lead identifier.HostID, cell messenger.CellRef) {
	group.lead = lead
	group.cell = cell
	group.answered = false
	group.tried[cell] = true
	group.awaitingSince = supervisor.now
	job.lastRequest++
	group.requestNumber = job.lastRequest
	group.awaitsHome = false
	group.waitsForHome = false
	supervisor.recordRequest()
	request := supervisor.newRequest(job, group, cell)
	supervisor.timers.Set(leadTimer(job, group), supervisor.now.Add(supervisor.Settings.LeadTimeout))
	supervisor.emit(&RequestCapacity{To: lead, Request: request})
	supervisor.logDecision(messenger.Decision{
		Kind: messenger.DecisionAsked, Job: job.spec.Job, Host: lead, Tasks: len(request.Tasks), Elapsed: request.Elapsed,
	})
}

// newRequest builds the request to the lead of a cell for everything that a group still needs.
func (supervisor *Supervisor) newRequest(job *job, group *group, cell messenger.CellRef) messenger.CapacityRequest {
	request := messenger.CapacityRequest{
		Job: job.spec.Job, Cell: cell.Cell, Service: job.spec.Service, Queue: job.spec.Queue, Urgency: job.spec.Urgency,
		Attempts: job.spec.Attempts, RequiredLabel: job.spec.Label, PreferredLabel: job.spec.Near, MaxTasksPerServer: job.spec.PerServer,
		Elapsed: supervisor.now.Sub(job.arrivedAt), Stretch: job.spec.Stretch, Allowance: job.spec.Allowance,
		Remaining: job.deadline.Sub(supervisor.now), HandedOff: cell != supervisor.homeCell(job) || len(group.tried) > 1, Partial: len(job.groups) > 1,
		HighestRun: job.lastRun, Number: group.requestNumber, RetryAfter: job.retryAfter,
		Unreferred: cell != supervisor.homeCell(job) && cell != group.referredTo && !group.granted,
	}
	for index := range job.tasks {
		task := &job.tasks[index]
		switch {
		case task.done || task.group != group:
		case task.start != nil:
			request.ActiveRuns = append(request.ActiveRuns, messenger.ActiveRun{
				TaskRequest: job.spec.Tasks[index], Run: task.start.Run.Run, Server: task.start.Server, Address: task.start.Address,
			})
		default:
			request.Tasks = append(request.Tasks, job.spec.Tasks[index])
		}
	}
	return request
}

// followReferral sends a group, or some of its tasks, to the cell that its lead refers it to.
func (supervisor *Supervisor) followReferral(job *job, group *group, answer *messenger.CapacityAnswer) {
	lead := supervisor.leadOf(answer.OtherCell)
	if lead == "" {
		supervisor.refuse(job, messenger.ReasonNoBackendServer, "the lead that has room is gone", answer.RetryAfter)
		return
	}
	if len(answer.Tasks) > 0 {
		group = supervisor.splitOff(job, group, answer)
	}
	if other := job.otherGroupAt(answer.OtherCell, group); other != nil {
		supervisor.merge(job, group, other)
		return
	}
	if !answer.Unreferred {
		group.referredTo = answer.OtherCell
	}
	supervisor.sendRequest(job, group, lead, answer.OtherCell)
}

// otherGroupAt returns the group other than except that has a request at a cell, or nil.
func (job *job) otherGroupAt(cell messenger.CellRef, except *group) *group {
	for _, group := range job.groups {
		if group != except && group.lead != "" && group.cell == cell {
			return group
		}
	}
	return nil
}

// moveFromEvacuated requests capacity elsewhere for the tasks that a lead returns because its
// failure domain is evacuated and nothing starts there.
func (supervisor *Supervisor) moveFromEvacuated(job *job, group *group, answer *messenger.CapacityAnswer) {
	moving := supervisor.splitOff(job, group, answer)
	moving.tried[group.cell] = true
	home := supervisor.homeCell(job)
	if !supervisor.evacuations.Has(home.FailureDomain) && supervisor.returnToHome(job, moving) {
		return
	}
	if other, found := supervisor.nextCell(job, moving); found {
		moving.referredTo = other
		supervisor.sendRequest(job, moving, supervisor.leadOf(other), other)
		return
	}
	if supervisor.mergeIntoAny(job, moving) {
		return
	}
	supervisor.refuse(job, messenger.ReasonNoBackendServer, "every failure domain that is in reach is evacuated", supervisor.Settings.RetryAfter)
}

// mergeIntoAny merges a group into another one whose failure domain is not evacuated, and reports
// whether there was one.
func (supervisor *Supervisor) mergeIntoAny(job *job, moving *group) bool {
	for _, group := range job.groups {
		if group != moving && group.lead != "" && !supervisor.evacuations.Has(group.cell.FailureDomain) {
			supervisor.merge(job, moving, group)
			return true
		}
	}
	return false
}

// merge moves the tasks of a group to another group, whose lead then treats both as one request.
func (supervisor *Supervisor) merge(job *job, moving, to *group) {
	request := supervisor.newRequest(job, moving, to.cell)
	request.Number = to.requestNumber
	supervisor.emit(&RequestCapacity{To: to.lead, Request: request})
	for index := range job.tasks {
		if task := &job.tasks[index]; task.group == moving {
			task.group = to
		}
	}
	supervisor.dropGroup(job, moving)
}

// splitOff creates a new group for the tasks that a lead refers elsewhere; the lead has no runs of
// them any more. The old group is dropped if it has no tasks left, as its lead keeps nothing of it.
func (supervisor *Supervisor) splitOff(job *job, from *group, answer *messenger.CapacityAnswer) *group {
	created := job.addGroup()
	created.answered = true
	for _, index := range answer.Tasks {
		if int(index) < len(job.tasks) && job.tasks[index].group == from {
			job.tasks[index].group = created
			job.tasks[index].start = nil
		}
	}
	for _, known := range answer.Accounts {
		if int(known.Task) < len(job.tasks) {
			job.spec.Tasks[known.Task].Account.Merge(known.Account)
		}
	}
	if !slices.ContainsFunc(job.tasks, func(task task) bool { return task.group == from }) {
		supervisor.dropGroup(job, from)
	}
	return created
}

func (supervisor *Supervisor) dropGroup(job *job, dropped *group) {
	job.startedInDropped = job.startedInDropped || dropped.granted
	supervisor.timers.Clear(leadTimer(job, dropped))
	job.groups = slices.DeleteFunc(job.groups, func(group *group) bool { return group == dropped })
}

// handleLeadChanged records the lead of a cell. Groups whose request the former lead had are
// requested again from the new one. The requests list their runs, so that the new lead knows
// which jobs these belong to.
func (supervisor *Supervisor) handleLeadChanged(input *LeadChanged) {
	changed := lead{host: input.Host, epoch: input.Epoch}
	if known := supervisor.leads.Get(input.Cell); known != nil && *known == changed {
		return
	}
	supervisor.leads.Put(input.Cell, &changed)
	if input.Host == "" {
		supervisor.handleCellLost(input.Cell)
		return
	}
	for _, id := range supervisor.jobs.Keys() {
		job := supervisor.jobs.Get(id)
		for _, group := range job.groups {
			waitsForLead := group.lead == "" && !group.granted && !job.hasOtherGroupAt(input.Cell, group)
			if group.cell == input.Cell || waitsForLead {
				supervisor.sendRequest(job, group, input.Host, input.Cell)
			}
		}
	}
}

// handleCellLost ends the jobs that have runs in a cell of another failure domain for which this
// host no longer sees a lead. That failure domain is most likely partitioned. Whether the runs
// continue can't be found out in time, and the callers would wait in vain.
func (supervisor *Supervisor) handleCellLost(cell messenger.CellRef) {
	if cell.FailureDomain == supervisor.FailureDomain {
		return
	}
	for _, id := range supervisor.jobs.Keys() {
		job := supervisor.jobs.Get(id)
		if slices.ContainsFunc(job.groups, func(group *group) bool { return group.cell == cell && group.granted }) {
			supervisor.refuse(job, messenger.ReasonTaskUnknown, "the failure domain that runs the job is out of reach", 0)
		}
	}
}
