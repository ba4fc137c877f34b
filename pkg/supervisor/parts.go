package supervisor

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// partNumber names one part of a job, from 1.
type partNumber int

// part is the tasks of a job for which one cell is asked for room. A job begins as one
// part; a lead that has room for some of its tasks only sends the host to other leads
// for the rest. The caller gets one answer, when all parts are done.
type part struct {
	number partNumber
	// lead is the host that was asked for room, empty while nobody is; cell is what it
	// leads.
	lead identifier.HostID
	cell messenger.CellRef
	// ask numbers the request that the lead has.
	ask messenger.AskNumber
	// heard tells that the lead has answered the request.
	heard bool
	// silentFrom is since when nothing may be heard from the lead before it counts as
	// silent.
	silentFrom identifier.Moment
	// granted tells that a start of some run may have gone out.
	granted bool
	// tried are the cells whose leads were asked.
	tried map[messenger.CellRef]bool
	// vouched is the cell that a lead which knows the job has sent the part to.
	vouched messenger.CellRef
	// awaitsHome tells that only the lead of the job's home may go on with the part.
	awaitsHome bool
}

func (job *job) addPart() *part {
	job.lastPart++
	created := &part{number: job.lastPart, tried: make(map[messenger.CellRef]bool)}
	job.parts = append(job.parts, created)
	return created
}

func (job *job) part(number partNumber) *part {
	index := slices.IndexFunc(job.parts, func(part *part) bool { return part.number == number })
	if index < 0 {
		return nil
	}
	return job.parts[index]
}

// granted tells whether a start of some run of the job may have gone out.
func (job *job) granted() bool {
	return job.begun || slices.ContainsFunc(job.parts, func(part *part) bool { return part.granted })
}

// knownNotToRun tells whether no run of the job may have started, under this sending or an earlier
// one. Only the leads that were asked know of earlier ones.
func (job *job) knownNotToRun() bool {
	unheard := func(part *part) bool { return !part.heard }
	return !job.granted() && !job.sentBefore && !slices.ContainsFunc(job.parts, unheard)
}

// asksAt tells whether another part is asked for at a cell. A lead that is asked twice for
// a job takes the second request for the job sent again.
func (job *job) asksAt(cell messenger.CellRef, but *part) bool {
	return job.partAsking(cell, but) != nil
}

// answered returns the part that a lead answers for, or nil where it answers an earlier
// request. A slow lead's answer to a request that was taken back may come after the same
// lead was asked again; if it counted, a task could stand in two parts and run twice.
func (supervisor *Supervisor) answered(id identifier.JobID, from identifier.HostID, cell messenger.CellNumber, ask messenger.AskNumber) (*job, *part) {
	job, part := supervisor.partAt(id, from, cell)
	if part != nil && part.ask != ask {
		return job, nil
	}
	return job, part
}

// partAt returns the part for which a lead was asked, or nil.
func (supervisor *Supervisor) partAt(id identifier.JobID, from identifier.HostID, cell messenger.CellNumber) (*job, *part) {
	job := supervisor.jobs.Get(id)
	if job == nil {
		return nil, nil
	}
	for _, part := range job.parts {
		if part.lead == from && part.cell.Cell == cell {
			return job, part
		}
	}
	return job, nil
}

func silenceTimer(job *job, part *part) timerKey {
	return timerKey{kind: timerSilence, job: job.spec.Job, part: part.number}
}

// askElsewhere asks a lead that was not asked yet, one of the own failure domain first.
// A part with runs stays with its cell: another lead doesn't know the order of epochs at
// the servers that have them, and would fence their own lead off.
func (supervisor *Supervisor) askElsewhere(job *job, part *part) bool {
	other, found := supervisor.otherCell(job, part)
	if found {
		supervisor.ask(job, part, supervisor.leadOf(other), other)
	}
	return found
}

// otherCell returns the cell that is asked next for a part, and false where there is none.
func (supervisor *Supervisor) otherCell(job *job, part *part) (messenger.CellRef, bool) {
	var found messenger.CellRef
	if part.granted {
		return found, false
	}
	supervisor.leads.Each(func(cell messenger.CellRef, lead *lead) bool {
		if lead.host != "" && !part.tried[cell] && !job.asksAt(cell, part) && !supervisor.evacuations.Has(cell.FailureDomain) {
			if found.FailureDomain == "" || cell.FailureDomain == supervisor.FailureDomain {
				found = cell
			}
		}
		return true
	})
	return found, found.FailureDomain != ""
}

