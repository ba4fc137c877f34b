package commander

import (
	"errors"
	"fmt"
	"strings"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/initializer"
)

// settingsInitCommand writes the settings of a deployment on one machine.
type settingsInitCommand struct {
	commonOptions
	FailureDomains string `long:"failure-domains" required:"yes" value-name:"NAME,..." description:"the failure domains, in order"`
	EntryHosts     int    `long:"entry-hosts" default:"3" description:"how many entry hosts each failure domain gets"`
	BasePort       int    `long:"base-port" default:"7000" description:"the callers' port of the first host"`
	Force          bool   `long:"force" description:"overwrite files that are there"`
	Arguments      struct {
		Folder string `positional-arg-name:"DIR" required:"yes" description:"the folder for the files"`
	} `positional-args:"yes"`
}

// initReport tells how to start what was written.
type initReport struct {
	Hosts    []initializer.GeneratedHost `json:"hosts"`
	StandIns []string                    `json:"stand-ins"`
}

// Execute writes the files and prints how to start the deployment.
func (command *settingsInitCommand) Execute(_ []string) error {
	domains := command.failureDomains()
	created := &initializer.Initializer{
		Folder:         command.Arguments.Folder,
		FailureDomains: domains,
		EntryHosts:     command.EntryHosts,
		BasePort:       command.BasePort,
		Force:          command.Force,
	}
	hosts, err := created.Run()
	if err != nil {
		return initFailure(err)
	}
	report := initReport{Hosts: hosts}
	for _, domain := range domains {
		report.StandIns = append(report.StandIns, fmt.Sprintf(
			"stoathitch stand-in --settings-dir %s --failure-domain %s --count 4 --slots 8",
			initializer.ShellQuote(command.Arguments.Folder), domain))
	}
	return command.print(&report)
}

func (command *settingsInitCommand) failureDomains() []identifier.FailureDomain {
	var domains []identifier.FailureDomain
	for name := range strings.SplitSeq(command.FailureDomains, ",") {
		domains = append(domains, identifier.FailureDomain(strings.TrimSpace(name)))
	}
	return domains
}

// initFailure: what the operator asked for is malformed; a disk that refuses is not.
func initFailure(err error) error {
	var failure *initializer.Error
	if errors.As(err, &failure) && failure.Kind == initializer.ErrorKindUnwritable {
		return failed("%v", err)
	}
	return malformed("%v", err)
}

func (command *settingsInitCommand) print(report *initReport) error {
	if command.JSON {
		return command.terminal.printJSON(report)
	}
	lines := []string{"# start each host, in any order:"}
	for _, host := range report.Hosts {
		lines = append(lines, host.Command)
	}
	lines = append(lines, "# then stand-in backend servers:")
	lines = append(lines, report.StandIns...)
	return command.terminal.printLine("%s", strings.Join(lines, "\n"))
}
