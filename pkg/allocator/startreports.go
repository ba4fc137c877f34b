package allocator

import "github.com/stoathitch/stoathitch/pkg/messenger"

// handleStartReport handles the report of a start that was not accepted.
func (allocator *Allocator) handleStartReport(input *StartReported) {
	key := input.Report.RunKey
	job := allocator.jobs.Get(key.Job)
	if job == nil || job.from != input.From {
		return
	}
	task := job.task(key.Task)
	run := task.run
	if run == nil || run.key != key || !run.matchesReport(&input.Report) {
		return
	}
	server := allocator.servers.Get(run.server)
	if server == nil {
		return
	}
	allocator.logDecision(messenger.Decision{
		Kind: messenger.DecisionStartFailed, Job: key.Job, Task: key.Task, Run: key.Run, Server: run.server,
		Reason: input.Report.Outcome.String(), Elapsed: allocator.now.Sub(run.grantedAt),
	})
	if unsettled := input.Report.Unsettled; unsettled != nil {
		allocator.endRun(server, run, input.Report.Outcome.String())
		allocator.awaitEarlierStart(job, task, *unsettled)
		return
	}
	task.avoid = run.server
	switch input.Report.Outcome {
	case messenger.StartUnanswered:
		if run.unsettled == nil && run.server.Dated() {
			allocator.markUnsettled(run, messenger.UnsettledStart{RunKey: key, Server: input.Report.Server, Epoch: input.Report.Epoch})
		}
		allocator.stop(run, "its start got no answer")
		return
	case messenger.StartServerGone:
		allocator.endIncarnation(server, "another incarnation answers")
		return
	case messenger.StartFenced:
		// A start under an earlier lead's epoch, or under the fence of another incarnation, says
		// nothing about this one.
		if input.Report.Epoch == server.fence && !allocator.fencedBySameID(server) {
			allocator.handleFenced(server)
			allocator.poll(server)
		}
	case messenger.StartNoRoom, messenger.StartUnhealthy:
		server.refusesUntil = allocator.now.Add(allocator.Settings.CloseTime)
		allocator.timers.Set(timerKey{kind: timerReopen, server: run.server}, server.refusesUntil)
	case messenger.StartInvalid:
		task.account.Failures = job.request.Attempts
	}
	allocator.endRun(server, run, input.Report.Outcome.String())
}
