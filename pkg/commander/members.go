package commander

// membersCommand lists the membership as one host sees it.
type membersCommand struct{ remoteOptions }

// Execute asks the host and lists the others.
func (command *membersCommand) Execute(_ []string) error {
	ctx, cancel := command.quickly()
	defer cancel()
	status, err := command.requester().Status(ctx)
	if err != nil {
		return remoteFailure(err)
	}
	if command.JSON {
		return command.terminal.printJSON(status.Hosts)
	}
	listed := &table{headers: []string{"HOST", "FAILURE-DOMAIN", "STATUS", "ROLES", "CALLERS", "CONFIG"}}
	for _, host := range status.Hosts {
		version := host.ConfigVersion
		if version == "" {
			version = "0"
		}
		listed.add(string(host.Host), string(host.FailureDomain), host.Status.String(), joined(host.Roles), host.Callers, version)
	}
	return command.terminal.printTable(listed)
}
