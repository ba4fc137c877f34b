package allocator

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// recordHandoff remembers that another cell grants capacity to tasks of a job, for a submission
// that comes to this cell later.
func (allocator *Allocator) recordHandoff(input *JobHandedOff) {
	var handoffs []handoff
	if before := allocator.handoffs.Get(input.Job); before != nil {
		handoffs = *before
	}
	handoffs = append(handoffs, handoff{cell: input.Cell, tasks: input.Tasks})
	allocator.handoffs.Put(input.Job, &handoffs)
	allocator.timers.Set(timerKey{kind: timerJobForget, job: input.Job}, allocator.now.Add(allocator.Settings.ForgetJob))
}

// Has reports whether a job is requested at this cell.
func (allocator *Allocator) Has(id identifier.JobID) bool {
	return allocator.timers != nil && allocator.jobs.Get(id) != nil
}

// MayRunFor reports whether a run of a job may be at work that another host than the given one has
// requested, here or at a cell that the job was handed to, apart from the cell but.
func (allocator *Allocator) MayRunFor(id identifier.JobID, host identifier.HostID, but messenger.CellRef) bool {
	if allocator.timers == nil {
		return false
	}
	if known := allocator.jobs.Get(id); known != nil {
		return known.from != host
	}
	if allocator.hasUnclaimedRuns(id) {
		return true
	}
	handoffs := allocator.handoffs.Get(id)
	return handoffs != nil && slices.ContainsFunc(*handoffs, func(handedOff handoff) bool { return handedOff.cell != but })
}
