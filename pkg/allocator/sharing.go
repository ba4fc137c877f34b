package allocator

import (
	"cmp"
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// share is the tasks of a job that another cell is asked for.
type share struct {
	cell  messenger.CellRef
	tasks []messenger.TaskIndex
}

// shareOut gives tasks of a job that find no room here to cells that have some, and tells
// whether it did. It gives nothing away where the rest would be late here.
//
// A failure domain at seven tenths of its room has a handful of spots free, and a wide job
// wants them all at once; no cell has room for the whole of it while all together have
// four times as much. It shows as refusals of the widest jobs in calm seconds. Users'
// worth over five days of a deployment with four failure domains of 12 servers each, three
// seeds a day: 0.782 where a job went whole to a cell with room for all of it, 0.812 with
// shares.
//
// A cell is asked for all that it has told of, since its notice may as well be too low:
// leaving one spot gave 0.811, leaving two 0.809. Sharing from 12 ms of predicted waiting
// on, in place of HandOverWait's 4 ms, gave 0.808 in place of 0.809.
func (allocator *Allocator) shareOut(job *job) bool {
	if job.request.HandedOver {
		return false
	}
	wanted := len(job.tasks) - max(allocator.freeFor(job), 0)
	offers, given := allocator.offersFor(wanted)
	if given == 0 {
		return false
	}
	if _, inTime := allocator.predict(job, len(job.tasks)-given); !inTime {
		return false
	}
	for _, offer := range offers {
		given := share{cell: offer.cell}
		for _, task := range job.tasks[:offer.spots] {
			given.tasks = append(given.tasks, task.room.Task)
		}
		offer.remote.notice.Spots -= offer.spots
		allocator.give(job, given)
	}
	return true
}

// offer is the room of another cell that a job may take.
type offer struct {
	cell   messenger.CellRef
	remote *remote
	spots  int
}

// offersFor finds room for a number of tasks at other cells, and tells how many find
// some: at cells of the own failure domain first, as bytes between failure domains are
// dear, then at those with most room, so that few leads are asked.
func (allocator *Allocator) offersFor(wanted int) ([]offer, int) {
	var offers []offer
	allocator.remotes.Each(func(cell messenger.CellRef, candidate *remote) bool {
		fresh := allocator.now.Sub(candidate.heard) <= allocator.Settings.NoticeAge
		if spots := candidate.spare(); candidate.host != "" && fresh && spots > 0 {
			offers = append(offers, offer{cell: cell, remote: candidate, spots: spots})
		}
		return true
	})
	slices.SortStableFunc(offers, func(first, second offer) int {
		return cmp.Or(allocator.distance(first.cell)-allocator.distance(second.cell), second.spots-first.spots)
	})
	given := 0
	for index := range offers {
		offers[index].spots = min(offers[index].spots, wanted-given)
		given += offers[index].spots
		if given == wanted {
			return offers[:index+1], given
		}
	}
	return offers, given
}

// distance is 0 for the own failure domain, 1 for another.
func (allocator *Allocator) distance(cell messenger.CellRef) int {
	if cell.FailureDomain == allocator.FailureDomain {
		return 0
	}
	return 1
}

// give takes tasks off a job and sends its host to another cell for them.
func (allocator *Allocator) give(job *job, given share) {
	job.given = append(job.given, given)
	job.tasks = slices.DeleteFunc(job.tasks, func(task task) bool { return slices.Contains(given.tasks, task.room.Task) })
	allocator.answer(job.from, messenger.RoomAnswer{
		Job: job.request.Job, Kind: messenger.RoomAnswerAskOther, Other: given.cell, Tasks: given.tasks,
	})
	allocator.decided(messenger.Decision{
		Kind: messenger.DecisionHandedOver, Job: job.request.Job, Host: allocator.leadAt(given.cell),
		Reason: string(given.cell.FailureDomain), Tasks: len(given.tasks), Spots: allocator.spots(),
	})
}

// leadAt returns who leads another cell; empty is nobody.
func (allocator *Allocator) leadAt(cell messenger.CellRef) identifier.HostID {
	if known := allocator.remotes.Get(cell); known != nil {
		return known.host
	}
	return ""
}

// giveAgain sends the host of a job that was sent again to the cells that were asked for
// its tasks before. A caller's connection may break while a task runs there; only that
// cell's lead knows, and starts it anew when the run before is over. Given room here, the
// task would run twice at the same time.
func (allocator *Allocator) giveAgain(job *job) {
	before := allocator.shares.Get(job.request.Job)
	if before == nil || job.request.HandedOver {
		return
	}
	for _, given := range *before {
		if allocator.leadAt(given.cell) == "" {
			continue // Whether anything runs there nobody can tell, here or elsewhere.
		}
		given.tasks = slices.DeleteFunc(slices.Clone(given.tasks), func(index messenger.TaskIndex) bool {
			return !slices.ContainsFunc(job.tasks, func(task task) bool { return task.room.Task == index })
		})
		if len(given.tasks) > 0 {
			allocator.give(job, given)
		}
	}
}
