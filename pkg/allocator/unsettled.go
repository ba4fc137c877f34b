package allocator

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// unsettledStart is a start of which a call got no answer and may still arrive.
//
// When the run has ended, its server's process refuses the call. The next process doesn't know the run
// and begins it again when the call arrives, unless it was called under a higher fence before.
type unsettledStart struct {
	call messenger.UnsettledStart
	// arrivesUntil is until when a call may arrive.
	arrivesUntil identifier.Moment
	// awaited is set once the run has ended and its task waits until no call can begin it again.
	awaited bool
	// settled is set once no call can begin the run again.
	settled bool
}

func (allocator *Allocator) newUnsettledStart(call messenger.UnsettledStart) *unsettledStart {
	return &unsettledStart{call: call, arrivesUntil: allocator.now.Add(startTransit - max(call.Age, 0))}
}

// handleStartRepeated records that a start of a run is unsettled. If the run has ended and its task
// waits for capacity, it waits for the start first. If another run was granted since, the host
// withholds it.
func (allocator *Allocator) handleStartRepeated(input *StartRepeated) {
	call := input.Repeat.Start
	job := allocator.jobs.Get(call.RunKey.Job)
	if job == nil || job.from != input.From || !job.hasTask(call.RunKey.Task) {
		return
	}
	task := job.task(call.RunKey.Task)
	switch run := task.run; {
	case run == nil:
		allocator.awaitEarlierStart(job, task, call)
	case run.key == call.RunKey:
		allocator.markUnsettled(run, call)
	}
}

// markUnsettled records that a call for the start of a run got no answer.
func (allocator *Allocator) markUnsettled(run *run, call messenger.UnsettledStart) {
	unsettled := allocator.newUnsettledStart(call)
	if known := run.unsettled; known != nil {
		unsettled.awaited = known.awaited
		unsettled.arrivesUntil = max(unsettled.arrivesUntil, known.arrivesUntil)
	}
	run.unsettled = unsettled
	if run.isAwaited() {
		run.absentAfter = max(run.absentAfter, unsettled.arrivesUntil)
	}
}

// awaitStart keeps a run that has ended until no call can begin it again, and reports whether it does.
func (allocator *Allocator) awaitStart(server *server, ended *run) bool {
	unsettled := ended.unsettled
	if unsettled == nil || unsettled.settled || server.refuses(unsettled) {
		return false
	}
	unsettled.awaited = true
	ended.confirmed = false
	ended.absentAfter = max(unsettled.arrivesUntil, allocator.now)
	allocator.poll(server)
	return true
}

// refuses reports whether a server is known to refuse the calls of an unsettled start. The process that
// ended the run does, and has done so if it answered a later call. A later process does from its first
// answer on, as its fence is higher.
func (server *server) refuses(unsettled *unsettledStart) bool {
	if server.report.Server == unsettled.call.Server {
		return unsettled.arrivesUntil.Before(server.answeredCallAt)
	}
	return server.confirmed && !server.contested && server.fence > unsettled.call.Epoch
}

// awaitEarlierStart makes a task that waits for capacity wait until no call can begin an earlier run of
// it again.
func (allocator *Allocator) awaitEarlierStart(job *job, task *task, call messenger.UnsettledStart) {
	if job.closed || task.done || task.run != nil {
		return
	}
	task.earlierSettled = true
	server := allocator.currentIncarnation(call.Server)
	if server == nil {
		return
	}
	awaited := server.runs[call.RunKey]
	if awaited == nil {
		unsettled := allocator.newUnsettledStart(call)
		if server.refuses(unsettled) {
			return
		}
		awaited = allocator.addAwaitedRun(server, job, task, unsettled)
	}
	allocator.unqueueTask(job, task)
	allocator.assignRun(awaited, job)
	task.run = awaited
	allocator.poll(server)
}

// currentIncarnation returns the last incarnation under the id of a server that has not ended, or else
// the named one, or nil if that is forgotten.
func (allocator *Allocator) currentIncarnation(named identifier.ServerIncarnation) *server {
	current := allocator.servers.Get(named)
	for _, other := range allocator.serverIndex.byID[named.Server()] {
		if !other.retired {
			current = other
		}
	}
	return current
}

// addAwaitedRun adds a run that an unsettled start may begin, or has begun.
func (allocator *Allocator) addAwaitedRun(server *server, job *job, task *task, unsettled *unsettledStart) *run {
	unsettled.awaited = true
	awaited := &run{
		key: unsettled.call.RunKey, server: server.report.Server, needs: task.requested.Needs, job: job, grantedAt: allocator.now,
		absentAfter: max(unsettled.arrivesUntil, allocator.now), unsettled: unsettled, suspect: task.account.IsSuspect(),
	}
	awaited.setExpectedTime(allocator.now, server.runTime(allocator.estimates.expectedRunTime(job.request.Queue, task.requested.Declared)))
	allocator.attach(server, awaited)
	allocator.timers.Set(overdueTimer(awaited), allocator.now.Add(awaited.overdueAfter(slowAfter)))
	if server.silent {
		allocator.timers.Set(lapseTimer(server.report.Server), server.lapsesAt(allocator.now))
	}
	return awaited
}

// isAwaited reports whether the run has ended, and may have begun again or still begin.
func (run *run) isAwaited() bool {
	return run.unsettled != nil && run.unsettled.awaited && !run.confirmed
}

// settleStart records that no call can begin the run any more.
func (run *run) settleStart() {
	if run.unsettled != nil {
		run.unsettled.settled = true
	}
}

// waitForAwaited limits the wait of a call to the time after which the next one can prove that no
// awaited run begins.
func (server *server) waitForAwaited(now identifier.Moment, wait time.Duration) time.Duration {
	for _, run := range server.runs {
		if run.isAwaited() {
			wait = min(wait, max(run.absentAfter.Sub(now), 0)+time.Millisecond)
		}
	}
	return wait
}
