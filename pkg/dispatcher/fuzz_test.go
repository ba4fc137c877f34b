package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/dispatcher/fake"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/limiter"
)

// TestPromisesUnderFaults mixes submissions, resubmissions, cancellations, refusals, leaving and
// lost backend servers and changed quotas. The fake checks the guarantees by what the backend
// servers see. At the end every job must have an answer and nothing may be left in the queue or in
// flight.
func TestPromisesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := &machine{refusing: make(map[int]bool)}
		machine.cell = &fake.Cell{Settings: dispatcher.DefaultSettings(), Servers: 5, Slots: 2}
		machine.cell.Settings.QueuedTasks = 60
		machine.cell.Refuse = machine.refuse
		machine.cell.Open()
		t.Repeat(map[string]func(*rapid.T){
			"":       machine.check,
			"submit": machine.submit,
			"resend": machine.resend,
			"cancel": machine.cancel,
			"refuse": machine.toggleRefusing,
			"leave":  func(t *rapid.T) { machine.cell.Leave(machine.server(t)) },
			"lose":   func(t *rapid.T) { machine.cell.Stop(machine.server(t)) },
			"limit":  machine.limit,
			"pass":   machine.pass,
		})
		clear(machine.refusing)
		machine.cell.Run(machine.cell.Now.Add(10 * time.Minute))
		machine.finish(t)
	})
}

type machine struct {
	cell     *fake.Cell
	records  []*fake.Record
	refusing map[int]bool
}

func (machine *machine) refuse(server int, key dispatcher.TaskKey) dispatcher.RefusalKind {
	if !machine.refusing[server] {
		return dispatcher.RefusalUnspecified
	}
	return []dispatcher.RefusalKind{dispatcher.RefusalNoFreeSlot, dispatcher.RefusalDeadlinePassed}[len(key.Task)%2]
}

// server draws one of four backend servers; the fifth always stays.
func (machine *machine) server(t *rapid.T) int { return rapid.IntRange(0, 3).Draw(t, "server") }

func (machine *machine) submit(t *rapid.T) {
	runTimes := make([]time.Duration, rapid.IntRange(1, 12).Draw(t, "tasks"))
	for index := range runTimes {
		runTimes[index] = time.Duration(rapid.IntRange(1, 2000).Draw(t, "run")) * time.Millisecond
	}
	factor := time.Duration(rapid.IntRange(0, 3).Draw(t, "factor"))
	declared := func(actual time.Duration) time.Duration { return actual * factor }
	team := identifier.TeamID(fmt.Sprintf("team-%d", rapid.IntRange(0, 3).Draw(t, "team")))
	class := identifier.ClassName([]string{"counter", "batch"}[rapid.IntRange(0, 1).Draw(t, "class")])
	deadline := identifier.Never
	if rapid.Bool().Draw(t, "with deadline") {
		deadline = machine.cell.Now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "left")) * time.Millisecond)
	}
	job := newJob(fmt.Sprintf("s-%d", len(machine.records)), team, class, runTimes, declared)
	machine.records = append(machine.records, machine.cell.Submit(job, deadline, runTimes))
	machine.cell.Run(machine.cell.Now)
}

func (machine *machine) record(t *rapid.T) *fake.Record {
	if len(machine.records) == 0 {
		t.Skip("no submission yet")
	}
	return rapid.SampledFrom(machine.records).Draw(t, "submission")
}

func (machine *machine) resend(t *rapid.T) {
	machine.cell.Resend(machine.record(t), identifier.Never)
	machine.cell.Run(machine.cell.Now)
}

func (machine *machine) cancel(t *rapid.T) { machine.cell.Cancel(machine.record(t)) }

func (machine *machine) toggleRefusing(t *rapid.T) {
	server := machine.server(t)
	machine.refusing[server] = !machine.refusing[server]
}

func (machine *machine) limit(t *rapid.T) {
	machine.cell.Post(&dispatcher.LimitsConfigured{
		Teams: []limiter.TeamLimits{{
			Team:           "team-0",
			TasksInFlight:  rapid.IntRange(0, 4).Draw(t, "in flight"),
			TasksPerSecond: float64(rapid.IntRange(0, 20).Draw(t, "rate")),
			Weight:         rapid.IntRange(0, 4).Draw(t, "weight"),
		}},
		Classes: []dispatcher.ClassLimits{{Class: "counter", Urgent: true, Weight: 2}},
	})
}

func (machine *machine) pass(t *rapid.T) {
	machine.cell.Run(machine.cell.Now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pass")) * time.Millisecond))
}

func (machine *machine) check(t *rapid.T) {
	for _, violation := range machine.cell.Violations {
		t.Fatal(violation)
	}
}

func (machine *machine) finish(t *rapid.T) {
	machine.check(t)
	for _, record := range machine.records {
		if record.Answer() == nil {
			t.Fatalf("%s has no answer", record.Job.Submission)
		}
	}
	if tasks, work := machine.cell.Lead().Queued(); tasks != 0 || work != 0 {
		t.Fatalf("%d tasks and %v of work are left in the queue", tasks, work)
	}
	for team := range machine.cell.MaxRunning {
		if inFlight := machine.cell.Lead().InFlight(team); inFlight != 0 {
			t.Fatalf("%d tasks of %s count as running", inFlight, team)
		}
	}
}
