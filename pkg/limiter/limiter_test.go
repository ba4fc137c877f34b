package limiter_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/limiter"
)

// TestScenarios runs the files in testdata. Each command is a call at the time `at`;
// `times` repeats the call and counts how often it was allowed.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		tested := &limiter.Limiter{Settings: limiter.DefaultSettings()}
		tested.Settings.MaxUnconfiguredTeams = 2
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			return run(t, tested, data)
		})
	})
}

func run(t *testing.T, tested *limiter.Limiter, data *datadriven.TestData) string {
	var now time.Duration
	if data.HasArg("at") {
		var text string
		data.ScanArgs(t, "at", &text)
		parsed, err := time.ParseDuration(text)
		if err != nil {
			t.Fatal(err)
		}
		now = parsed
	}
	team, times, tasks := "", 1, 1
	for name, target := range map[string]any{"team": &team, "times": &times, "tasks": &tasks} {
		if data.HasArg(name) {
			data.ScanArgs(t, name, target)
		}
	}
	moment, id := identifier.Moment(now), identifier.TeamID(team)
	switch data.Cmd {
	case "configure":
		tested.Configure(moment, parseTeams(t, data.Input))
		return ""
	case "admit":
		return repeat(times, func() (time.Duration, bool) { return tested.Admit(moment, id, tasks) })
	case "retry":
		return repeat(times, func() (time.Duration, bool) { return tested.Retry(moment, id) })
	case "start":
		return repeat(times, func() (time.Duration, bool) { return 0, tested.Start(moment, id, true) })
	case "end":
		return repeat(times, func() (time.Duration, bool) { return 0, tested.End(moment, id) })
	case "in-flight":
		return fmt.Sprintln(tested.InFlight(moment, id))
	}
	t.Fatalf("unknown command %q", data.Cmd)
	return ""
}

func repeat(times int, call func() (time.Duration, bool)) string {
	allowed, wait := 0, time.Duration(0)
	for range times {
		after, ok := call()
		if ok {
			allowed++
		} else {
			wait = after
		}
	}
	return fmt.Sprintf("%d of %d, wait %v\n", allowed, times, wait.Round(time.Millisecond))
}

func parseTeams(t *testing.T, input string) []limiter.TeamLimits {
	var teams []limiter.TeamLimits
	for line := range strings.Lines(input) {
		var limits limiter.TeamLimits
		var team string
		_, err := fmt.Sscanf(line, "%s rate=%g in-flight=%d weight=%d", &team, &limits.TasksPerSecond, &limits.TasksInFlight, &limits.Weight)
		if err != nil {
			t.Fatal(err)
		}
		limits.Team = identifier.TeamID(team)
		teams = append(teams, limits)
	}
	return teams
}
