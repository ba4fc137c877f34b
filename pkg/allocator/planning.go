package allocator

import (
	"cmp"
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// plan is when and where the tasks of a job should start.
type plan struct {
	// openings are one for each task, from the longest to the shortest.
	openings []opening
	// wait is how long the last task waits.
	wait   time.Duration
	inTime bool
}

// opening is room for one more task.
type opening struct {
	at identifier.Moment
	// remote is nil for the own cell.
	cell   messenger.CellRef
	remote *remote
}

// plan predicts when some tasks of a job can start, here or at other cells, and whether
// the job would be in time. The tasks stand from the longest to the shortest, and start in
// this order. Room that is free here counts unless it was tried in vain.
func (allocator *Allocator) plan(job *job, tasks []*task, tried bool) plan {
	count := len(tasks)
	if count == 0 || allocator.estimates.milliCPU == 0 && !allocator.evacuated() {
		return plan{inTime: true}
	}
	ahead := allocator.tasksAhead(job)
	spots := 0
	if !tried {
		spots = allocator.spots()
	}
	if spots >= ahead+count {
		return plan{inTime: true}
	}
	openings := allocator.openingsFor(job, count, ahead, spots)
	if len(openings) < count {
		return plan{wait: allocator.usualWait()}
	}
	openings = openings[:count]
	first, last := openings[0].at, openings[count-1].at
	planned := plan{openings: openings, wait: max(last.Sub(allocator.now), 0)}
	if last.Due(allocator.now) {
		planned.inTime = true
		return planned
	}
	shortest := allocator.estimates.runTime(job.request.Queue, tasks[count-1].room.Declared)
	patience := job.dueAt.Sub(job.arrivedAt) / latenessRisked
	lastInTime := last.Add(shortest).Before(job.dueAt.Add(patience))
	firstInTime := first.Due(allocator.now) || !job.startBy.Before(first)
	planned.inTime = lastInTime && firstInTime
	return planned
}

// latenessRisked is the part of a job's time by which it may be late, as predicted, and
// still be let in. Predictions rest on declared times that are off by two fifths, and most
// jobs of which a little lateness is predicted are in time.
const latenessRisked = 4

// tasksAhead counts the tasks without room of jobs that come before a job.
func (allocator *Allocator) tasksAhead(job *job) int {
	ahead := 0
	for _, other := range allocator.waiting {
		if compareWaiting(other, job) < 0 {
			ahead += other.queued
		}
	}
	return ahead
}

// openingsFor lists the room that so many tasks of a job may use, the earliest first: here
// behind the tasks ahead with so many spots free, and at other cells unless one of them sent
// the job here. Room elsewhere counts as later by what the way there costs.
func (allocator *Allocator) openingsFor(job *job, count, ahead, spots int) []opening {
	here := allocator.openings(spots, ahead)
	here = here[:min(len(here), count)]
	openings := make([]opening, 0, len(here))
	for _, at := range here {
		openings = append(openings, opening{at: at})
	}
	if !job.request.HandedOver {
		openings = append(openings, allocator.openingsElsewhere(count)...)
		if len(openings) < count && allocator.evacuated() {
			openings = append(openings, allocator.unheardElsewhere(job, count)...)
		}
		slices.SortStableFunc(openings, func(first, second opening) int { return cmp.Compare(first.at, second.at) })
	}
	return openings
}

// openings lists when room for one more task each should come free here, the earliest
// first, behind a number of tasks, with so many spots free.
func (allocator *Allocator) openings(spots, ahead int) []identifier.Moment {
	if allocator.evacuated() {
		return nil
	}
	openings := make([]identifier.Moment, 0, 2*allocator.servers.Len())
	for range max(spots-ahead, 0) {
		openings = append(openings, allocator.now)
	}
	ahead = max(ahead-spots, 0)
	openings = append(openings, allocator.expectedEnds()...)
	return openings[min(ahead, len(openings)):]
}

// openingsElsewhere lists what other cells told lately, up to a number for each. A cell of
// the own failure domain counts as nearer, as bytes between failure domains are dear.
func (allocator *Allocator) openingsElsewhere(most int) []opening {
	var openings []opening
	allocator.remotes.Each(func(cell messenger.CellRef, remote *remote) bool {
		if remote.host == "" || allocator.evacuations.Has(cell.FailureDomain) || !allocator.heardLately(remote) {
			return true
		}
		way := allocator.Settings.WayElsewhere
		if cell.FailureDomain == allocator.FailureDomain {
			way /= 2
		}
		for _, at := range remote.openings[:min(len(remote.openings), most)] {
			openings = append(openings, opening{at: max(at, allocator.now).Add(way), cell: cell, remote: remote})
		}
		return true
	})
	return openings
}
