package fake

import (
	"fmt"
	"slices"

	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// server is a fake of one backend server.
type server struct {
	cell    *Cell
	number  int
	running map[dispatcher.TaskKey]bool
	gone    bool
}

func (server *server) id() identifier.BackendServerID {
	return identifier.BackendServerID(fmt.Sprintf("%s-%d", Domain, server.number))
}

func (server *server) announce() {
	server.cell.post(&dispatcher.ServerAnnounced{Server: server.id(), Incarnation: 1, Slots: server.cell.Slots})
}

func (server *server) sendHeartbeat() {
	if server.gone {
		return
	}
	server.cell.post(&dispatcher.ServerHeartbeat{Server: server.id(), Busy: identifier.Slots(len(server.running))})
	server.cell.after(heartbeatInterval, server.sendHeartbeat)
}

// send delivers a batch to its backend server after one transit time.
func (cell *Cell) send(batch *dispatcher.ToServer) {
	number := slices.IndexFunc(cell.servers, func(server *server) bool { return server.id() == batch.Server })
	receiving := cell.servers[number]
	for _, start := range batch.Starts {
		if record := cell.Records[start.Submission]; record.cancelled {
			cell.addViolation("started after its cancellation: %s", start.Submission)
		}
	}
	cell.after(transitTime, func() {
		if !receiving.gone {
			receiving.receive(batch)
		}
	})
}

func (server *server) receive(batch *dispatcher.ToServer) {
	if batch.Lead != nil {
		report := &dispatcher.ServerReported{Server: server.id(), Cell: batch.Lead.Cell, Epoch: batch.Lead.Epoch}
		server.reply(report)
	}
	for _, start := range batch.Starts {
		server.start(start)
	}
	for _, key := range batch.Cancels {
		if server.running[key] {
			server.answer(dispatcher.ServerAnswer{TaskKey: key, Cancelled: true})
		}
	}
}

func (server *server) start(start dispatcher.Start) {
	cell := server.cell
	cell.Starts++
	kind := dispatcher.RefusalUnspecified
	if cell.Refuse != nil {
		kind = cell.Refuse(server.number, start.TaskKey)
	}
	if len(server.running) >= int(cell.Slots) {
		kind = dispatcher.RefusalNoFreeSlot
	}
	if kind != dispatcher.RefusalUnspecified {
		cell.Refusals++
		refusal := dispatcher.ServerRefusal{TaskKey: start.TaskKey, Kind: kind}
		server.reply(&dispatcher.TasksRefused{Server: server.id(), Refusals: []dispatcher.ServerRefusal{refusal}})
		return
	}
	server.run(start.TaskKey)
}

func (server *server) run(key dispatcher.TaskKey) {
	record := server.cell.Records[key.Submission]
	record.Started[key.Task]++
	if record.Started[key.Task] > 1 {
		server.cell.addViolation("started twice: task %s of %s", key.Task, key.Submission)
	}
	if answer := record.Answer(); answer != nil && answer.NotRun {
		server.cell.addViolation("ran after it was refused as not run: %s", key.Submission)
	}
	server.running[key] = true
	team := record.Job.Team
	server.cell.Running[team]++
	server.cell.MaxRunning[team] = max(server.cell.MaxRunning[team], server.cell.Running[team])
	runTime := record.runTimes[key.Task]
	server.cell.after(runTime, func() {
		if server.running[key] && !server.gone {
			server.answer(dispatcher.ServerAnswer{TaskKey: key, RunTime: runTime})
		}
	})
}

func (server *server) answer(answer dispatcher.ServerAnswer) {
	delete(server.running, answer.TaskKey)
	server.cell.Running[server.cell.Records[answer.Submission].Job.Team]--
	server.reply(&dispatcher.TasksAnswered{Server: server.id(), Answers: []dispatcher.ServerAnswer{answer}})
}

func (server *server) reply(input dispatcher.Input) {
	server.cell.after(transitTime, func() { server.cell.post(input) })
}
