package allocator

import (
	"math"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// place grants capacity to waiting tasks, in the order of the waiting jobs. A job behind one that
// finds no capacity may still get some: its tasks may be smaller.
func (allocator *Allocator) place() {
	if !allocator.retryPlacement || len(allocator.waiting) == 0 || allocator.superseded {
		allocator.retryPlacement = false
		return
	}
	allocator.retryPlacement = false
	if allocator.evacuated() {
		allocator.evacuateWaiting()
		return
	}
	// Placing changes allocator.waiting.
	waiting := append([]*job(nil), allocator.waiting...)
	misses := 0
	largest := allocator.largestFreeCapacity()
	for _, job := range waiting {
		if !job.mayFit(largest) {
			continue
		}
		waited := !job.granted
		if !allocator.placeJob(job) {
			misses++
		}
		if waited && job.granted {
			allocator.handOffTasks(job)
		}
		if misses == maxPlacementMisses {
			return
		}
		largest = allocator.largestFreeCapacity()
	}
}

// largestFreeCapacity is the componentwise maximum of the usable servers' free capacities: no
// server has more of any resource.
func (allocator *Allocator) largestFreeCapacity() identifier.Resources {
	var largest identifier.Resources
	allocator.servers.Each(func(_ identifier.ServerIncarnation, server *server) bool {
		if allocator.usable(server) {
			largest = largest.Max(server.free())
		}
		return true
	})
	return largest
}

// mayFit reports whether some waiting task of the job fits into a free capacity.
func (job *job) mayFit(gap identifier.Resources) bool {
	for index := range job.tasks {
		if task := &job.tasks[index]; task.queued && task.requested.Needs.Fits(gap) {
			return true
		}
	}
	return false
}

// maxPlacementMisses is how many waiting jobs may find no capacity before a search ends. Tasks are
// of similar size, so those behind would find none either.
const maxPlacementMisses = 8

// placeJob grants capacity to the waiting tasks of one job and reports whether all got it.
func (allocator *Allocator) placeJob(job *job) bool {
	if allocator.superseded {
		return false
	}
	grant := messenger.Grant{Job: job.request.Job, Epoch: allocator.epoch, Cell: allocator.Cell, RequestNumber: job.request.Number}
	for index := range job.tasks {
		task := &job.tasks[index]
		if !task.queued {
			continue
		}
		server := allocator.bestServerFor(job, task)
		if task.account.IsSuspect() {
			server = allocator.isolatedServerFor(job, task)
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
	allocator.recordGrant(job, &grant)
	return job.queued == 0
}

// recordGrant marks the job as granted, and sends the grant to the job's host.
func (allocator *Allocator) recordGrant(job *job, grant *messenger.Grant) {
	allocator.markGranted(job)
	allocator.emit(&GrantCapacity{To: job.from, Grant: *grant})
	allocator.logDecision(messenger.Decision{
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

// bestServerFor returns the server that a task fits best, or nil: the one on which it leaves the
// smallest remainder that no usual task fits. As two tasks fill most of a server, packing by size
// determines how much of a failure domain can be used. A server near the job's data comes first,
// but a job does not wait for one, since many may want the same rack.
//
// Where servers differ in speed, those come first on which the task should end by the job's due
// time. If there is none, the task waits for a faster server while its job could be in time on a usual
// one, and gets the fastest after that.
func (allocator *Allocator) bestServerFor(job *job, task *task) *server {
	var best *server
	var bestFit fit
	usual := allocator.estimates.usualNeeds().MilliCPU
	slowest := allocator.slowestInTime(job, task)
	allocator.servers.Each(func(id identifier.ServerIncarnation, server *server) bool {
		if !allocator.mayRun(job, task, server) {
			return true
		}
		left := server.free().MilliCPU - task.requested.Needs.MilliCPU
		waste := left
		if usual > 0 {
			waste = left % usual
		}
		found := fit{
			near: server.hasLabel(job.request.PreferredLabel), late: server.factor > slowest, factor: server.factor,
			waste: waste, load: server.used.MilliCPU,
		}
		if best == nil || found.isBetter(&bestFit) {
			best, bestFit = server, found
		}
		return true
	})
	if best != nil && bestFit.late && allocator.now.Before(job.startBy) {
		allocator.timers.Set(timerKey{kind: timerReopen, job: job.request.Job}, job.startBy)
		return nil
	}
	return best
}

// fit is how well a task fits a server.
type fit struct {
	// near is set if the server is near the job's data.
	near bool
	// late is set if the task should end after the job's due time.
	late   bool
	factor float64
	// waste is the remainder that no usual task fits, load the capacity in use.
	waste, load identifier.MilliCPU
}

func (fit *fit) isBetter(than *fit) bool {
	if fit.near != than.near {
		return fit.near
	}
	if fit.late != than.late {
		return than.late
	}
	if fit.late && fit.factor != than.factor {
		return fit.factor < than.factor
	}
	return fit.waste < than.waste || fit.waste == than.waste && fit.load < than.load
}

// dueReserve is how much longer than expected a task may take on a server that counts as fast enough
// for it: learned factors are off by about a tenth. A larger reserve makes more tasks wait for fast servers.
const dueReserve = 1.1

// slowestInTime is the factor above which a server is too slow for a task to end by the job's due
// time. Where all servers are alike, none is.
func (allocator *Allocator) slowestInTime(job *job, task *task) float64 {
	if !allocator.speedsDiffer {
		return math.Inf(1)
	}
	expected := allocator.estimates.expectedRunTime(job.request.Queue, task.requested.Declared)
	return float64(job.dueAt.Sub(allocator.now)) / (dueReserve * float64(expected))
}

func (allocator *Allocator) mayRun(job *job, task *task, server *server) bool {
	if !allocator.usable(server) || server.report.Service != job.request.Service || !task.requested.Needs.Fits(server.free()) {
		return false
	}
	if server.suspects > 0 && task.account.IsSuspect() {
		return false
	}
	if server.report.Server == task.avoid || !server.hasLabel(job.request.RequiredLabel) {
		return false
	}
	return job.request.MaxTasksPerServer == 0 || job.runsOn(server.report.Server) < job.request.MaxTasksPerServer
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
