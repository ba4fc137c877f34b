package commander

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/presenter"
)

// backendServersCommand lists the backend servers of all failure domains.
type backendServersCommand struct{ remoteOptions }

// listedServer is a backend server as one host sees it.
type listedServer struct {
	FailureDomain identifier.FailureDomain `json:"failure-domain"`
	SeenBy        identifier.HostID        `json:"seen-by"`
	// FromLead tells that the host leads the server's cell, so that it knows what
	// runs there.
	FromLead bool `json:"from-lead"`
	dispatcher.ServerStatus
}

// Execute asks all hosts and lists what they know.
func (command *backendServersCommand) Execute(_ []string) error {
	answers, err := command.askAll()
	if err != nil {
		return err
	}
	servers := serversOf(answers)
	if err := command.print(servers); err != nil {
		return err
	}
	return silentHosts(answers)
}

// serversOf lists every backend server once, by the account of its lead if that
// answered.
func serversOf(answers []*hostAnswer) []listedServer {
	servers := []listedServer{}
	for _, answer := range answers {
		if answer.Status == nil {
			continue
		}
		for _, server := range answer.Status.Servers {
			servers = addServer(servers, answer.Status, server)
		}
	}
	return servers
}

func addServer(servers []listedServer, seenBy *coordinator.Status, server dispatcher.ServerStatus) []listedServer {
	seen := listedServer{
		FailureDomain: seenBy.FailureDomain, SeenBy: seenBy.Host,
		FromLead: leads(seenBy, server), ServerStatus: server,
	}
	position := slices.IndexFunc(servers, func(known listedServer) bool {
		return known.Server == server.Server && known.Cell == server.Cell && known.FailureDomain == seen.FailureDomain
	})
	switch {
	case position < 0:
		return append(servers, seen)
	case seen.FromLead:
		servers[position] = seen
	}
	return servers
}

func leads(status *coordinator.Status, server dispatcher.ServerStatus) bool {
	return slices.ContainsFunc(status.Cells, func(cell coordinator.CellStatus) bool {
		return cell.Cell == server.Cell && cell.Lead == status.Host
	})
}

func (command *backendServersCommand) print(servers []listedServer) error {
	if command.JSON {
		return command.terminal.printJSON(servers)
	}
	listed := &table{headers: []string{"BACKEND-SERVER", "FAILURE-DOMAIN", "RACK", "CELL", "SLOTS", "RUNNING", "STATE", "SEEN-BY"}}
	for _, server := range servers {
		running := "-"
		if server.FromLead {
			running = number(server.Running)
		}
		listed.add(string(server.Server), string(server.FailureDomain), orDash(string(server.Rack)), number(server.Cell),
			number(server.Slots), running, presenter.ServerState(server.ServerStatus), string(server.SeenBy))
	}
	return command.terminal.printTable(listed)
}