// ask sends a lead a request for all that a part still needs.
func (supervisor *Supervisor) ask(job *job, part *part, lead identifier.HostID, cell messenger.CellRef) {
	part.lead = lead
	part.cell = cell
	part.heard = false
	part.tried[cell] = true
	part.silentFrom = supervisor.now
	job.lastAsk++
	part.ask = job.lastAsk
	part.awaitsHome = false
	request := supervisor.requestFor(job, part, cell)
	supervisor.timers.Set(silenceTimer(job, part), supervisor.now.Add(supervisor.Settings.LeadSilence))
	supervisor.emit(&AskRoom{To: lead, Request: request})
	supervisor.decided(messenger.Decision{
		Kind: messenger.DecisionAsked, Job: job.spec.Job, Host: lead, Tasks: len(request.Tasks), Elapsed: request.Elapsed,
	})
}

// requestFor is a request to the lead of a cell for all that a part still needs.
func (supervisor *Supervisor) requestFor(job *job, part *part, cell messenger.CellRef) messenger.RoomRequest {
	request := messenger.RoomRequest{
		Job: job.spec.Job, Cell: cell.Cell, Service: job.spec.Service, Queue: job.spec.Queue, Urgency: job.spec.Urgency,
		Attempts: job.spec.Attempts, Label: job.spec.Label, Near: job.spec.Near, PerServer: job.spec.PerServer,
		Elapsed: supervisor.now.Sub(job.arrivedAt), Stretch: job.spec.Stretch, Allowance: job.spec.Allowance,
		Remaining: job.deadline.Sub(supervisor.now), HandedOver: cell != supervisor.homeOf(job) || len(part.tried) > 1, Part: len(job.parts) > 1,
		RunsBelow: job.lastRun, Ask: part.ask,
		Unvouched: cell != supervisor.homeOf(job) && cell != part.vouched && !part.granted,
	}
	for index := range job.tasks {
		task := &job.tasks[index]
		switch {
		case task.done || task.part != part:
		case task.start != nil:
			request.Held = append(request.Held, messenger.HeldRun{
				RoomTask: job.spec.Tasks[index], Run: task.start.Run.Run, Server: task.start.Server, Address: task.start.Address,
			})
		default:
			request.Tasks = append(request.Tasks, job.spec.Tasks[index])
		}
	}
	return request
}

// askOther follows a lead that sends a part, or some of its tasks, to another cell.
func (supervisor *Supervisor) askOther(job *job, part *part, answer *messenger.RoomAnswer) {
	lead := supervisor.leadOf(answer.Other)
	if lead == "" {
		supervisor.refuse(job, messenger.ReasonNoBackendServer, "the lead that has room is gone", answer.RetryAfter)
		return
	}
	if len(answer.Tasks) > 0 {
		part = supervisor.splitOff(job, part, answer)
	}
	if there := job.partAsking(answer.Other, part); there != nil {
		supervisor.join(job, part, there)
		return
	}
	if !answer.Unvouched {
		part.vouched = answer.Other
	}
	supervisor.ask(job, part, lead, answer.Other)
}

// partAsking returns the other part that is asked for at a cell, or nil.
func (job *job) partAsking(cell messenger.CellRef, but *part) *part {
	for _, part := range job.parts {
		if part != but && part.lead != "" && part.cell == cell {
			return part
		}
	}
	return nil
}

// leaveEvacuated asks elsewhere for the tasks that a lead sends back because nothing starts in its
// failure domain.
func (supervisor *Supervisor) leaveEvacuated(job *job, part *part, answer *messenger.RoomAnswer) {
	moved := supervisor.splitOff(job, part, answer)
	moved.tried[part.cell] = true
	home := supervisor.homeOf(job)
	if !supervisor.evacuations.Has(home.FailureDomain) && supervisor.giveBack(job, moved) {
		return
	}
	if other, found := supervisor.otherCell(job, moved); found {
		moved.vouched = other
		supervisor.ask(job, moved, supervisor.leadOf(other), other)
		return
	}
	if supervisor.joinAny(job, moved) {
		return
	}
	supervisor.refuse(job, messenger.ReasonNoBackendServer, "every failure domain that is in reach is evacuated", supervisor.Settings.RetryAfter)
}

// joinAny has the tasks of a part wait with those of another one that is not evacuated.
func (supervisor *Supervisor) joinAny(job *job, moved *part) bool {
	for _, part := range job.parts {
		if part != moved && part.lead != "" && !supervisor.evacuations.Has(part.cell.FailureDomain) {
			supervisor.join(job, moved, part)
			return true
		}
	}
	return false
}

