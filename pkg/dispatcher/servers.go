package dispatcher

import (
	"github.com/stoathitch/stoathitch/pkg/assessor"
	"github.com/stoathitch/stoathitch/pkg/explainer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// handleServerAnnounced records a stream that a backend server has opened.
func (dispatcher *Dispatcher) handleServerAnnounced(input *ServerAnnounced) {
	dispatcher.recordServerJoined(input)
	dispatcher.eachCellOf(input.Server, func(number messenger.CellNumber) {
		dispatcher.announceToCell(number, input)
	})
}

func (dispatcher *Dispatcher) announceToCell(number messenger.CellNumber, input *ServerAnnounced) {
	key := serverKey{cell: number, server: input.Server}
	known := dispatcher.servers.Get(key)
	if known == nil {
		known = &server{
			id:      input.Server,
			cell:    number,
			allowed: input.Slots,
			leftAt:  identifier.Never,
			running: make(map[TaskKey]*task),

			evacuated: dispatcher.evacuated(),
		}
		dispatcher.servers.Put(key, known)
	}
	restarted := known.incarnation != 0 && known.incarnation != input.Incarnation
	known.incarnation = input.Incarnation
	known.rack = input.Rack
	known.slots = input.Slots
	known.startedAt = dispatcher.now.Add(-input.Uptime)
	if restarted {
		known.leftAt = identifier.Never
	}
	dispatcher.setLeaving(known, input.Leaving)
	known.connected = true
	known.silent = false
	known.refusedFull = false
	known.reportRequestedAgain = false
	dispatcher.timers.Clear(known.timer(timerServerForget))
	dispatcher.expectHeartbeat(known)
	if restarted {
		dispatcher.failTasksOfRestartedServer(known)
	}
	if cell := dispatcher.cells.Get(known.cell); cell != nil {
		dispatcher.fence(cell, known)
	}
}

// failTasksOfRestartedServer fails the jobs of the tasks of a backend server whose process was
// replaced: the old process may have run the tasks, and its results are lost.
func (dispatcher *Dispatcher) failTasksOfRestartedServer(server *server) {
	for _, task := range dispatcher.tasksOn(server) {
		delete(server.running, task.key())
		dispatcher.removeInFlight(task)
		dispatcher.failJob(task.job, messenger.ReasonTaskUnknown,
			"backend server "+string(server.id)+" restarted after it had been told to start task "+string(task.spec.Task))
	}
}

func (dispatcher *Dispatcher) recordHeartbeat(input *ServerHeartbeat) {
	dispatcher.eachView(input.Server, func(server *server) {
		if !server.connected {
			return
		}
		dispatcher.expectHeartbeat(server)
		server.refusedFull = false
		if dispatcher.Settings.SharedServers {
			server.others = max(input.Busy-identifier.Slots(len(server.running)), 0)
		}
		dispatcher.endSilence(server)
		dispatcher.refreshSlots(server)
	})
}

// endSilence requests a report from a server that was silent. Without the report its tasks would
// stay unknown and fail their jobs although the server has them.
func (dispatcher *Dispatcher) endSilence(server *server) {
	if !server.silent {
		return
	}
	server.silent = false
	if cell := dispatcher.cells.Get(server.cell); cell != nil {
		dispatcher.fence(cell, server)
	}
}

// idleHeartbeatFactor is how many times rarer heartbeats are at a host that does not lead the
// server's cell. Such a host starts nothing there, so it need not notice silence soon. With 250
// servers, full-rate heartbeats to every host would take most of the control plane's processor
// time.
const idleHeartbeatFactor = 10

func (dispatcher *Dispatcher) expectHeartbeat(server *server) {
	timeout := dispatcher.Settings.HeartbeatTimeout
	if dispatcher.cells.Get(server.cell) == nil {
		timeout *= idleHeartbeatFactor
	}
	dispatcher.timers.Set(server.timer(timerServerSilence), dispatcher.now.Add(timeout))
}

func (dispatcher *Dispatcher) refreshSlots(server *server) {
	if cell := dispatcher.cells.Get(server.cell); cell != nil {
		cell.free.update(server)
	}
}

func (dispatcher *Dispatcher) markLeaving(input *ServerLeaving) {
	dispatcher.eachView(input.Server, func(server *server) {
		dispatcher.setLeaving(server, true)
		dispatcher.refreshSlots(server)
	})
}

func (dispatcher *Dispatcher) setLeaving(server *server, leaving bool) {
	if leaving && !server.leaving {
		server.leftAt = dispatcher.now
	}
	if !leaving {
		server.leftAt = identifier.Never
	}
	server.leaving = leaving
}

// handleServerLost records that a stream has ended. The tasks of the server are unknown from now
// on; if the server returns, it reports what became of them.
func (dispatcher *Dispatcher) handleServerLost(input *ServerLost) {
	dispatcher.eachView(input.Server, dispatcher.disconnectView)
}

func (dispatcher *Dispatcher) disconnectView(server *server) {
	if !server.connected {
		return
	}
	server.connected = false
	server.fenced = false
	dispatcher.timers.Clear(server.timer(timerServerSilence))
	forgetAt := dispatcher.now.Add(dispatcher.Settings.AnswerRetention)
	dispatcher.timers.Set(server.timer(timerServerForget), forgetAt)
	dispatcher.markTasksUnknown(server)
	if cell := dispatcher.cells.Get(server.cell); cell != nil {
		dispatcher.stopAwaitingReport(cell, server)
	}
}

// markServerSilent handles a server that keeps its connection but sends no heartbeats: it gets no
// new tasks, and its running tasks count as unknown.
func (dispatcher *Dispatcher) markServerSilent(key serverKey) {
	server := dispatcher.servers.Get(key)
	if server == nil || !server.connected {
		return
	}
	server.silent = true
	dispatcher.markTasksUnknown(server)
}

func (dispatcher *Dispatcher) markTasksUnknown(server *server) {
	dispatcher.refreshSlots(server)
	for _, task := range dispatcher.tasksOn(server) {
		dispatcher.markUnknown(task)
	}
}

// markUnknown records that the state of a task can't be determined. The task is never started
// again, and its job fails unless the server returns in time.
func (dispatcher *Dispatcher) markUnknown(task *task) {
	task.state = taskUnknown
	dispatcher.recordTaskStep(explainer.KindUnknown, task, "")
	if task.job.state == jobFinished {
		dispatcher.removeInFlight(task)
		return
	}
	task.unknownUntil = dispatcher.now.Add(dispatcher.Settings.UnknownTaskWait)
	dispatcher.awaitUnknown(task.job)
}

// awaitUnknown sets the job's timer to the earliest expiry among its unknown tasks. A later unknown
// task must not postpone an earlier one: with servers that come and go the job would never end.
func (dispatcher *Dispatcher) awaitUnknown(job *job) {
	key := timerKey{kind: timerUnknownWait, submission: job.spec.Submission}
	due := identifier.Never
	for index := range job.tasks {
		if job.tasks[index].state == taskUnknown {
			due = identifier.Earlier(due, job.tasks[index].unknownUntil)
		}
	}
	dispatcher.timers.Set(key, due)
}

func (dispatcher *Dispatcher) forgetServer(key serverKey) {
	if server := dispatcher.servers.Get(key); server != nil && !server.connected {
		dispatcher.servers.Remove(key)
		dispatcher.outcomes = append(dispatcher.outcomes, &assessor.ServerGone{Server: key.server})
	}
}
