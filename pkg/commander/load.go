package commander

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/renameio/v2"

	"github.com/stoathitch/stoathitch/pkg/loadgenerator"
)

// loadCommand sends jobs in an open loop.
type loadCommand struct {
	commonOptions
	proofOptions
	Hosts       []string `long:"host" value-name:"URL" description:"the callers' address of a host; give it again for more, jobs go to each in turn"`
	SettingsDir string   `long:"settings-dir" value-name:"DIR" description:"take the hosts from a folder with the settings of all of them"`
	Plan        string   `long:"plan" value-name:"FILE" description:"the JSON of a plan (docs/LOAD.md); options override what it says"`
	loadPlanOptions
	Report  string `long:"report" value-name:"FILE" description:"write one HTML page with plots"`
	Compare string `long:"compare" value-name:"OTHER.json" description:"put the --json output of an earlier run beside this one"`
}

// Execute runs the plan and prints what it found.
func (command *loadCommand) Execute(_ []string) error {
	plan, err := command.plan()
	if err != nil {
		return err
	}
	hosts, err := command.hosts()
	if err != nil {
		return err
	}
	other, err := command.other()
	if err != nil {
		return err
	}
	generator := &loadgenerator.Generator{Plan: plan, Hosts: hosts}
	if err := command.prove(generator); err != nil {
		return err
	}
	if !command.JSON && command.terminal.progressing {
		generator.Progress = command.showProgress
	}
	summary, err := generator.Run(command.terminal.context)
	if err != nil {
		return malformed("%v", err)
	}
	command.terminal.progress("")
	if err := command.print(summary, other); err != nil {
		return err
	}
	if err := command.writeReport(summary, other); err != nil {
		return err
	}
	return loadVerdict(summary)
}

func (command *loadCommand) plan() (loadgenerator.Plan, error) {
	plan := loadgenerator.DefaultPlan()
	if command.Plan != "" {
		content, err := command.terminal.readInput(command.Plan)
		if err != nil {
			return plan, err
		}
		if plan, err = loadgenerator.ParsePlan(content); err != nil {
			return plan, malformed("%s: %v", command.Plan, err)
		}
	}
	if err := command.override(&plan); err != nil {
		return plan, err
	}
	if err := plan.Check(); err != nil {
		return plan, malformed("%v", err)
	}
	return plan, nil
}

func (command *loadCommand) hosts() ([]string, error) {
	var hosts []string
	for _, host := range command.Hosts {
		hosts = append(hosts, command.reach(command.terminal, host).Host)
	}
	if command.SettingsDir != "" {
		found, err := callersAddresses(command.SettingsDir)
		if err != nil {
			return nil, err
		}
		for _, host := range found {
			hosts = append(hosts, command.reach(command.terminal, host).Host)
		}
	}
	if len(hosts) == 0 {
		return nil, malformed("give --host or --settings-dir")
	}
	return hosts, nil
}

// prove gives the generator the keys and the token.
func (command *loadCommand) prove(generator *loadgenerator.Generator) error {
	keys, err := command.keys(command.terminal)
	if err != nil {
		return err
	}
	if keys != nil {
		generator.TLS = keys.NamedClient()
	}
	generator.Token, err = command.token()
	return err
}

// callersAddresses lists where callers reach the hosts, from the settings of any
// of them.
func callersAddresses(folder string) ([]string, error) {
	settings, err := anySettings(folder)
	if err != nil {
		return nil, err
	}
	var addresses []string
	for _, host := range settings.Hosts {
		if host.CallersAddress.IsValid() {
			addresses = append(addresses, host.CallersAddress.String())
		}
	}
	return addresses, nil
}

func (command *loadCommand) other() (*loadgenerator.Summary, error) {
	if command.Compare == "" {
		return nil, nil
	}
	content, err := os.ReadFile(command.Compare)
	if err != nil {
		return nil, malformed("%v", err)
	}
	other, err := loadgenerator.ParseSummary(content)
	if err != nil {
		return nil, malformed("%s: %v", command.Compare, err)
	}
	return other, nil
}

func (command *loadCommand) showProgress(progress loadgenerator.Progress) {
	command.terminal.progress(fmt.Sprintf("%s  %d due  %d answered  %d refused  %d missing  %d in flight",
		progress.Elapsed.Round(time.Second), progress.Due, progress.Answered, progress.Refused, progress.Missing, progress.InFlight))
}

func (command *loadCommand) print(summary, other *loadgenerator.Summary) error {
	if command.JSON {
		return command.terminal.printJSON(summary)
	}
	if command.terminal.person {
		if err := command.terminal.printLine("%d jobs in %.1f s, %.0f tasks/s complete; sent late by %.2f ms (p50), %.2f ms (p99); MEAN to MAX are response over ideal",
			summary.Jobs, summary.Seconds, summary.TasksPerSecond, summary.SentLate.P50, summary.SentLate.P99); err != nil {
			return err
		}
	}
	if err := command.terminal.printTable(&table{headers: loadgenerator.Headers(), rows: summary.Rows()}); err != nil {
		return err
	}
	if other == nil {
		return nil
	}
	return command.terminal.printTable(&table{headers: loadgenerator.CompareHeaders(), rows: loadgenerator.Compare(summary, other)})
}

// writeReport replaces the file as a whole, so that a browser never finds half of
// a page.
func (command *loadCommand) writeReport(summary, other *loadgenerator.Summary) error {
	if command.Report == "" {
		return nil
	}
	var page strings.Builder
	if err := loadgenerator.WritePage(&page, summary, other); err != nil {
		return failed("%v", err)
	}
	if err := renameio.WriteFile(command.Report, []byte(page.String()), 0o644); err != nil {
		return failed("the report can't be written: %v", err)
	}
	return nil
}

// loadVerdict finds wanting a run with a job that has no whole answer, or without
// one complete job. Failed and refused jobs are answers: a load beyond what the
// system carries must have refusals.
func loadVerdict(summary *loadgenerator.Summary) error {
	if missing := summary.Missing(); missing > 0 {
		return failed("%d of %d jobs have no whole answer", missing, summary.Jobs)
	}
	if summary.Complete() == 0 {
		return failed("not one of %d jobs is complete", summary.Jobs)
	}
	return nil
}

// weighted reads "NAME" or "NAME:WEIGHT".
func weighted(text string) (string, float64, error) {
	name, number, found := strings.Cut(text, ":")
	if !found {
		return name, 1, nil
	}
	weight, err := strconv.ParseFloat(number, 64)
	if err != nil {
		return "", 0, malformed("%q: a weight must be a number, such as in \"counter:3\"", text)
	}
	return name, weight, nil
}
