package supervisor_test

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/supervisor"
)

// TestScenarios runs the scenarios in testdata. Each command is one tick at the time of its
// argument at; its outputs are printed one per line.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		scenario := &scenario{supervisor: &supervisor.Supervisor{
			FailureDomain: "leuven", Settings: supervisor.DefaultSettings(),
		}, requestNumbers: make(map[string]messenger.RequestNumber), t: t}
		datadriven.RunTest(t, path, scenario.run)
	})
}

// scenario is one supervisor whose inputs come from a scenario file.
type scenario struct {
	supervisor *supervisor.Supervisor
	now        identifier.Moment
	// requestNumbers holds the number of the last request to each lead for each job.
	requestNumbers map[string]messenger.RequestNumber
	t              *testing.T
}

// requestNumber returns the number of the request that a lead answers: that of the last request,
// unless the command names an earlier one in its argument ask.
func (scenario *scenario) requestNumber(data *datadriven.TestData, from identifier.HostID, job identifier.JobID) messenger.RequestNumber {
	number := int(scenario.requestNumbers[string(from)+" "+string(job)])
	data.MaybeScanArgs(scenario.t, "ask", &number)
	return messenger.RequestNumber(number)
}

func (scenario *scenario) run(t *testing.T, data *datadriven.TestData) string {
	if text := scanString(t, data, "at"); text != "" {
		at, err := time.ParseDuration(text)
		if err != nil {
			t.Fatal(err)
		}
		scenario.now = identifier.Moment(at)
	}
	id := identifier.JobID(scanString(t, data, "job"))
	from := identifier.HostID(scanString(t, data, "from"))
	key := messenger.RunKey{Job: id}
	data.MaybeScanArgs(t, "task", (*int)(&key.Task))
	run, waiter, epoch := 0, uint64(1), uint64(7)
	data.MaybeScanArgs(t, "run", &run)
	data.MaybeScanArgs(t, "waiter", &waiter)
	data.MaybeScanArgs(t, "epoch", &epoch)
	key.Run = identifier.RunNumber(run)
	var inputs []supervisor.Input
	switch data.Cmd {
	case "lead":
		inputs = append(inputs, &supervisor.LeadChanged{
			Cell: messenger.CellRef{FailureDomain: identifier.FailureDomain(scanString(t, data, "domain"))}, Host: identifier.HostID(scanString(t, data, "host")),
			Epoch: identifier.Epoch(epoch),
		})
	case "job":
		inputs = append(inputs, scenario.arrival(t, data, id, supervisor.WaiterID(waiter)))
	case "left":
		inputs = append(inputs, &supervisor.CallerLeft{Waiter: supervisor.WaiterID(waiter), Job: id})
	case "grant":
		granted := messenger.GrantedRun{
			Task: key.Task, Run: key.Run, Server: scanServer(t, data), Address: "address of s1", LeaseEnd: 1000, EarlierSettled: data.HasArg("settled"),
		}
		inputs = append(inputs, &supervisor.GrantArrived{From: from, Grant: messenger.Grant{
			Job: id, Epoch: identifier.Epoch(epoch), Runs: []messenger.GrantedRun{granted}, RequestNumber: scenario.requestNumber(data, from, id),
		}})
	case "answer":
		kind, err := messenger.CapacityAnswerKindString(scanString(t, data, "kind"))
		if err != nil {
			t.Fatal(err)
		}
		inputs = append(inputs, &supervisor.AnswerArrived{From: from, Answer: messenger.CapacityAnswer{
			Job: id, Kind: kind, OtherCell: messenger.CellRef{FailureDomain: identifier.FailureDomain(scanString(t, data, "other"))},
			Tasks: scanTasks(t, data), RequestNumber: scenario.requestNumber(data, from, id), GrantedBefore: data.HasArg("begun"),
		}})
	case "done":
		inputs = append(inputs, &supervisor.TaskDoneArrived{From: from, Done: messenger.TaskDone{RunKey: key}})
	case "started":
		outcome, err := messenger.StartOutcomeString(scanString(t, data, "outcome"))
		if err != nil {
			t.Fatal(err)
		}
		inputs = append(inputs, &supervisor.StartReturned{Run: key, Server: scanServer(t, data), Outcome: outcome, Epoch: identifier.Epoch(epoch)})
	case "evacuate":
		inputs = append(inputs, &supervisor.EvacuationsChanged{Evacuated: messenger.EvacuatedDomains{identifier.FailureDomain(scanString(t, data, "domain"))}})
	case "host-ends":
		inputs = append(inputs, &supervisor.ShutdownStarted{})
	case "peers":
		peers := 0
		data.ScanArgs(t, "count", &peers)
		inputs = append(inputs, &supervisor.PeersChanged{Count: peers})
	case "wait":
	default:
		t.Fatalf("unknown command %q", data.Cmd)
	}
	outputs := scenario.supervisor.Tick(scenario.now, inputs)
	for _, output := range outputs {
		if request, isRequest := output.(*supervisor.RequestCapacity); isRequest {
			scenario.requestNumbers[string(request.To)+" "+string(request.Request.Job)] = request.Request.Number
		}
	}
	return show(outputs)
}

