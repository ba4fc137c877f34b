package allocator

import (
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// LeadOverloaded is the detail of a request that is turned away because this host is overloaded.
const LeadOverloaded = "the lead is overloaded"

// rejectOverloaded rejects a new job because its host or this one is overloaded, and reports whether it
// did. If this host is, the job is handed to another cell where there is room for the whole of it.
//
// It handles only jobs of which nothing can have started: the caller's host answers "not run". While
// some host may still report runs of an earlier lead, that is not known.
func (allocator *Allocator) rejectOverloaded(job *job, input *CapacityRequested) bool {
	hostOverloaded, leadOverloaded := input.Request.RetryAfter > 0, input.RetryAfter > 0
	if !hostOverloaded && !leadOverloaded || !allocator.provablyNew(job) {
		return false
	}
	if hostOverloaded {
		allocator.reject(job, messenger.ReasonOverloaded, "the host that received the job is overloaded", input.Request.RetryAfter)
		return true
	}
	if !allocator.handOffWhole(job) {
		allocator.reject(job, messenger.ReasonOverloaded, LeadOverloaded, input.RetryAfter)
	}
	return true
}

// provablyNew reports whether no run of a job can have started, for this request or an earlier one.
func (allocator *Allocator) provablyNew(job *job) bool {
	request := &job.request
	return allocator.runsReported && !job.grantedBefore && len(request.ActiveRuns) == 0 && !request.Partial &&
		allocator.handoffs.Get(request.Job) == nil
}

// handOffWhole hands a job to a cell that has room for all its tasks now, preferably in this failure
// domain, and reports whether there is one.
func (allocator *Allocator) handOffWhole(job *job) bool {
	if job.request.HandedOff || allocator.evacuated() {
		return false
	}
	var chosen messenger.CellRef
	var chosenRemote *remote
	allocator.remotes.Each(func(cell messenger.CellRef, remote *remote) bool {
		if !allocator.hasRoomNow(cell, remote, len(job.tasks)) {
			return true
		}
		if chosenRemote == nil || cell.FailureDomain == allocator.FailureDomain {
			chosen, chosenRemote = cell, remote
		}
		return cell.FailureDomain != allocator.FailureDomain
	})
	if chosenRemote == nil {
		return false
	}
	handedOff := handoff{cell: chosen}
	for index := range job.tasks {
		handedOff.tasks = append(handedOff.tasks, job.tasks[index].requested.Task)
		chosenRemote.consumeRelease()
	}
	allocator.handOff(job, handedOff)
	job.closed = true
	allocator.dropIfOver(job)
	return true
}

// hasRoomNow reports whether another cell has room for a number of tasks as soon as its lead is asked.
func (allocator *Allocator) hasRoomNow(cell messenger.CellRef, remote *remote, tasks int) bool {
	if remote.host == "" || allocator.evacuations.Has(cell.FailureDomain) || !allocator.hasFreshNotice(remote) || len(remote.releases) < tasks {
		return false
	}
	var last identifier.Moment
	for _, release := range remote.releases[:tasks] {
		last = max(last, release)
	}
	return last.Due(allocator.now.Add(allocator.Settings.RemoteDelay))
}
