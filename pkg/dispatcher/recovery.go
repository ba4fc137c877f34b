package dispatcher

import (
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// transitAllowance bounds the transit time of a message, by which a time that this host computes
// from an age in the message can be too late.
const transitAllowance = time.Second

// settleRecovered decides, once the cell is ready, how an admitted job proceeds: request the old
// answer, wait for tasks that are running already, or start.
func (dispatcher *Dispatcher) settleRecovered(cell *cell, job *job) {
	recovered, known := cell.recovered[job.spec.Submission]
	unmatched := cell.unmatched[job.spec.Submission]
	if known && recovered.record.Answered {
		dispatcher.requestAnswerFromHolder(recovered, job)
		return
	}
	if dispatcher.endAcknowledged(cell, job) {
		return
	}
	if known && recovered.knownSince < job.firstForwarded {
		job.firstForwarded = recovered.knownSince
	}
	if known {
		job.forwardedAfter = recovered.forwardedAfter(job)
	}
	mayHaveStarted := known || job.mayHaveEarlierStarts || job.hasStarted() || unmatched != nil
	spilled := known && recovered.record.SpilledTo != ""
	nothingReported := unmatched == nil && !job.hasStarted()
	silentDomain := dispatcher.domainWithoutReply(cell, job)
	findings := takeoverFindings{
		looksNew: !mayHaveStarted, known: known, located: spilled || !nothingReported || silentDomain != "",
	}
	if dispatcher.endDigested(cell, job, findings) {
		return
	}
	if !mayHaveStarted && job.failure == nil {
		dispatcher.beginFresh(cell, job)
		return
	}
	if !job.spec.Repeatable && !job.claimed {
		dispatcher.claimAgain(job)
		return
	}
	if spilled && nothingReported && job.failure == nil {
		dispatcher.querySpilled(job, recovered.record.SpilledTo)
		return
	}
	if silentDomain != "" && nothingReported && job.failure == nil {
		dispatcher.querySpilled(job, silentDomain)
		return
	}
	delete(cell.unmatched, job.spec.Submission)
	dispatcher.resume(cell, job, unmatched)
}

// querySpilled queries another failure domain for a job that an earlier lead may have spilled.
// Nothing of it is started there or here before the reply: the earlier lead may have received a
// refusal and started the job at home.
func (dispatcher *Dispatcher) querySpilled(job *job, spilledTo identifier.FailureDomain) {
	job.mayHaveEarlierStarts = true
	job.state = jobSpilled
	job.spilledTo = spilledTo
	dispatcher.sendSpill(job, messenger.SpillQuery)
}

// claimAgain requests the claim of a job that an earlier lead knew. That lead may have died before
// it had the claim. A claim that the submission already holds is granted again.
func (dispatcher *Dispatcher) claimAgain(job *job) {
	job.mayHaveEarlierStarts = true
	job.state = jobAwaitingClaim
	dispatcher.outputs.add(&ClaimWanted{Submission: job.spec.Submission, Caller: job.spec.Caller, Job: job.spec.Job})
}

// resume continues a job that an earlier lead may have started. It waits for tasks that backend
// servers have. A task that no server has was not started, unless a backend server that could have
// it has not reported.
func (dispatcher *Dispatcher) resume(cell *cell, job *job, unmatched *unmatchedTasks) {
	job.state = jobRunning
	job.mayHaveEarlierStarts = true
	dispatcher.estimateJob(cell, job)
	for index := range job.tasks {
		dispatcher.resumeTask(cell, &job.tasks[index], unmatched)
	}
	if job.state == jobFinished {
		return
	}
	if job.failure != nil {
		dispatcher.failJob(job, job.failure.reason, job.failure.detail)
		return
	}
	dispatcher.joinQueue(cell, job)
	dispatcher.keepUnlocated(cell, job)
}

func (dispatcher *Dispatcher) resumeTask(cell *cell, task *task, unmatched *unmatchedTasks) {
	if task.job.state == jobFinished || task.state != taskQueued {
		return
	}
	if unmatched != nil {
		if answer, answered := unmatched.answers[task.spec.Task]; answered {
			dispatcher.resolve(task, answer.server, answer.answer)
			return
		}
		if running, runs := unmatched.running[task.spec.Task]; runs {
			dispatcher.resumeRunning(cell, task, running)
			return
		}
	}
	if dispatcher.mayBeOnUnreportedServer(cell, task.job) {
		dispatcher.markUnknown(task)
	}
}

// resumeRunning waits for a task that a backend server has reported as running. If the server was
// lost or restarted since, the state of the task can't be determined.
func (dispatcher *Dispatcher) resumeRunning(cell *cell, task *task, running unmatchedTask) {
	task.state = taskStarted
	task.server = running.server
	server := dispatcher.servers.Get(serverKey{cell: cell.number, server: running.server})
	if server == nil || server.incarnation != running.incarnation {
		dispatcher.markUnknown(task)
		return
	}
	server.running[task.key()] = task
	dispatcher.addInFlight(cell, task)
	cell.free.update(server)
	if !server.connected || server.silent {
		dispatcher.markUnknown(task)
	}
}

// mayBeOnUnreportedServer reports whether a backend server whose report this host lacks may have
// received a task of a job that was forwarded earlier.
//
// The streams of this host say nothing about those of an earlier lead: a server that is lost here
// may have been connected there. It can be ruled out only if it was leaving already. A server whose
// process started after the job was forwarded has reported nothing of what its previous process
// ran. Finally, a host that has just started may not yet have seen every server that an earlier
// lead had; then every host that may have led must have listed the servers it has seen.
func (dispatcher *Dispatcher) mayBeOnUnreportedServer(cell *cell, job *job) bool {
	since := job.firstForwarded
	recentlyStarted := since < dispatcher.startedAt.Add(dispatcher.Settings.ServerDiscovery)
	unreported := recentlyStarted && !dispatcher.allSeenServersKnown(cell, job.forwardedAfter)
	dispatcher.servers.Each(func(_ serverKey, server *server) bool {
		if unreported || server.cell != cell.number {
			return !unreported
		}
		hadLeft := server.leftAt.Add(transitAllowance) < since
		restarted := server.startedAt >= job.forwardedAfter
		if restarted || (!server.fenced && !hadLeft) {
			unreported = true
		}
		return !unreported
	})
	return unreported
}

// keepUnlocated keeps a job with tasks that no reported server has, so that they are checked again
// after the next report.
func (dispatcher *Dispatcher) keepUnlocated(cell *cell, job *job) {
	if job.hasUnlocated() && !slices.Contains(cell.unlocated, job) {
		cell.unlocated = append(cell.unlocated, job)
	}
}

func (job *job) hasUnlocated() bool {
	return job.state == jobRunning && slices.ContainsFunc(job.tasks, func(task task) bool { return task.unlocated() })
}

// unlocated reports whether the task is unknown and no backend server is known to have received it.
func (task *task) unlocated() bool { return task.state == taskUnknown && task.server == "" }

// requeueUnlocated puts unknown tasks back into the queue once every backend server that could have
// received them has reported without them.
func (dispatcher *Dispatcher) requeueUnlocated(cell *cell) {
	jobs := cell.unlocated
	cell.unlocated = nil
	for _, job := range jobs {
		if job.hasUnlocated() && dispatcher.endAcknowledged(cell, job) {
			continue
		}
		if job.hasUnlocated() && !dispatcher.mayBeOnUnreportedServer(cell, job) {
			dispatcher.requeueUnlocatedTasks(cell, job)
		}
		dispatcher.keepUnlocated(cell, job)
	}
}

func (dispatcher *Dispatcher) requeueUnlocatedTasks(cell *cell, job *job) {
	placed := 0
	for index := range job.tasks {
		task := &job.tasks[index]
		if !task.unlocated() {
			continue
		}
		task.state = taskQueued
		placed++
	}
	job.nextQueued = 0
	dispatcher.pushTasks(cell, job, placed)
}
