package allocator

import (
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// place gives room to waiting tasks, in the order of the waiting jobs. A job behind
// one that finds no room may still get some: its tasks may be smaller.
func (allocator *Allocator) place() {
	if !allocator.changed || len(allocator.waiting) == 0 || allocator.overtaken {
		allocator.changed = false
		return
	}
	allocator.changed = false
	if allocator.evacuated() {
		allocator.moveOn()
		return
	}
	// Placing changes the list.
	waiting := append([]*job(nil), allocator.waiting...)
	misses := 0
	largest := allocator.largestGap()
	for _, job := range waiting {
		if !job.mayFit(largest) {
			continue
		}
		waited := !job.granted
		if !allocator.placeJob(job) {
			misses++
		}
		if waited && job.granted {
			allocator.shareOut(job)
		}
		if misses == placeMisses {
			return
		}
		largest = allocator.largestGap()
	}
}

// largestGap is at least as much as any usable server has free.
func (allocator *Allocator) largestGap() identifier.Resources {
	var largest identifier.Resources
	allocator.servers.Each(func(_ identifier.ServerIncarnation, server *server) bool {
		if allocator.usable(server) {
			largest = largest.Max(server.free())
		}
		return true
	})
	return largest
}

// mayFit tells whether some task of the job that waits is small enough for a gap.
func (job *job) mayFit(gap identifier.Resources) bool {
	for index := range job.tasks {
		if task := &job.tasks[index]; task.queued && task.room.Needs.Fits(gap) {
			return true
		}
	}
	return false
}

// placeMisses is how many waiting jobs may find no room before a search ends. Tasks
// are of similar size, so those behind would find none either.
const placeMisses = 8

// placeJob gives room to the waiting tasks of one job and tells whether all got it.
func (allocator *Allocator) placeJob(job *job) bool {
	if allocator.overtaken {
		return false
	}
	grant := messenger.Grant{Job: job.request.Job, Epoch: allocator.epoch, Cell: allocator.Cell, Ask: job.request.Ask}
	for index := range job.tasks {
		task := &job.tasks[index]
		if !task.queued {
			continue
		}
		server := allocator.roomFor(job, task)
		if task.account.Suspect() {
			server = allocator.loneRoomFor(job, task)
		}
		if server == nil {
			continue
		}
		grant.Runs = append(grant.Runs, allocator.grant(job, task, server))
		allocator.unqueueTask(job, task)
	}
	if len(grant.Runs) == 0 {
		return false
	}
	allocator.takeGranted(job, &grant)
	return job.queued == 0
}

// takeGranted counts granted tasks off the waiting ones and tells the job's host.
func (allocator *Allocator) takeGranted(job *job, grant *messenger.Grant) {
	allocator.markGranted(job)
	allocator.emit(&GrantRoom{To: job.from, Grant: *grant})
	allocator.decided(messenger.Decision{
		Kind: messenger.DecisionGranted, Job: job.request.Job, Run: grant.Runs[0].Run, Server: grant.Runs[0].Server,
		Tasks: len(grant.Runs), Elapsed: allocator.now.Sub(job.arrivedAt), Epoch: allocator.epoch,
	})
}

func (allocator *Allocator) removeWaiting(job *job) {
	for position, other := range allocator.waiting {
		if other == job {
			allocator.waiting = append(allocator.waiting[:position], allocator.waiting[position+1:]...)
			return
		}
	}
}

// roomFor returns the server that a task fits best, or nil: the one on which it
// leaves the least room that no usual task fits. Packing by size decides how much of
// a failure domain can be used, as two tasks fill most of a server. A server near the
// job's data goes first; a job does not wait for one, since many may want the same rack.
func (allocator *Allocator) roomFor(job *job, task *task) *server {
	var best *server
	var bestWaste, bestLoad identifier.MilliCPU
	bestNear := false
	usual := allocator.estimates.usualNeeds().MilliCPU
	allocator.servers.Each(func(id identifier.ServerIncarnation, server *server) bool {
		if !allocator.mayRun(job, task, server) {
			return true
		}
		left := server.free().MilliCPU - task.room.Needs.MilliCPU
		waste := left
		if usual > 0 {
			waste = left % usual
		}
		load := server.used.MilliCPU
		near := server.hasLabel(job.request.Near)
		fitsBetter := waste < bestWaste || waste == bestWaste && load < bestLoad
		if best == nil || near && !bestNear || near == bestNear && fitsBetter {
			best, bestWaste, bestLoad, bestNear = server, waste, load, near
		}
		return true
	})
	return best
}

func (allocator *Allocator) mayRun(job *job, task *task, server *server) bool {
	if !allocator.usable(server) || server.card.Service != job.request.Service || !task.room.Needs.Fits(server.free()) {
		return false
	}
	if server.suspects > 0 && task.account.Suspect() {
		return false
	}
	if server.card.Server == task.avoid || !server.hasLabel(job.request.Label) {
		return false
	}
	return job.request.PerServer == 0 || job.runsOn(server.card.Server) < job.request.PerServer
}

func (job *job) runsOn(server identifier.ServerIncarnation) int {
	count := 0
	for index := range job.tasks {
		if run := job.tasks[index].run; run != nil && run.server == server {
			count++
		}
	}
	return count
}
