package planner

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stoathitch/stoathitch/pkg/guarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/placer"
)

// TestWholeExchange guards against a task that runs before its plan was confirmed, twice,
// or on a worker without enough capacity, and against an intent that is reported otherwise
// than it went. Accounts, leases, claims and outcomes can be left wrong by any mix of rows
// 15, 16, 21 and 23 with the death of a worker, a cut connection, a change of the lead that
// loses its proposals, and a keeper that restarts.
func TestWholeExchange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(t, 4)
		specs := rapid.Custom(drawSpec)
		world.behave = func(start StartTask) (time.Duration, TaskEnd, identifier.Resources) {
			return drawRun(t, world.machine.Get(start.Intent).Spec.Batches[start.Batch])
		}
		winners := map[string]OperatorID{}
		requests := 0
		names := []identifier.IntentName{"a", "b"}
		first := map[identifier.RequestID]Result{}
		sent := map[identifier.RequestID]Command{}
		var order []identifier.RequestID
		submit := func(t *rapid.T, command Command) {
			requests++
			command.Request = identifier.RequestID(fmt.Sprint("q", requests))
			result := world.apply(command)
			first[command.Request], sent[command.Request] = result, command
			order = append(order, command.Request)
			if result.Kind != ResultAccepted {
				if result.Kind == ResultConflict && result.Winner == nil {
					t.Fatalf("a conflict without the winner")
				}
				return
			}
			key := fmt.Sprint(command.Name, "@", command.Revision)
			if other, taken := winners[key]; taken {
				t.Fatalf("%s and %s both won %s", other, command.Operator, key)
			}
			winners[key] = command.Operator
		}
		drawName := func(t *rapid.T) identifier.IntentName {
			return rapid.SampledFrom(names).Draw(t, "name")
		}
		drawCommand := func(t *rapid.T, kind CommandKind) Command {
			command := Command{Kind: kind, Name: drawName(t), Operator: OperatorID(rapid.SampledFrom([]string{"an", "bert"}).Draw(t, "operator"))}
			if record := world.machine.Get(command.Name); record != nil {
				command.Revision = record.Revision - uint64(rapid.IntRange(0, 1).Draw(t, "late"))
				command.PlanNumber = record.Plans
			}
			return command
		}
		drawWorker := func(t *rapid.T) *fakeWorker {
			return rapid.SampledFrom(world.workers).Draw(t, "worker")
		}
		t.Repeat(map[string]func(*rapid.T){
			"create": func(t *rapid.T) {
				command := drawCommand(t, CommandCreate)
				spec := specs.Draw(t, "spec")
				command.Spec, command.Revision = &spec, 0
				submit(t, command)
			},
			"plan": func(t *rapid.T) {
				name := drawName(t)
				if world.machine.Get(name) != nil {
					world.propose(name)
				}
			},
			"whole-intent": func(t *rapid.T) {
				name := identifier.IntentName(fmt.Sprint("i", requests))
				spec := specs.Draw(t, "spec")
				submit(t, Command{Kind: CommandCreate, Name: name, Operator: "an", Spec: &spec})
				if planned := world.propose(name); planned.State == StatePlanned {
					submit(t, Command{Kind: CommandConfirm, Name: name, Operator: "an", Revision: planned.Revision, PlanNumber: 1})
					names = append(names, name)
				}
			},
			"confirm": func(t *rapid.T) { submit(t, drawCommand(t, CommandConfirm)) },
			"both-confirm": func(t *rapid.T) {
				command := drawCommand(t, CommandConfirm)
				submit(t, command)
				command.Operator = "bert"
				submit(t, command)
			},
			"cancel": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "seldom") == 0 {
					submit(t, drawCommand(t, CommandCancel))
				}
			},
			"cancel-newest": func(t *rapid.T) {
				command := drawCommand(t, CommandCancel)
				command.Name = names[len(names)-1]
				if record := world.machine.Get(command.Name); record != nil {
					command.Revision = record.Revision
					submit(t, command)
				}
			},
			"resend": func(t *rapid.T) {
				if len(order) == 0 {
					return
				}
				request := rapid.SampledFrom(order).Draw(t, "request")
				again := world.apply(sent[request])
				if showResult(again) != showResult(first[request]) {
					t.Fatalf("a resent command got another result:\n%s%s", showResult(first[request]), showResult(again))
				}
			},
			"keeper-restarts": func(t *rapid.T) {
				restored := &Machine{}
				before := world.machine.Snapshot()
				if err := restored.Restore(before); err != nil {
					t.Fatal(err)
				}
				if string(restored.Snapshot()) != string(before) {
					t.Fatal("a restored machine differs")
				}
				world.machine = restored
			},
			"worker-dies":   func(t *rapid.T) { world.kill(drawWorker(t)) },
			"worker-is-cut": func(t *rapid.T) { world.cut(drawWorker(t)) },
			"lease-passes": func(t *rapid.T) {
				worker := drawWorker(t)
				if rapid.Bool().Draw(t, "dies") {
					world.kill(worker)
				} else {
					world.cut(worker)
				}
				for range 3 {
					world.step(4*time.Second, 4, true)
				}
				if rapid.Bool().Draw(t, "returns") {
					world.revive(worker)
				}
			},
			"worker-comes":  func(t *rapid.T) { world.revive(drawWorker(t)) },
			"lead-changes":  func(t *rapid.T) { world.changeLead(rapid.Bool().Draw(t, "lost")) },
			"time-3":        func(t *rapid.T) { world.drawStep(t) },
			"time-4":        func(t *rapid.T) { world.drawStep(t) },
			"time-5":        func(t *rapid.T) { world.drawStep(t) },
			"time-6":        func(t *rapid.T) { world.drawStep(t) },
			"time":          func(t *rapid.T) { world.drawStep(t) },
			"time-1":        func(t *rapid.T) { world.drawStep(t) },
			"time-2":        func(t *rapid.T) { world.drawStep(t) },
			"quotas-change": func(t *rapid.T) { world.inbox = append(world.inbox, drawQuotas(t)) },
			"":              func(t *rapid.T) { world.checkOutcomes() },
		})
		world.settleAll()
	})
}

