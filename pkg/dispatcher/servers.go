package dispatcher

import (
	"github.com/stoathitch/stoathitch/pkg/assessor"
	"github.com/stoathitch/stoathitch/pkg/explainer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// announceServer records a stream that a backend server has opened.
func (dispatcher *Dispatcher) announceServer(input *ServerAnnounced) {
	dispatcher.noteJoined(input)
	dispatcher.cellsOf(input.Server, func(number messenger.CellNumber) {
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
	known.askedAgain = false
	dispatcher.timers.Clear(known.timer(timerServerForget))
	dispatcher.expectHeartbeat(known)
	if restarted {
		dispatcher.loseRestartedTasks(known)
	}
	if cell := dispatcher.cells.Get(known.cell); cell != nil {
		dispatcher.fence(cell, known)
	}
}

// loseRestartedTasks gives up the tasks of a backend server whose process has
// been replaced: it may have run them, and nothing of them is left.
func (dispatcher *Dispatcher) loseRestartedTasks(server *server) {
	for _, task := range dispatcher.tasksOn(server) {
		delete(server.running, task.key())
		dispatcher.endFlight(task)
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

// endSilence asks a server that was silent what became of its tasks. Without the
// report they would stay unknown and fail their jobs although the server has them.
func (dispatcher *Dispatcher) endSilence(server *server) {
	if !server.silent {
		return
	}
	server.silent = false
	if cell := dispatcher.cells.Get(server.cell); cell != nil {
		dispatcher.fence(cell, server)
	}
}

// idleHeartbeats is how many times rarer heartbeats come to a host that does not
// lead the server's cell. It starts nothing there, so it need not notice silence
// soon, and with 250 servers the heartbeats to every host would be most of the
// control's processor time.
const idleHeartbeats = 10

func (dispatcher *Dispatcher) expectHeartbeat(server *server) {
	timeout := dispatcher.Settings.HeartbeatTimeout
	if dispatcher.cells.Get(server.cell) == nil {
		timeout *= idleHeartbeats
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

// loseServer records that a stream has ended. The tasks of the server are unknown
// from now on; the server tells what became of them if it comes back.
func (dispatcher *Dispatcher) loseServer(input *ServerLost) {
	dispatcher.eachView(input.Server, dispatcher.loseView)
}

func (dispatcher *Dispatcher) loseView(server *server) {
	if !server.connected {
		return
	}
	server.connected = false
	server.fenced = false
	dispatcher.timers.Clear(server.timer(timerServerSilence))
	forgetAt := dispatcher.now.Add(dispatcher.Settings.AnswerRetention)
	dispatcher.timers.Set(server.timer(timerServerForget), forgetAt)
	dispatcher.suspectTasks(server)
	if cell := dispatcher.cells.Get(server.cell); cell != nil {
		dispatcher.endWait(cell, server)
	}
}

// silenceServer handles a server that keeps its connection but sends no
// heartbeats: it gets no new work and its tasks count as unknown.
func (dispatcher *Dispatcher) silenceServer(key serverKey) {
	server := dispatcher.servers.Get(key)
	if server == nil || !server.connected {
		return
	}
	server.silent = true
	dispatcher.suspectTasks(server)
}

func (dispatcher *Dispatcher) suspectTasks(server *server) {
	dispatcher.refreshSlots(server)
	for _, task := range dispatcher.tasksOn(server) {
		dispatcher.markUnknown(task)
	}
}

// markUnknown notes that nobody can tell what became of a task. It is never
// started again; its job fails unless the server returns in time.
func (dispatcher *Dispatcher) markUnknown(task *task) {
	task.state = taskUnknown
	dispatcher.noteTask(explainer.KindUnknown, task, "")
	if task.job.state == jobFinished {
		dispatcher.endFlight(task)
		return
	}
	task.unknownUntil = dispatcher.now.Add(dispatcher.Settings.UnknownTaskWait)
	dispatcher.awaitUnknown(task.job)
}

// awaitUnknown sets the job's timer to the first of its tasks that fails it. A
// later unknown task must not postpone an earlier one: with servers that come and
// go the job would never end.
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
