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
	// releases are the expected releases for the tasks, from the longest task to the shortest.
	releases []expectedRelease
	// wait is how long the last task waits.
	wait   time.Duration
	inTime bool
}

// expectedRelease is capacity for one more task, free now or at a later time.
type expectedRelease struct {
	at identifier.Moment
	// remote is nil for the own cell.
	cell   messenger.CellRef
	remote *remote
}

// plan predicts when some tasks of a job can start, here or at other cells, and whether the job
// would be in time. The tasks are sorted from the longest to the shortest, and start in this order.
// Capacity that is free here counts unless it was tried in vain.
func (allocator *Allocator) plan(job *job, tasks []*task, tried bool) plan {
	count := len(tasks)
	if count == 0 || allocator.estimates.milliCPU == 0 && !allocator.evacuated() {
		return plan{inTime: true}
	}
	ahead := allocator.tasksAhead(job)
	freeSlots := 0
	if !tried {
		freeSlots = allocator.freeSlots()
	}
	if freeSlots >= ahead+count {
		return plan{inTime: true}
	}
	releases := allocator.releasesFor(job, count, ahead, freeSlots)
	if len(releases) < count {
		return plan{wait: allocator.usualWait()}
	}
	releases = releases[:count]
	first, last := releases[0].at, releases[count-1].at
	planned := plan{releases: releases, wait: max(last.Sub(allocator.now), 0)}
	if last.Due(allocator.now) {
		planned.inTime = true
		return planned
	}
	shortest := allocator.estimates.expectedRunTime(job.request.Queue, tasks[count-1].requested.Declared)
	tolerance := job.dueAt.Sub(job.arrivedAt) / toleratedLateness
	lastInTime := last.Add(shortest).Before(job.dueAt.Add(tolerance))
	firstInTime := first.Due(allocator.now) || !job.startBy.Before(first)
	planned.inTime = lastInTime && firstInTime
	return planned
}

// toleratedLateness divides a job's time into the part, a quarter, by which the job may be late, as
// predicted, and still be admitted. Predictions rest on declared times that are off by two fifths,
// and most jobs with a slight predicted lateness are in time.
const toleratedLateness = 4

// tasksAhead counts the queued tasks of the jobs that come before a job.
func (allocator *Allocator) tasksAhead(job *job) int {
	ahead := 0
	for _, other := range allocator.waiting {
		if compareWaiting(other, job) < 0 {
			ahead += other.queued
		}
	}
	return ahead
}

// releasesFor lists the expected releases that a number of tasks of a job may use, the earliest
// first: here, behind the tasks ahead and with a number of free slots, and at other cells unless
// one of them handed the job off to this one. Capacity elsewhere counts as later by the cost of
// going there.
func (allocator *Allocator) releasesFor(job *job, count, ahead, freeSlots int) []expectedRelease {
	here := allocator.expectedReleases(freeSlots, ahead)
	here = here[:min(len(here), count)]
	releases := make([]expectedRelease, 0, len(here))
	for _, at := range here {
		releases = append(releases, expectedRelease{at: at})
	}
	if !job.request.HandedOff {
		releases = append(releases, allocator.remoteReleases(count)...)
		if len(releases) < count && allocator.evacuated() {
			releases = append(releases, allocator.assumedRemoteReleases(job, count)...)
		}
		slices.SortStableFunc(releases, func(first, second expectedRelease) int { return cmp.Compare(first.at, second.at) })
	}
	return releases
}

// expectedReleases lists when capacity for one more task each should come free here, the earliest
// first, behind a number of tasks and with a number of free slots.
func (allocator *Allocator) expectedReleases(freeSlots, ahead int) []identifier.Moment {
	if allocator.evacuated() {
		return nil
	}
	releases := make([]identifier.Moment, 0, 2*allocator.servers.Len())
	for range max(freeSlots-ahead, 0) {
		releases = append(releases, allocator.now)
	}
	ahead = max(ahead-freeSlots, 0)
	releases = append(releases, allocator.expectedEnds()...)
	return releases[min(ahead, len(releases)):]
}

// remoteReleases lists the expected releases of recent notices of other cells, up to a number for
// each cell. A cell of the own failure domain counts as nearer, as traffic between failure domains
// is expensive.
func (allocator *Allocator) remoteReleases(limit int) []expectedRelease {
	var releases []expectedRelease
	allocator.remotes.Each(func(cell messenger.CellRef, remote *remote) bool {
		if remote.host == "" || allocator.evacuations.Has(cell.FailureDomain) || !allocator.hasFreshNotice(remote) {
			return true
		}
		delay := allocator.Settings.RemoteDelay
		if cell.FailureDomain == allocator.FailureDomain {
			delay /= 2
		}
		for _, at := range remote.releases[:min(len(remote.releases), limit)] {
			releases = append(releases, expectedRelease{at: max(at, allocator.now).Add(delay), cell: cell, remote: remote})
		}
		return true
	})
	return releases
}
