package allocator

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// noteShare remembers that another cell gives room to tasks of a job, for a sending that comes to
// this one later.
func (allocator *Allocator) noteShare(input *JobGoesElsewhere) {
	var shares []share
	if before := allocator.shares.Get(input.Job); before != nil {
		shares = *before
	}
	shares = append(shares, share{cell: input.Cell, tasks: input.Tasks})
	allocator.shares.Put(input.Job, &shares)
	allocator.timers.Set(timerKey{kind: timerJobForget, job: input.Job}, allocator.now.Add(allocator.Settings.ForgetJob))
}

// Has tells whether the ledger has a job that is asked for at this cell.
func (allocator *Allocator) Has(id identifier.JobID) bool {
	return allocator.timers != nil && allocator.jobs.Get(id) != nil
}

// Knows tells whether a run of a job may be at work that another host than the given one has
// asked for, here or at a cell that the job was sent to.
func (allocator *Allocator) Knows(id identifier.JobID, host identifier.HostID, but messenger.CellRef) bool {
	if allocator.timers == nil {
		return false
	}
	if known := allocator.jobs.Get(id); known != nil {
		return known.from != host
	}
	if allocator.isOrphaned(id) {
		return true
	}
	shares := allocator.shares.Get(id)
	return shares != nil && slices.ContainsFunc(*shares, func(share share) bool { return share.cell != but })
}
