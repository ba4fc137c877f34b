package commander

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/gossiper"
)

// keepersCommand lists the keepers.
type keepersCommand struct{ remoteOptions }

// Execute asks all keepers and lists them.
func (command *keepersCommand) Execute(_ []string) error {
	answers, err := command.askKeepers()
	if err != nil {
		return err
	}
	if err := command.print(answers); err != nil {
		return err
	}
	for _, answer := range answers {
		if answer.Status != nil && answer.Status.Keeper != nil && answer.Status.Keeper.Halted != "" {
			return failed("keeper %s has halted: %s", answer.Host, answer.Status.Keeper.Halted)
		}
	}
	return silentHosts(answers)
}

// askKeepers asks every host that has the role.
func (options *remoteOptions) askKeepers() ([]*hostAnswer, error) {
	ctx, cancel := options.quickly()
	defer cancel()
	first, err := options.requester().Status(ctx)
	if err != nil {
		return nil, remoteFailure(err)
	}
	var answers []*hostAnswer
	if first.Keeper != nil {
		answers = append(answers, &hostAnswer{
			Host: first.Host, FailureDomain: first.FailureDomain, Believed: gossiper.StatusAlive, Callers: first.Callers,
		})
	}
	for _, host := range first.Hosts {
		if slices.Contains(host.Roles, gossiper.RoleKeeper) {
			answers = append(answers, &hostAnswer{
				Host: host.Host, FailureDomain: host.FailureDomain, Believed: host.Status, Callers: host.Callers,
			})
		}
	}
	options.askOthers(answers)
	return answers, nil
}

func (command *keepersCommand) print(answers []*hostAnswer) error {
	if command.JSON {
		return command.terminal.printJSON(answers)
	}
	listed := &table{headers: []string{"KEEPER", "FAILURE-DOMAIN", "STATE", "LEADER", "TERM", "APPLIED", "CLAIMS", "CONFIG"}}
	for _, answer := range answers {
		if answer.Status == nil || answer.Status.Keeper == nil {
			listed.add(string(answer.Host), string(answer.FailureDomain), "no answer ("+answer.Believed.String()+")", "-", "-", "-", "-", "-")
			continue
		}
		keeper := answer.Status.Keeper
		state := "following"
		switch {
		case keeper.Halted != "":
			state = "halted"
		case keeper.Leader == answer.Host:
			state = "leading"
		}
		listed.add(string(answer.Host), string(answer.FailureDomain), state, orDash(string(keeper.Leader)),
			number(keeper.Term), number(keeper.Applied), number(keeper.Claims), number(keeper.Version))
	}
	return command.terminal.printTable(listed)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
