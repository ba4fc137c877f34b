package commander

import (
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/stoathitch/stoathitch/pkg/assembler"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

func addConfigCommands(parent *flags.Command, common commonOptions) {
	remote := remoteOptions{commonOptions: common}
	group := addCommand(parent, "config", "Show or change the shared configuration",
		"Shows or changes the teams, classes, limits and dispatch tunables that all hosts share.", &struct{}{})
	addCommand(group, "get", "Print the configuration in force on a host",
		"Prints the document of the version in force on the given host.", &configGetCommand{remoteOptions: remote})
	addCommand(group, "set", "Propose a new configuration",
		"Checks the document, then proposes it to the keepers. It is accepted only if --expected is still the newest version (exit code 1 otherwise). Sending it again with the same --request changes nothing and gives the first answer.",
		&configSetCommand{remoteOptions: remote})
	addCommand(group, "diff", "Compare two versions",
		"Prints what changed from one version to another as a unified diff. Without versions it compares the newest with the one before.",
		&configDiffCommand{remoteOptions: remote})
	addCommand(group, "history", "List the kept versions",
		"Lists the versions that the keepers hold, the oldest first.", &configHistoryCommand{remoteOptions: remote})
	addCommand(group, "wait", "Wait until a version is in force everywhere",
		"Waits until every living host has the version, or a newer one, in force. Exit code 1 when the timeout comes first.",
		&configWaitCommand{remoteOptions: remote})
}

// configGetCommand prints the configuration in force.
type configGetCommand struct{ remoteOptions }

// Execute asks the host and prints its document.
func (command *configGetCommand) Execute(_ []string) error {
	ctx, cancel := command.quickly()
	defer cancel()
	version, err := command.requester().Config(ctx)
	if err != nil {
		return remoteFailure(err)
	}
	if command.JSON {
		return command.terminal.printJSON(version)
	}
	if command.terminal.person {
		if err := command.terminal.printLine("%s", titleOf(version)); err != nil {
			return err
		}
	}
	return command.terminal.printLine("%s", strings.TrimSuffix(indented(version.Document), "\n"))
}

func titleOf(version *assembler.ConfigBody) string {
	if version.Version.Version == 0 {
		return "# no version yet: each host has its own settings"
	}
	title := "# version " + number(version.Version.Version) + " by " + version.Operator + " at " + version.At
	for _, domain := range version.Evacuated() {
		title += "\n# evacuated: " + string(domain)
	}
	return title
}

// configHistoryCommand lists the kept versions.
type configHistoryCommand struct{ remoteOptions }

// Execute asks a keeper and lists its versions.
func (command *configHistoryCommand) Execute(_ []string) error {
	versions, err := command.history()
	if err != nil {
		return err
	}
	if command.JSON {
		return command.terminal.printJSON(versions)
	}
	listed := &table{headers: []string{"VERSION", "AT", "OPERATOR", "REQUEST", "BYTES"}}
	for _, version := range versions {
		listed.add(number(version.Version.Version), version.At, version.Operator,
			string(version.Request), number(len(version.Document)))
	}
	return command.terminal.printTable(listed)
}

// history asks the keepers in turn; a host without a disk has only one version.
func (options *remoteOptions) history() ([]assembler.ConfigBody, error) {
	keepers, err := options.askKeepers()
	if err != nil {
		return nil, err
	}
	var longest []assembler.ConfigBody
	newest := identifier.ConfigVersion(0)
	for _, keeper := range keepers {
		if keeper.Status == nil || keeper.Status.Keeper == nil {
			continue
		}
		versions, err := options.historyOf(keeper)
		if err == nil && len(versions) > 0 && versions[len(versions)-1].Version.Version > newest {
			longest = versions
			newest = versions[len(versions)-1].Version.Version
		}
	}
	if longest == nil {
		return []assembler.ConfigBody{}, silentHosts(keepers)
	}
	return longest, nil
}

func (options *remoteOptions) historyOf(keeper *hostAnswer) ([]assembler.ConfigBody, error) {
	ctx, cancel := options.quickly()
	defer cancel()
	return options.requesterOf(keeper.Callers).ConfigHistory(ctx)
}
