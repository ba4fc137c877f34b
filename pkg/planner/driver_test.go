package planner

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/placer"
)

// script is a world that is driven by the commands of a golden file.
type script struct {
	*world
	// runTime, cpu, memory and end override how tasks that start from now on run; cpu and
	// memory are in thousandths of the declared need.
	runTime time.Duration
	cpu     int64
	memory  int64
	end     TaskEnd
	// failingWorker fails every task after a second.
	failingWorker identifier.WorkerID
}

// TestDriver runs intents from the plan to the outcome, with faults.
func TestDriver(t *testing.T) {
	datadriven.Walk(t, "testdata/driver", func(t *testing.T, path string) {
		script := &script{world: newWorld(t, 2)}
		script.awaitWorkers()
		script.behave = func(start StartTask) (time.Duration, TaskEnd, identifier.Resources) {
			batch := script.machine.Get(start.Intent).Spec.Batches[start.Batch]
			used := batch.Need
			runTime := batch.RunTime
			if script.cpu > 0 {
				used.MilliCPU = used.MilliCPU * identifier.MilliCPU(script.cpu) / 1000
			}
			if script.memory > 0 {
				used.Memory = used.Memory * identifier.Bytes(script.memory) / 1000
			}
			if start.Worker == script.failingWorker {
				return time.Second, EndFailed, used
			}
			if script.runTime > 0 {
				runTime = script.runTime
			}
			return runTime, script.end, used
		}
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			script.trace = nil
			script.command(t, data)
			text := ""
			for _, line := range script.trace {
				if line != "" {
					text += line + "\n"
				}
			}
			if data.Cmd == "show" {
				text += showRecord(script.machine.Get(scanCommand(t, data).Name))
			}
			return text
		})
		script.checkOutcomes()
	})
}

// awaitWorkers lets the workers announce themselves to the lead.
func (script *script) awaitWorkers() {
	for range 11 {
		script.step(time.Second, 0, true)
	}
	script.trace = nil
}

// restarted returns a new world whose workers all stand in one rack.
func (script *script) restarted(t *testing.T, count int) *world {
	world := newWorld(t, count)
	world.behave = script.behave
	for _, worker := range world.workers {
		worker.worker.Rack = "r0"
		world.connect(worker)
	}
	return world
}

func (script *script) command(t *testing.T, data *datadriven.TestData) {
	var id string
	data.MaybeScanArgs(t, "worker", &id)
	worker := script.worker(identifier.WorkerID(id))
	command := scanCommand(t, data)
	switch data.Cmd {
	case "intent":
		command.Kind, command.Spec = CommandCreate, &Spec{}
		if err := json.Unmarshal([]byte(data.Input), command.Spec); err != nil {
			t.Fatal(err)
		}
		script.apply(command)
		planned := script.propose(command.Name)
		command.Kind, command.Spec = CommandConfirm, nil
		command.Revision, command.PlanNumber = planned.Revision, 1
		script.trace = append(script.trace, strings.TrimSpace(showResult(script.apply(command))))
	case "cancel":
		command.Kind, command.Revision = CommandCancel, script.machine.Get(command.Name).Revision
		script.apply(command)
	case "behave":
		var runTime, end string
		data.MaybeScanArgs(t, "run-time", &runTime)
		data.MaybeScanArgs(t, "cpu-permille", &script.cpu)
		data.MaybeScanArgs(t, "memory-permille", &script.memory)
		data.MaybeScanArgs(t, "end", &end)
		script.runTime, _ = time.ParseDuration(runTime)
		script.end, _ = TaskEndString(end)
	case "workers":
		// All of these stand in one rack.
		var count int
		data.ScanArgs(t, "count", &count)
		script.world = script.restarted(t, count)
		script.awaitWorkers()
	case "bad":
		script.failingWorker = identifier.WorkerID(id)
	case "kill":
		script.kill(worker)
	case "cut":
		script.cut(worker)
	case "revive":
		script.revive(worker)
	case "lead-changes":
		script.changeLead(true)
	case "quota":
		quota := placer.Quota{Limit: scanNeed(t, data)}
		data.MaybeScanArgs(t, "tasks", &quota.TasksInFlight)
		script.inbox = append(script.inbox, QuotasChanged{Quotas: []TeamQuota{{Team: "t", Quota: quota}}})
	case "evacuate":
		script.inbox = append(script.inbox, EvacuationChanged{Evacuated: true})
	case "readmit":
		script.inbox = append(script.inbox, EvacuationChanged{})
	case "step":
		times := 1
		data.MaybeScanArgs(t, "times", &times)
		for range times {
			script.step(time.Second, len(script.proposals), true)
		}
	case "show":
	default:
		t.Fatal(fmt.Errorf("unknown command %s", data.Cmd))
	}
}