// revive brings a worker back, as a new process if it died.
func (world *world) revive(worker *fakeWorker) {
	switch {
	case !worker.alive:
		world.boot(worker)
	case !worker.connected:
		world.connect(worker)
	}
}

// changeLead replaces the driver. The proposals of the former one are lost or stay on their
// way to the log.
func (world *world) changeLead(lost bool) {
	if lost {
		world.proposals = nil
	}
	world.replaceLead()
}

func (world *world) drawStep(t *rapid.T) {
	wait := time.Duration(rapid.IntRange(1, 4000).Draw(t, "wait")) * time.Millisecond
	world.logFirst = rapid.Bool().Draw(t, "log-first")
	world.step(wait, rapid.IntRange(0, 4).Draw(t, "applied"), rapid.Bool().Draw(t, "beats"))
}

// settleAll restores all workers. Then every confirmed intent must end, with outcomes that
// match what really ran.
func (world *world) settleAll() {
	world.inbox = append(world.inbox, QuotasChanged{Quotas: []TeamQuota{{Team: "t0"}, {Team: "t1"}}})
	for step := 0; step < 20_000 && (step < 30 || !world.idle()); step++ {
		for _, worker := range world.workers {
			world.revive(worker)
		}
		world.step(time.Second, len(world.proposals), true)
	}
	world.checkOutcomes()
	for _, name := range world.machine.Names() {
		record := world.machine.Get(name)
		if record.State >= StateConfirmed && !record.State.Ended() {
			for _, step := range record.Steps {
				world.t.Logf("%d %s: %s", step.Index, step.Kind, step.Reason)
			}
			world.t.Fatalf("%s never ended: %s with %s of %d", name, record.State, record.Tally(), record.Spec.Tasks())
		}
	}
	if used := world.driver.Placer.Used(); used != (identifier.Resources{}) {
		world.t.Fatalf("resources are still reserved after all intents ended: %v", used)
	}
}

// idle reports whether no confirmed intent is unfinished.
func (world *world) idle() bool {
	for _, name := range world.machine.Names() {
		state := world.machine.Get(name).State
		if state >= StateConfirmed && !state.Ended() {
			return false
		}
	}
	return true
}

func drawSpec(t *rapid.T) Spec {
	spec := Spec{
		Team:    identifier.TeamID(fmt.Sprint("t", rapid.IntRange(0, 1).Draw(t, "team"))),
		Urgency: placer.Urgency(rapid.IntRange(0, 2).Draw(t, "urgency")),
	}
	for range rapid.IntRange(1, 2).Draw(t, "batches") {
		spec.Batches = append(spec.Batches, Batch{
			Kind:  guarder.Kind(rapid.SampledFrom([]string{"k", "l"}).Draw(t, "kind")),
			Count: rapid.IntRange(1, 12).Draw(t, "count"),
			Need: identifier.Resources{
				MilliCPU: identifier.MilliCPU(rapid.SampledFrom([]int{500, 2000, 8000, 9000}).Draw(t, "cpu")),
				Memory:   identifier.Bytes(rapid.SampledFrom([]int{1 << 30, 9 << 30}).Draw(t, "memory")),
			},
			RunTime:        time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second,
			Repeatable:     rapid.Bool().Draw(t, "repeatable"),
			Checkpointable: rapid.Bool().Draw(t, "checkpointable"),
		})
	}
	return spec
}

// drawRun lets most tasks run as declared; some run far longer, use far more, end early or
// refuse to start, or fail.
func drawRun(t *rapid.T, batch Batch) (time.Duration, TaskEnd, identifier.Resources) {
	runTime, end, used := batch.RunTime, EndSucceeded, batch.Need
	switch rapid.IntRange(0, 7).Draw(t, "run") {
	case 0:
		runTime *= 6
	case 1:
		used = used.Times(3)
		runTime = time.Minute
	case 2:
		end = EndFailed
	case 4:
		end = EndRefused
	case 3:
		runTime /= 10
		used.MilliCPU /= 4
	}
	return runTime, end, used
}

func drawQuotas(t *rapid.T) QuotasChanged {
	limit := identifier.Resources{MilliCPU: identifier.MilliCPU(rapid.IntRange(0, 16).Draw(t, "cpu") * 1000)}
	return QuotasChanged{Quotas: []TeamQuota{{Team: "t0", Quota: placer.Quota{Limit: limit, TasksInFlight: rapid.IntRange(0, 5).Draw(t, "tasks")}}}}
}