func (scenario *scenario) arrival(t *testing.T, data *datadriven.TestData, id identifier.JobID, waiter supervisor.WaiterID) supervisor.Input {
	tasks := 1
	data.MaybeScanArgs(t, "tasks", &tasks)
	declared := 60 * time.Millisecond
	if text := scanString(t, data, "declared"); text != "" {
		parsed, err := time.ParseDuration(text)
		if err != nil {
			t.Fatal(err)
		}
		declared = parsed
	}
	job := supervisor.Job{Job: id, Service: "desk", Queue: "quick", Attempts: 2, Stretch: 1.6, Payload: "payload"}
	for index := range tasks {
		job.Tasks = append(job.Tasks, messenger.TaskRequest{Task: messenger.TaskIndex(index), Declared: declared})
	}
	return &supervisor.JobArrived{Waiter: waiter, Job: job, Deadline: scenario.now.Add(2 * time.Second)}
}

func scanTasks(t *testing.T, data *datadriven.TestData) []messenger.TaskIndex {
	var tasks []messenger.TaskIndex
	for _, argument := range data.CmdArgs {
		if argument.Key != "tasks" || data.Cmd != "answer" {
			continue
		}
		for _, text := range argument.Vals {
			index, err := strconv.Atoi(text)
			if err != nil {
				t.Fatal(err)
			}
			tasks = append(tasks, messenger.TaskIndex(index))
		}
	}
	return tasks
}

// scanServer returns the server of a command. With the argument born its id is dated.
func scanServer(t *testing.T, data *datadriven.TestData) identifier.ServerIncarnation {
	server, born := cmp.Or(scanString(t, data, "server"), "s1"), int64(0)
	data.MaybeScanArgs(t, "born", &born)
	if born == 0 {
		return identifier.ServerIncarnation(server)
	}
	return identifier.NewServerIncarnation(identifier.BackendServerID(server), identifier.UnixMilliseconds(born))
}

func scanString(t *testing.T, data *datadriven.TestData, key string) string {
	var text string
	data.MaybeScanArgs(t, key, &text)
	return text
}

func show(outputs []supervisor.Output) string {
	var lines strings.Builder
	for _, output := range outputs {
		switch output := output.(type) {
		case *supervisor.RequestCapacity:
			fmt.Fprintf(&lines, "ask %s for %s: %d tasks, %d held, runs above %d, handed over %v\n", output.To, output.Request.Job,
				len(output.Request.Tasks), len(output.Request.ActiveRuns), output.Request.HighestRun, output.Request.HandedOff)
		case *supervisor.ReleaseCapacity:
			fmt.Fprintf(&lines, "release %s at %s\n", output.Release.Job, output.To)
		case *supervisor.ReportStart:
			fmt.Fprintf(&lines, "report %s task %d run %d to %s: %s%s\n", output.Report.RunKey.Job, output.Report.RunKey.Task,
				output.Report.RunKey.Run, output.To, output.Report.Outcome, showUnsettled(output.Report.Unsettled))
		case *supervisor.ReportRepeat:
			fmt.Fprintf(&lines, "report to %s that a start is repeated%s\n", output.To, showUnsettled(&output.Repeat.Start))
		case *supervisor.StartRun:
			fmt.Fprintf(&lines, "start %s task %d run %d on %s epoch %d\n", output.Run.Job, output.Run.Task, output.Run.Run, output.Server, output.Epoch)
		case *supervisor.JobEnded:
			fmt.Fprintf(&lines, "tell %d: %s %s %s\n", output.Waiter, output.Job, output.Outcome, output.Reason)
		}
	}
	return lines.String()
}

func showUnsettled(start *messenger.UnsettledStart) string {
	if start == nil {
		return ""
	}
	return fmt.Sprintf(", unsettled: %s task %d run %d on %s epoch %d, called %v ago",
		start.RunKey.Job, start.RunKey.Task, start.RunKey.Run, start.Server, start.Epoch, start.Age)
}
