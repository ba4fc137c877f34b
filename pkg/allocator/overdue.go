package allocator

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// A run that goes on for far longer than expected tells about its server before it ends.
// A server that lets runs hang, or is slow, would else look good until the time of their
// jobs is over, and draw more work meanwhile.
const (
	// slowAfter is after how many times its expected time a run counts against its server.
	// Estimates are off by two fifths, so that hardly a run of a sound server gets there.
	slowAfter = 3
	// hungAfter is after how many times a run is stopped and its task started elsewhere.
	// Servers that are merely slow take four times as long.
	hungAfter = 8
	// minOverdue keeps the way to a server and back from counting against it where tasks
	// take a few milliseconds.
	minOverdue = 50 * time.Millisecond
)

func overdueTimer(run *run) timerKey {
	return timerKey{kind: timerRunOverdue, server: run.server, run: run.key}
}

// overdueAfter is how long a run goes on until that is so many times its expected time.
func (run *run) overdueAfter(times time.Duration) time.Duration {
	return max(times*run.expectedTime, minOverdue)
}

// runOverdue judges a server by a run that goes on for too long, and stops the run if
// that lasts. What is known must be fresh: a lead that was frozen finds all its runs
// overdue when it wakes.
func (allocator *Allocator) runOverdue(id identifier.ServerIncarnation, key messenger.RunKey) {
	server := allocator.servers.Get(id)
	if server == nil {
		return
	}
	run := server.runs[key]
	if run == nil || run.job == nil || run.stopping {
		return
	}
	freshFrom := allocator.now.Add(-2 * allocator.Settings.holdWait())
	if server.silent || !run.confirmed || server.heardAt < freshFrom {
		allocator.timers.Set(overdueTimer(run), allocator.now.Add(allocator.Settings.holdWait()))
		return
	}
	if !run.judgedSlow {
		run.judgedSlow = true
		allocator.judgeRun(run, run.job, false, allocator.now.Sub(run.grantedAt))
		allocator.timers.Set(overdueTimer(run), run.grantedAt.Add(run.overdueAfter(hungAfter)))
		return
	}
	allocator.giveUpHung(run)
}

// giveUpHung stops a run that hangs, so that its task can be started elsewhere. It is
// not started before the server says that the run is over.
func (allocator *Allocator) giveUpHung(run *run) {
	task := run.job.task(run.key.Task)
	if task.run != run || task.hung >= run.job.request.Attempts {
		return
	}
	task.hung++
	task.avoid = run.server
	allocator.judgeRun(run, run.job, true, allocator.now.Sub(run.grantedAt))
	allocator.stop(run, "it hangs")
}
