package dispatcher

import (
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// transitAllowance is how much later than the truth a moment can be that this
// host worked out from an age in a message, because the message was under way.
const transitAllowance = time.Second

// settleRecovered decides, once the cell is ready, what an admitted job may do:
// ask for the old answer, wait for tasks that run already, or start.
func (dispatcher *Dispatcher) settleRecovered(cell *cell, job *job) {
	recovered, known := cell.recovered[job.spec.Submission]
	found := cell.orphans[job.spec.Submission]
	if known && recovered.record.Answered {
		dispatcher.askHolder(recovered, job)
		return
	}
	if dispatcher.endAcknowledged(cell, job) {
		return
	}
	if known && recovered.knownSince < job.firstForwarded {
		job.firstForwarded = recovered.knownSince
	}
	if known {
		job.forwardedAfter = recovered.boundOf(job)
	}
	mayHaveStarted := known || job.again || job.hasStarted() || found != nil
	if !mayHaveStarted && job.failure == nil {
		dispatcher.beginFresh(cell, job)
		return
	}
	if !job.spec.Repeatable && !job.claimed {
		dispatcher.claimAgain(job)
		return
	}
	if known && recovered.record.SpilledTo != "" && found == nil && job.failure == nil && !job.hasStarted() {
		dispatcher.askSpilled(job, recovered.record.SpilledTo)
		return
	}
	if domain := dispatcher.untoldDomain(cell, job); domain != "" && found == nil && job.failure == nil && !job.hasStarted() {
		dispatcher.askSpilled(job, domain)
		return
	}
	delete(cell.orphans, job.spec.Submission)
	dispatcher.resume(cell, job, found)
}

// askSpilled asks another failure domain for a job that an earlier lead may have
// handed over. Nothing of it is started there or here before the answer: the
// earlier lead may have got a refusal and started it at home.
func (dispatcher *Dispatcher) askSpilled(job *job, spilledTo identifier.FailureDomain) {
	job.again = true
	job.state = jobSpilled
	job.spilledTo = spilledTo
	dispatcher.sendSpill(job, messenger.SpillAsk)
}

// claimAgain asks for the claim of a job that an earlier lead knew. That lead may
// have died before it had the claim; a claim that the submission holds already is
// granted again.
func (dispatcher *Dispatcher) claimAgain(job *job) {
	job.again = true
	job.state = jobAwaitingClaim
	dispatcher.outputs.add(&ClaimWanted{Submission: job.spec.Submission, Caller: job.spec.Caller, Job: job.spec.Job})
}

// resume continues a job that an earlier lead may have started. Tasks that
// backend servers have are waited for. A task that nobody has was not started,
// unless a backend server that could have it has not reported.
func (dispatcher *Dispatcher) resume(cell *cell, job *job, found *orphan) {
	job.state = jobRunning
	job.again = true
	dispatcher.measureJob(cell, job)
	for index := range job.tasks {
		dispatcher.resumeTask(cell, &job.tasks[index], found)
	}
	if job.state == jobFinished {
		return
	}
	if job.failure != nil {
		dispatcher.failJob(job, job.failure.reason, job.failure.detail)
		return
	}
	dispatcher.joinQueue(cell, job)
	dispatcher.keepUnplaced(cell, job)
}

func (dispatcher *Dispatcher) resumeTask(cell *cell, task *task, found *orphan) {
	if task.job.state == jobFinished || task.state != taskQueued {
		return
	}
	if found != nil {
		if answer, answered := found.answers[task.spec.Task]; answered {
			dispatcher.resolve(task, answer.server, answer.answer)
			return
		}
		if running, runs := found.running[task.spec.Task]; runs {
			dispatcher.resumeRunning(cell, task, running)
			return
		}
	}
	if dispatcher.unaccounted(cell, task.job) {
		dispatcher.markUnknown(task)
	}
}

// resumeRunning waits for a task that a backend server has reported as running.
// The server may have gone since: then nobody can tell what became of the task.
func (dispatcher *Dispatcher) resumeRunning(cell *cell, task *task, running orphanTask) {
	task.state = taskStarted
	task.server = running.server
	server := dispatcher.servers.Get(serverKey{cell: cell.number, server: running.server})
	if server == nil || server.incarnation != running.incarnation {
		dispatcher.markUnknown(task)
		return
	}
	server.running[task.key()] = task
	dispatcher.beginFlight(cell, task)
	cell.free.update(server)
	if !server.connected || server.silent {
		dispatcher.markUnknown(task)
	}
}

// unaccounted tells whether a backend server may have been given a task of a job that was
// forwarded before, without this host having its report.
//
// The streams of this host tell nothing about those of an earlier lead: a server
// that is lost here may have been connected there. It can be ruled out only if
// it was leaving already. And a server whose process started after the job was
// forwarded has reported nothing of what the process before it ran. Last, a host
// that has just started may not yet have seen every server that an earlier lead had;
// then every host that may have led must have told which ones it has seen.
func (dispatcher *Dispatcher) unaccounted(cell *cell, job *job) bool {
	since := job.firstForwarded
	young := since < dispatcher.startedAt.Add(dispatcher.Settings.ServerDiscovery)
	unaccounted := young && !dispatcher.serversVouched(cell, job.forwardedAfter)
	dispatcher.servers.Each(func(_ serverKey, server *server) bool {
		if unaccounted || server.cell != cell.number {
			return !unaccounted
		}
		hadLeft := server.leftAt.Add(transitAllowance) < since
		restarted := server.startedAt >= job.forwardedAfter
		if restarted || (!server.fenced && !hadLeft) {
			unaccounted = true
		}
		return !unaccounted
	})
	return unaccounted
}

// keepUnplaced remembers a job with tasks that no reported server has, so that
// they are looked at again with the next report.
func (dispatcher *Dispatcher) keepUnplaced(cell *cell, job *job) {
	if job.hasUnplaced() && !slices.Contains(cell.unplaced, job) {
		cell.unplaced = append(cell.unplaced, job)
	}
}

func (job *job) hasUnplaced() bool {
	return job.state == jobRunning && slices.ContainsFunc(job.tasks, func(task task) bool { return task.unplaced() })
}

// unplaced tells that the task is unknown and that no backend server is known to
// have been given it.
func (task *task) unplaced() bool { return task.state == taskUnknown && task.server == "" }

// placeUnplaced puts unknown tasks back into the queue once every backend server
// that could have been given them has reported without them.
func (dispatcher *Dispatcher) placeUnplaced(cell *cell) {
	jobs := cell.unplaced
	cell.unplaced = nil
	for _, job := range jobs {
		if job.hasUnplaced() && dispatcher.endAcknowledged(cell, job) {
			continue
		}
		if job.hasUnplaced() && !dispatcher.unaccounted(cell, job) {
			dispatcher.queueUnplaced(cell, job)
		}
		dispatcher.keepUnplaced(cell, job)
	}
}

func (dispatcher *Dispatcher) queueUnplaced(cell *cell, job *job) {
	placed := 0
	for index := range job.tasks {
		task := &job.tasks[index]
		if !task.unplaced() {
			continue
		}
		task.state = taskQueued
		placed++
	}
	job.nextQueued = 0
	dispatcher.pushTasks(cell, job, placed)
}