// join has the lead of another part take the tasks of a part in, as one request for both.
func (supervisor *Supervisor) join(job *job, moved, to *part) {
	request := supervisor.requestFor(job, moved, to.cell)
	request.Ask = to.ask
	supervisor.emit(&AskRoom{To: to.lead, Request: request})
	for index := range job.tasks {
		if task := &job.tasks[index]; task.part == moved {
			task.part = to
		}
	}
	supervisor.dropPart(job, moved)
}

// splitOff makes a part of its own of the tasks that a lead gives away: it has no runs of them
// any more. A part that has none left is dropped: its lead keeps nothing of it.
func (supervisor *Supervisor) splitOff(job *job, from *part, answer *messenger.RoomAnswer) *part {
	created := job.addPart()
	created.heard = true
	for _, index := range answer.Tasks {
		if int(index) < len(job.tasks) && job.tasks[index].part == from {
			job.tasks[index].part = created
			job.tasks[index].start = nil
		}
	}
	for _, known := range answer.Accounts {
		if int(known.Task) < len(job.tasks) {
			job.spec.Tasks[known.Task].Account.Merge(known.Account)
		}
	}
	if !slices.ContainsFunc(job.tasks, func(task task) bool { return task.part == from }) {
		supervisor.dropPart(job, from)
	}
	return created
}

// leadSilent turns to another lead when nothing at all was heard from the one that was
// asked, as long as nothing of the part has started. A host that is frozen or cut off
// says nothing for seconds, while the caller waits for tenths of one.
//
// A lead that is only slow is waited for. If its jobs went to the other leads as well,
// one busy lead would become four, and most jobs be turned away with room free.
func (supervisor *Supervisor) leadSilent(job *job, part *part) {
	if part.heard || part.granted {
		return
	}
	if part.awaitsHome {
		supervisor.askHomeAgain(job, part)
		return
	}
	if heardAt := supervisor.heardAt[part.lead]; part.lead != "" && part.silentFrom.Before(heardAt) {
		part.silentFrom = supervisor.now
		supervisor.timers.Set(silenceTimer(job, part), supervisor.now.Add(supervisor.Settings.LeadSilence))
		return
	}
	if part.lead != "" {
		supervisor.release(part.lead, part.cell.Cell, job.spec.Job)
		if supervisor.giveBack(job, part) || len(part.tried) < leadsTried && supervisor.askElsewhere(job, part) {
			return
		}
	}
	supervisor.refuse(job, messenger.ReasonNoBackendServer, "no lead answers", supervisor.Settings.RetryAfter)
}

func (supervisor *Supervisor) dropPart(job *job, dropped *part) {
	job.begun = job.begun || dropped.granted
	supervisor.timers.Clear(silenceTimer(job, dropped))
	job.parts = slices.DeleteFunc(job.parts, func(part *part) bool { return part == dropped })
}

// leadsTried is how many silent leads are asked for one job: the failure domain's own
// and one more. Where both are silent, this host is more likely cut off itself.
const leadsTried = 2

// changeLead follows who leads a failure domain. Jobs that were with the former lead
// are asked for again; what they have running is named, so that the new lead knows
// whose runs those are.
func (supervisor *Supervisor) changeLead(input *LeadKnown) {
	changed := lead{host: input.Host, epoch: input.Epoch}
	if known := supervisor.leads.Get(input.Cell); known != nil && *known == changed {
		return
	}
	supervisor.leads.Put(input.Cell, &changed)
	if input.Host == "" {
		supervisor.loseCell(input.Cell)
		return
	}
	for _, id := range supervisor.jobs.Keys() {
		job := supervisor.jobs.Get(id)
		for _, part := range job.parts {
			leadless := part.lead == "" && !part.granted && !job.asksAt(input.Cell, part)
			if part.cell == input.Cell || leadless {
				supervisor.ask(job, part, input.Host, input.Cell)
			}
		}
	}
}

// loseCell gives up the jobs that have runs in another failure domain where nobody leads
// any more, as far as is seen here: it is most likely cut off. Whether they still run
// nobody here can find out in time, and their callers would wait in vain.
func (supervisor *Supervisor) loseCell(cell messenger.CellRef) {
	if cell.FailureDomain == supervisor.FailureDomain {
		return
	}
	for _, id := range supervisor.jobs.Keys() {
		job := supervisor.jobs.Get(id)
		if slices.ContainsFunc(job.parts, func(part *part) bool { return part.cell == cell && part.granted }) {
			supervisor.refuse(job, messenger.ReasonTaskUnknown, "the failure domain that runs the job is out of reach", 0)
		}
	}
}
