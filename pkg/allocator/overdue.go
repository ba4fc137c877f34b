package allocator

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// A run that goes on for far longer than expected counts against its server before it ends.
// Otherwise a server that lets runs hang, or is slow, would look good until the time of their jobs
// is over, and attract more work meanwhile.
const (
	// slowAfter is the multiple of its expected time after which a run counts against its server.
	// Estimates are off by two fifths, so that hardly a run of a sound server reaches it.
	slowAfter = 3
	// hungAfter is the multiple of its expected time after which a run is stopped and its task
	// started elsewhere. Servers that are merely slow take four times as long.
	hungAfter = 8
	// minOverdue keeps the round trip to a server from counting against it where tasks take a few
	// milliseconds.
	minOverdue = 50 * time.Millisecond
)

func overdueTimer(run *run) timerKey {
	return timerKey{kind: timerRunOverdue, server: run.server, run: run.key}
}

// overdueAfter is the age at which a run has gone on for a multiple of its expected time.
func (run *run) overdueAfter(times time.Duration) time.Duration {
	return max(times*run.expectedTime, minOverdue)
}

// runOverdue counts an overdue run against its server, and stops the run if it goes on. What is
// known of the server must be recent: a lead that was frozen finds all its runs overdue when it
// resumes.
func (allocator *Allocator) runOverdue(id identifier.ServerIncarnation, key messenger.RunKey) {
	server := allocator.servers.Get(id)
	if server == nil {
		return
	}
	run := server.runs[key]
	if run == nil || run.job == nil || run.stopping {
		return
	}
	freshFrom := allocator.now.Add(-2 * allocator.Settings.pollWait())
	if server.silent || !run.confirmed || server.lastResponseAt < freshFrom {
		allocator.timers.Set(overdueTimer(run), allocator.now.Add(allocator.Settings.pollWait()))
		return
	}
	if !run.assessedSlow {
		run.assessedSlow = true
		allocator.assessRun(run, run.job, false, allocator.now.Sub(run.grantedAt))
		allocator.timers.Set(overdueTimer(run), run.grantedAt.Add(run.overdueAfter(hungAfter)))
		return
	}
	allocator.stopHung(run)
}

// stopHung stops a run that hangs, so that its task can be started elsewhere. The task is not
// started before the server confirms that the run is over.
func (allocator *Allocator) stopHung(run *run) {
	task := run.job.task(run.key.Task)
	if task.run != run || task.hung >= run.job.request.Attempts {
		return
	}
	task.hung++
	task.avoid = run.server
	allocator.assessRun(run, run.job, true, allocator.now.Sub(run.grantedAt))
	allocator.stop(run, "it hangs")
}
