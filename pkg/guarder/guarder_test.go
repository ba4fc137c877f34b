package guarder

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"pgregory.net/rapid"
)

func TestGolden(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		guarder := &Guarder{Settings: DefaultSettings()}
		learner := &Learner{Limit: 2}
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			var at, task string
			data.MaybeScanArgs(t, "at", &at)
			data.MaybeScanArgs(t, "task", &task)
			now := identifier.Moment(duration(t, at))
			id := identifier.TaskID(task)
			switch data.Cmd {
			case "settings":
				data.MaybeScanArgs(t, "may-throttle", &guarder.Settings.MayThrottle)
				data.MaybeScanArgs(t, "may-checkpoint", &guarder.Settings.MayCheckpoint)
				data.MaybeScanArgs(t, "may-stop", &guarder.Settings.MayStop)
				return "ok\n"
			case "watch":
				guarder.Watch(now, id, declaration(t, data))
				return "ok\n"
			case "report":
				var age string
				data.MaybeScanArgs(t, "age", &age)
				report := Report{Task: id, Used: resources(t, data), Age: duration(t, age)}
				return fmt.Sprintf("newer=%v\n", guarder.Report(now, report))
			case "crowded":
				guarder.SetContended(id, true)
				return "ok\n"
			case "charge":
				charge := guarder.Charge(now, id)
				return fmt.Sprintf("milli-cpu=%d memory=%d\n", charge.MilliCPU, charge.Memory)
			case "act":
				var lines strings.Builder
				for _, action := range guarder.Actions(now) {
					fmt.Fprintf(&lines, "%s %s: %s\n", action.Act, action.Task, action.Reason)
				}
				return lines.String()
			case "observe":
				var team, took string
				data.ScanArgs(t, "team", &team)
				data.ScanArgs(t, "took", &took)
				key := KindKey{Team: identifier.TeamID(team), Kind: "build"}
				declared := Declaration{Need: identifier.Resources{MilliCPU: 1000, Memory: 1000}, RunTime: time.Second}
				learner.Observe(key, declared, resources(t, data), duration(t, took))
				return fmt.Sprintf("%+v\n", learner.Correction(key))
			}
			t.Fatalf("unknown command %s", data.Cmd)
			return ""
		})
	})
}

// Guards against overcommitting a worker, which kills the neighbours of a task. Reports
// arrive late, twice or out of order while the task grows. The fault would be to charge
// less than the newest measurement, or to trust a stale one.
func TestChargeNeverBelowWhatIsKnown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		guarder := &Guarder{Settings: DefaultSettings()}
		declared := identifier.Resources{MilliCPU: 1000, Memory: 1 << 30}
		guarder.Watch(0, "task", Declaration{Need: declared})
		now, newest := identifier.Moment(0), identifier.Moment(-1)
		var used, highest identifier.Resources
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 15).Draw(t, "wait")) * time.Second)
			age := time.Duration(rapid.IntRange(0, 30).Draw(t, "age")) * time.Second
			shown := identifier.Resources{
				MilliCPU: identifier.MilliCPU(rapid.IntRange(0, 3000).Draw(t, "cpu")),
				Memory:   identifier.Bytes(rapid.IntRange(0, 1<<32).Draw(t, "memory")),
			}
			guarder.Report(now, Report{Task: "task", Used: shown, Age: age})
			if at := max(now.Add(-age), 0); at > newest {
				newest, used = at, shown
				highest = highest.Max(shown)
			}
			charge := guarder.Charge(now, "task")
			if !used.Fits(charge) {
				t.Fatalf("charged %v while %v was measured", charge, used)
			}
			if !charge.Fits(declared.Max(highest)) {
				t.Fatalf("charged %v, more than was ever declared or measured", charge)
			}
			if now.Sub(newest) > guarder.Settings.StaleAfter && !declared.Fits(charge) {
				t.Fatalf("charged %v on a stale measurement", charge)
			}
		}
	})
}

func declaration(t *testing.T, data *datadriven.TestData) Declaration {
	var runTime string
	declared := Declaration{Need: resources(t, data)}
	data.MaybeScanArgs(t, "run-time", &runTime)
	data.MaybeScanArgs(t, "checkpointable", &declared.Checkpointable)
	declared.RunTime = duration(t, runTime)
	return declared
}

func resources(t *testing.T, data *datadriven.TestData) identifier.Resources {
	var cpu, memory int64
	data.MaybeScanArgs(t, "cpu", &cpu)
	data.MaybeScanArgs(t, "memory", &memory)
	return identifier.Resources{MilliCPU: identifier.MilliCPU(cpu), Memory: identifier.Bytes(memory)}
}

func duration(t *testing.T, text string) time.Duration {
	if text == "" {
		return 0
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}
