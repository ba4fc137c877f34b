package dispatcher

import (
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// announceServer records a stream that a backend server has opened.
func (dispatcher *Dispatcher) announceServer(input *ServerAnnounced) {
	known := dispatcher.servers.Get(input.Server)
	if known == nil {
		known = &server{
			id:      input.Server,
			cell:    messenger.CellOfServer(input.Server, dispatcher.Settings.Cells),
			running: make(map[TaskKey]*task),
		}
		dispatcher.servers.Put(input.Server, known)
	}
	restarted := known.incarnation != 0 && known.incarnation != input.Incarnation
	known.incarnation = input.Incarnation
	known.rack = input.Rack
	known.slots = input.Slots
	known.leaving = input.Leaving
	known.connected = true
	known.silent = false
	known.refusedFull = false
	dispatcher.timers.Clear(timerKey{kind: timerServerForget, server: known.id})
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
	server := dispatcher.servers.Get(input.Server)
	if server == nil || !server.connected {
		return
	}
	dispatcher.expectHeartbeat(server)
	server.silent = false
	server.refusedFull = false
	dispatcher.refreshSlots(server)
}

func (dispatcher *Dispatcher) expectHeartbeat(server *server) {
	due := dispatcher.now.Add(dispatcher.Settings.HeartbeatTimeout)
	dispatcher.timers.Set(timerKey{kind: timerServerSilence, server: server.id}, due)
}

func (dispatcher *Dispatcher) refreshSlots(server *server) {
	if cell := dispatcher.cells.Get(server.cell); cell != nil {
		cell.free.update(server)
	}
}

func (dispatcher *Dispatcher) markLeaving(input *ServerLeaving) {
	if server := dispatcher.servers.Get(input.Server); server != nil {
		server.leaving = true
		dispatcher.refreshSlots(server)
	}
}

// loseServer records that a stream has ended. The tasks of the server are unknown
// from now on; the server tells what became of them if it comes back.
func (dispatcher *Dispatcher) loseServer(input *ServerLost) {
	server := dispatcher.servers.Get(input.Server)
	if server == nil || !server.connected {
		return
	}
	server.connected = false
	server.fenced = false
	dispatcher.timers.Clear(timerKey{kind: timerServerSilence, server: server.id})
	forgetAt := dispatcher.now.Add(dispatcher.Settings.AnswerRetention)
	dispatcher.timers.Set(timerKey{kind: timerServerForget, server: server.id}, forgetAt)
	dispatcher.suspectTasks(server)
	if cell := dispatcher.cells.Get(server.cell); cell != nil {
		delete(cell.awaitedServers, server.id)
		dispatcher.finishTakeoverIfComplete(cell)
	}
}

// silenceServer handles a server that keeps its connection but sends no
// heartbeats: it gets no new work and its tasks count as unknown.
func (dispatcher *Dispatcher) silenceServer(id identifier.BackendServerID) {
	server := dispatcher.servers.Get(id)
	if server == nil || !server.connected {
		return
	}
	server.silent = true
	dispatcher.suspectTasks(server)
}

func (dispatcher *Dispatcher) suspectTasks(server *server) {
	server.lostAt = dispatcher.now
	dispatcher.refreshSlots(server)
	for _, task := range dispatcher.tasksOn(server) {
		dispatcher.markUnknown(task)
	}
}

// markUnknown notes that nobody can tell what became of a task. It is never
// started again; its job fails unless the server returns in time.
func (dispatcher *Dispatcher) markUnknown(task *task) {
	task.state = taskUnknown
	if task.job.state == jobFinished {
		dispatcher.endFlight(task)
		return
	}
	key := timerKey{kind: timerUnknownWait, submission: task.job.spec.Submission}
	due := dispatcher.now.Add(dispatcher.Settings.UnknownTaskWait)
	dispatcher.timers.Set(key, due)
}

func (dispatcher *Dispatcher) forgetServer(id identifier.BackendServerID) {
	if server := dispatcher.servers.Get(id); server != nil && !server.connected {
		dispatcher.servers.Remove(id)
	}
}
