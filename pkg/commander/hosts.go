package commander

import (
	"fmt"
	"strings"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
)

// hostsCommand lists all hosts by their own accounts.
type hostsCommand struct{ remoteOptions }

// Execute asks all hosts and lists them.
func (command *hostsCommand) Execute(_ []string) error {
	answers, err := command.askAll()
	if err != nil {
		return err
	}
	if err := command.print(answers); err != nil {
		return err
	}
	return silentHosts(answers)
}

func (command *hostsCommand) print(answers []*hostAnswer) error {
	if command.JSON {
		return command.terminal.printJSON(answers)
	}
	listed := &table{headers: []string{"HOST", "FAILURE-DOMAIN", "STATE", "ROLES", "CALLERS", "LEADS", "UNANSWERED", "CONFIG", "CAPACITY"}}
	for _, answer := range answers {
		status := answer.Status
		if status == nil {
			listed.add(string(answer.Host), string(answer.FailureDomain), "no answer ("+answer.Believed.String()+")", "-", answer.Callers, "-", "-", "-", "-")
			continue
		}
		listed.add(string(status.Host), string(status.FailureDomain), stateOf(status), joined(status.Roles),
			status.Callers, cellsOf(status), number(status.Unanswered), number(status.ConfigVersion), status.Capacity.String())
	}
	return command.terminal.printTable(listed)
}

func stateOf(status *coordinator.Status) string {
	if status.Draining {
		return "draining"
	}
	if status.Evacuated.Has(status.FailureDomain) {
		return "serving, evacuated"
	}
	return "serving"
}

// cellsOf lists the cells that the host leads, with their epochs.
func cellsOf(status *coordinator.Status) string {
	var cells []string
	for _, cell := range status.Cells {
		if cell.Lead == status.Host {
			cells = append(cells, fmt.Sprintf("%d@%d", cell.Cell, cell.Epoch))
		}
	}
	if len(cells) == 0 {
		return "-"
	}
	return strings.Join(cells, ",")
}
