package dispatcher

import (
	"github.com/stoathitch/stoathitch/pkg/assessor"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/selector"
)

// recordServerJoined notifies the assessor of a server whose stream has opened.
func (dispatcher *Dispatcher) recordServerJoined(input *ServerAnnounced) {
	dispatcher.outcomes = append(dispatcher.outcomes, &assessor.ServerJoined{
		Server:      input.Server,
		Incarnation: input.Incarnation,
		Slots:       input.Slots,
		Uptime:      input.Uptime,
	})
}

// recordOutcome notifies the assessor of how a task ended. A cancelled task says nothing about the
// server.
func (dispatcher *Dispatcher) recordOutcome(job *job, server *server, answer ServerAnswer) {
	if answer.Cancelled {
		return
	}
	dispatcher.outcomes = append(dispatcher.outcomes, &assessor.TaskEnded{
		Server:  server.id,
		Origin:  assessor.Origin{Team: job.spec.Team, Caller: job.spec.Caller},
		Failed:  answer.Failed,
		RunTime: answer.RunTime,
	})
}

// assess updates the servers' allowed slots from the outcomes of this tick. It runs before
// anything is started: a server that has just failed all its tasks has all its slots free.
func (dispatcher *Dispatcher) assess() {
	inputs := dispatcher.outcomes
	dispatcher.outcomes = nil
	outputs := dispatcher.assessor.Tick(dispatcher.now, inputs)
	if len(outputs) > 0 {
		dispatcher.markCapacityStale()
	}
	for _, output := range outputs {
		changed := output.(*assessor.AllowanceChanged)
		dispatcher.eachView(changed.Server, func(server *server) {
			server.allowed = changed.Slots
			server.slowness = changed.Slowness
			dispatcher.refreshSlots(server)
		})
	}
}

// selection returns the settings of a cell's selection policy. Each cell has its own seed.
func (dispatcher *Dispatcher) selection(number messenger.CellNumber) selector.Settings {
	settings := dispatcher.Settings.Selection
	settings.Seed += uint64(number)
	if dispatcher.Settings.SharedServers {
		settings.Leads = max(dispatcher.Settings.Cells, 1)
	}
	return settings
}

// serverKey identifies a server as one cell sees it.
type serverKey struct {
	cell   messenger.CellNumber
	server identifier.BackendServerID
}

// eachCellOf calls visit for each cell whose lead may start tasks on a server: its own cell, or
// all cells if they share servers.
func (dispatcher *Dispatcher) eachCellOf(id identifier.BackendServerID, visit func(messenger.CellNumber)) {
	if !dispatcher.Settings.SharedServers {
		visit(messenger.CellOfServer(id, dispatcher.Settings.Cells))
		return
	}
	for number := range max(dispatcher.Settings.Cells, 1) {
		visit(messenger.CellNumber(number))
	}
}

// eachView calls visit for each cell's view of a server.
func (dispatcher *Dispatcher) eachView(id identifier.BackendServerID, visit func(*server)) {
	dispatcher.eachCellOf(id, func(number messenger.CellNumber) {
		if server := dispatcher.servers.Get(serverKey{cell: number, server: id}); server != nil {
			visit(server)
		}
	})
}

// viewOf returns the server as seen by the cell of a submission, or nil.
func (dispatcher *Dispatcher) viewOf(id identifier.BackendServerID, submission identifier.SubmissionID) *server {
	cell := messenger.CellOf(submission, dispatcher.Settings.Cells)
	return dispatcher.servers.Get(serverKey{cell: cell, server: id})
}
