package assessor_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/stoathitch/stoathitch/pkg/assessor"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// TestScenarios runs the files in testdata. The head of each file describes the
// failure that it guards against.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		scenario := &scenario{assessor: &assessor.Assessor{Settings: assessor.DefaultSettings()}}
		datadriven.RunTest(t, path, scenario.run)
	})
}

// scenario runs the commands of one file.
type scenario struct {
	assessor *assessor.Assessor
	now      identifier.Moment
}

// run supports these commands:
//
//	join servers=(a,b) slots=8 uptime=1h incarnation=1
//	end servers=(a,b) team=t count=1 failed run=100ms slow=(a) times=4 at-once
//	wait for=2s
func (scenario *scenario) run(t *testing.T, data *datadriven.TestData) string {
	var inputs []assessor.Input
	var servers []string
	if data.HasArg("servers") {
		for _, argument := range data.CmdArgs {
			if argument.Key == "servers" {
				servers = argument.Vals
			}
		}
	}
	switch data.Cmd {
	case "join":
		for _, server := range servers {
			inputs = append(inputs, scenario.joined(t, data, server))
		}
		return scenario.tick(inputs)
	case "end":
		return scenario.end(t, data, servers)
	case "wait":
		scenario.now = scenario.now.Add(duration(t, data, "for", 0))
		return scenario.tick(nil)
	}
	return "unknown command " + data.Cmd
}

func (scenario *scenario) joined(t *testing.T, data *datadriven.TestData, server string) assessor.Input {
	slots, incarnation := 8, uint64(1)
	data.MaybeScanArgs(t, "slots", &slots)
	data.MaybeScanArgs(t, "incarnation", &incarnation)
	return &assessor.ServerJoined{
		Server:      identifier.BackendServerID(server),
		Incarnation: incarnation,
		Slots:       identifier.Slots(slots),
		Uptime:      duration(t, data, "uptime", time.Hour),
	}
}

// end reports count rounds of outcomes, one task for each server and round. Each round
// has its own tick, unless at-once puts all rounds into one tick.
func (scenario *scenario) end(t *testing.T, data *datadriven.TestData, servers []string) string {
	team, count := "team", 1
	data.MaybeScanArgs(t, "team", &team)
	data.MaybeScanArgs(t, "count", &count)
	var result strings.Builder
	var inputs []assessor.Input
	for round := range count {
		for _, server := range servers {
			inputs = append(inputs, &assessor.TaskEnded{
				Server:  identifier.BackendServerID(server),
				Origin:  assessor.Origin{Team: identifier.TeamID(team)},
				Failed:  data.HasArg("failed"),
				RunTime: scenario.runTime(t, data, server),
			})
		}
		if data.HasArg("at-once") && round < count-1 {
			continue
		}
		for _, line := range strings.Split(strings.TrimSpace(scenario.tick(inputs)), "\n") {
			if line != "" {
				fmt.Fprintf(&result, "round %d: %s\n", round+1, line)
			}
		}
		inputs = nil
	}
	return result.String()
}

// runTime returns the run time of a task, multiplied by times on the servers named as slow.
func (scenario *scenario) runTime(t *testing.T, data *datadriven.TestData, server string) time.Duration {
	run := duration(t, data, "run", 100*time.Millisecond)
	for _, argument := range data.CmdArgs {
		if argument.Key == "slow" && slices.Contains(argument.Vals, server) {
			times := 1
			data.MaybeScanArgs(t, "times", &times)
			return run * time.Duration(times)
		}
	}
	return run
}

func (scenario *scenario) tick(inputs []assessor.Input) string {
	var result strings.Builder
	for _, output := range scenario.assessor.Tick(scenario.now, inputs) {
		changed := output.(*assessor.AllowanceChanged)
		fmt.Fprintf(&result, "%s may run %d (%s, blame %.1f, slowness %.1f)\n",
			changed.Server, changed.Slots, changed.Cause, changed.Blame, changed.Slowness)
	}
	return result.String()
}

func duration(t *testing.T, data *datadriven.TestData, key string, fallback time.Duration) time.Duration {
	if !data.HasArg(key) {
		return fallback
	}
	var text string
	data.ScanArgs(t, key, &text)
	parsed, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}
