package allocator_test

import (
	"cmp"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/stoathitch/stoathitch/pkg/allocator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// TestScenarios runs the files of testdata/scenarios. Each command is one tick at the time of its
// argument at; the outputs are printed, one per line.
func TestScenarios(t *testing.T) { runScenarios(t, "testdata/scenarios") }

// TestRunIsOverOnlyOnProof guards against runs that are taken for over while they go on, so that
// their task runs twice at the same time. Both runs were started by the host of the caller. A host
// that had been frozen reported a backend server whose incarnation had ended, and that incarnation
// counted as the newer one at the address:
//
//	10.5139 server-gone server=i-66fa90cc38 reason=replaced tasks=1
//	10.5139 run-over task=1 run=2 server=i-66fa90cc38 reason="server gone" elapsed=65.851454ms
//	10.5139 granted run=4 server=i-4c6fe32c45
//	10.5179 server-gone server=i-f5abbe04a8 reason="another incarnation answers"
//	10.756  run 2 ended well
//
// The files cover this and the other events that are no proof of an end: a list from before another
// lead's time, leases that ended before the run began, an announced leave, the end of another run
// with the same number.
func TestRunIsOverOnlyOnProof(t *testing.T) { runScenarios(t, "testdata/over") }

func runScenarios(t *testing.T, folder string) {
	datadriven.Walk(t, folder, func(t *testing.T, path string) {
		scenario := &scenario{allocator: &allocator.Allocator{
			FailureDomain: "leuven", Settings: allocator.DefaultSettings(),
		}, lastSequence: make(map[identifier.ServerIncarnation]uint64), fences: make(map[messenger.RunKey]identifier.Epoch)}
		datadriven.RunTest(t, path, scenario.run)
	})
}

// geel is the cell of the other failure domain.
var geel = messenger.CellRef{FailureDomain: "geel"}

// scenario is one allocator whose environment is simulated by a test file.
type scenario struct {
	allocator *allocator.Allocator
	now       identifier.Moment
	// epoch is the one under which the allocator leads and makes its calls.
	epoch identifier.Epoch
	// fences holds the fence of each granted run.
	fences map[messenger.RunKey]identifier.Epoch
	// lastSequence holds the number of the last call to each server.
	lastSequence map[identifier.ServerIncarnation]uint64
}

func (scenario *scenario) run(t *testing.T, data *datadriven.TestData) string {
	var at time.Duration
	if scanned, found := scanDuration(t, data, "at"); found {
		at = scanned
		scenario.now = identifier.Moment(at)
	}
	var inputs []allocator.Input
	switch data.Cmd {
	case "settings":
		if lease, found := scanDuration(t, data, "lease"); found {
			scenario.allocator.Settings.Lease = lease
		}
		return ""
	case "lead":
		var epoch uint64
		data.ScanArgs(t, "epoch", &epoch)
		scenario.epoch = identifier.Epoch(epoch)
		inputs = append(inputs, &allocator.LeadTaken{Epoch: identifier.Epoch(epoch)})
		if !data.HasArg("unfollowed") {
			inputs = append(inputs, &allocator.OthersFollow{Following: true})
		}
	case "follow":
		inputs = append(inputs, &allocator.OthersFollow{Following: !data.HasArg("not")})
	case "named":
		inputs = append(inputs, &allocator.RunsReported{})
	case "lead-lost":
		inputs = append(inputs, &allocator.LeadLost{})
	case "card":
		inputs = append(inputs, &allocator.ReportArrived{Report: scanReport(t, data)})
	case "recall":
		inputs = append(inputs, &allocator.ReportRecalled{Report: scanReport(t, data)})
	case "request":
		inputs = append(inputs, &allocator.CapacityRequested{From: "host-b", Request: scanRequest(t, data)})
	case "release":
		inputs = append(inputs, &allocator.CapacityReleased{From: "host-b", Job: identifier.JobID(scanString(t, data, "job"))})
	case "report":
		inputs = append(inputs, scenario.scanStartReport(t, data))
	case "hold":
		inputs = append(inputs, scenario.scanPoll(t, data))
	case "stopped":
		inputs = append(inputs, scenario.scanStopped(t, data))
	case "host-gone":
		inputs = append(inputs, &allocator.HostGone{Host: "host-b"})
	case "remote":
		inputs = append(inputs, &allocator.RemoteLeadChanged{Cell: geel, Host: "host-g"})
		var freeSlots int
		data.ScanArgs(t, "spots", &freeSlots)
		inputs = append(inputs, &allocator.NoticeArrived{Notice: messenger.CapacityNotice{From: geel, FreeSlots: freeSlots}})
	case "evacuate":
		inputs = append(inputs, &allocator.EvacuationsChanged{Evacuated: domainsNamed(scanStrings(t, data, "domains"))})
	case "wait":
		return scenario.wait()
	default:
		t.Fatalf("unknown command %q", data.Cmd)
	}
	return scenario.show(scenario.allocator.Tick(scenario.now, inputs))
}

// wait fires all deadlines up to the present time, each at its own time.
func (scenario *scenario) wait() string {
	var lines strings.Builder
	until := scenario.now
	for {
		next := scenario.allocator.NextDeadline()
		if next > until {
			return lines.String()
		}
		scenario.now = next
		for _, line := range strings.SplitAfter(scenario.show(scenario.allocator.Tick(next, nil)), "\n") {
			if line != "" {
				fmt.Fprintf(&lines, "%v: %s", time.Duration(next), line)
			}
		}
		scenario.now = until
	}
}

func (scenario *scenario) show(outputs []allocator.Output) string {
	var lines strings.Builder
	for _, output := range outputs {
		switch output := output.(type) {
		case *allocator.GrantCapacity:
			for _, run := range output.Grant.Runs {
				key := messenger.RunKey{Job: output.Grant.Job, Task: run.Task, Run: run.Run}
				scenario.fences[key] = cmp.Or(run.Fence, output.Grant.Epoch)
				fmt.Fprintf(&lines, "grant %s task %d run %d on %s epoch %d\n", output.Grant.Job, run.Task, run.Run, run.Server, output.Grant.Epoch)
			}
		case *allocator.AnswerRequest:
			fmt.Fprintf(&lines, "answer %s %s %s", output.Answer.Job, output.Answer.Kind, output.Answer.Reason)
			if len(output.Answer.Tasks) > 0 {
				fmt.Fprintf(&lines, " at %s for tasks %v", output.Answer.OtherCell.FailureDomain, output.Answer.Tasks)
			}
			lines.WriteByte('\n')
		case *allocator.NotifyDone:
			fmt.Fprintf(&lines, "done %s task %d run %d\n", output.Done.RunKey.Job, output.Done.RunKey.Task, output.Done.RunKey.Run)
		case *allocator.PollServer:
			scenario.lastSequence[output.Server] = output.Sequence
			fmt.Fprintf(&lines, "hold %s lease %d cursor %d wait %v\n", output.Server, output.LeaseEnd, output.Cursor, output.Wait)
		case *allocator.StopRun:
			fmt.Fprintf(&lines, "stop %s task %d run %d on %s\n", output.Run.Job, output.Run.Task, output.Run.Run, output.Server)
		case *allocator.LeadFenced:
			fmt.Fprintf(&lines, "fenced %d\n", output.Epoch)
		}
	}
	return lines.String()
}

func scanString(t *testing.T, data *datadriven.TestData, key string) string {
	var text string
	data.MaybeScanArgs(t, key, &text)
	return text
}

func scanDuration(t *testing.T, data *datadriven.TestData, key string) (time.Duration, bool) {
	text := scanString(t, data, key)
	if text == "" {
		return 0, false
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return duration, true
}

func scanReport(t *testing.T, data *datadriven.TestData) messenger.ServerReport {
	report := messenger.ServerReport{
		Server: scanServer(t, data, "server"), Service: "desk", FailureDomain: "leuven", Sequence: 1,
	}
	report.Address = scanString(t, data, "address")
	if report.Address == "" {
		report.Address = "address of " + string(report.Server.Server())
	}
	cpu := 32000
	data.MaybeScanArgs(t, "cpu", &cpu)
	data.MaybeScanArgs(t, "sequence", &report.Sequence)
	report.Capacity = identifier.Resources{MilliCPU: identifier.MilliCPU(cpu), Memory: 64 << 30}
	if rack := scanString(t, data, "rack"); rack != "" {
		report.Labels = []string{rack}
	}
	report.Draining = data.HasArg("draining")
	report.Gone = data.HasArg("gone")
	return report
}

// scanRequest reads a request for tasks=N of 14 cores and ms=N each, with the runs that the job
// still has as held=TASK/RUN@SERVER, at held-address or an address of their own.
func scanRequest(t *testing.T, data *datadriven.TestData) messenger.CapacityRequest {
	request := messenger.CapacityRequest{
		Job: identifier.JobID(scanString(t, data, "job")), Service: "desk", Queue: "quick", Attempts: 2, Stretch: 1.6,
		Allowance: 60 * time.Millisecond, Remaining: 2 * time.Second, HandedOff: data.HasArg("handed-over"), Partial: data.HasArg("part"),
		PreferredLabel: scanString(t, data, "near"),
	}
	tasks, milliseconds, cpu := 0, 60, 14000
	data.MaybeScanArgs(t, "tasks", &tasks)
	data.MaybeScanArgs(t, "ms", &milliseconds)
	data.MaybeScanArgs(t, "cpu", &cpu)
	task := messenger.TaskRequest{
		Needs:    identifier.Resources{MilliCPU: identifier.MilliCPU(cpu), Memory: 64 << 20},
		Declared: time.Duration(milliseconds) * time.Millisecond,
	}
	for index := range tasks {
		task.Task = messenger.TaskIndex(index)
		request.Tasks = append(request.Tasks, task)
	}
	for _, text := range scanStrings(t, data, "held") {
		key, server := scanRun(t, string(request.Job)+"/"+text)
		task.Task = key.Task
		address := cmp.Or(scanString(t, data, "held-address"), "address of "+string(server.Server()))
		request.ActiveRuns = append(request.ActiveRuns, messenger.ActiveRun{TaskRequest: task, Run: key.Run, Server: server, Address: address})
	}
	return request
}

func scanStrings(t *testing.T, data *datadriven.TestData, key string) []string {
	if !data.HasArg(key) {
		return nil
	}
	for _, argument := range data.CmdArgs {
		if argument.Key == key {
			return argument.Vals
		}
	}
	return nil
}

// scanRun reads JOB/TASK/RUN, or JOB/TASK/RUN@SERVER.
func scanRun(t *testing.T, text string) (messenger.RunKey, identifier.ServerIncarnation) {
	text, server, _ := strings.Cut(text, "@")
	parts := strings.Split(text, "/")
	if len(parts) != 3 {
		t.Fatalf("want JOB/TASK/RUN, got %q", text)
	}
	key := messenger.RunKey{Job: identifier.JobID(parts[0])}
	if _, err := fmt.Sscan(parts[1]+" "+parts[2], &key.Task, &key.Run); err != nil {
		t.Fatal(err)
	}
	return key, incarnationOf(t, server)
}

func scanServer(t *testing.T, data *datadriven.TestData, key string) identifier.ServerIncarnation {
	return incarnationOf(t, scanString(t, data, key))
}

// incarnationOf reads SERVER, or SERVER:BORN for a server that reports when its incarnation began.
func incarnationOf(t *testing.T, text string) identifier.ServerIncarnation {
	server, text, dated := strings.Cut(text, ":")
	if !dated {
		return identifier.IncarnationWithoutStartTime(identifier.BackendServerID(server))
	}
	var born identifier.UnixMilliseconds
	if _, err := fmt.Sscan(text, &born); err != nil {
		t.Fatal(err)
	}
	return identifier.NewServerIncarnation(identifier.BackendServerID(server), born)
}

func (scenario *scenario) scanStartReport(t *testing.T, data *datadriven.TestData) *allocator.StartReported {
	key, server := scanRun(t, scanString(t, data, "run"))
	outcome, err := messenger.StartOutcomeString(scanString(t, data, "outcome"))
	if err != nil {
		t.Fatal(err)
	}
	if server == "" {
		t.Fatal("a report names its server: run=JOB/TASK/RUN@SERVER")
	}
	return &allocator.StartReported{From: "host-b", Report: messenger.StartReport{
		RunKey: key, Server: server, Outcome: outcome, Epoch: cmp.Or(scenario.fences[key], scenario.epoch),
	}}
}

// scanPoll reads the answer to a poll: running=(RUN,...), ended=(NUMBER:KIND:RUN,...), and partial
// if some rows could not be read.
func (scenario *scenario) scanPoll(t *testing.T, data *datadriven.TestData) *allocator.PollReturned {
	returned := &allocator.PollReturned{
		Server: scanServer(t, data, "server"), SentAt: scenario.now - identifier.Moment(time.Millisecond),
		Clock: identifier.ServerTime(time.Duration(scenario.now).Milliseconds()),
	}
	returned.Answering = returned.Server
	if data.HasArg("answering") {
		returned.Answering = scanServer(t, data, "answering")
	}
	sequence := scenario.lastSequence[returned.Server]
	data.MaybeScanArgs(t, "sequence", &sequence)
	returned.Sequence = sequence
	if sent, found := scanDuration(t, data, "sent"); found {
		returned.SentAt = identifier.Moment(sent)
	}
	if text := scanString(t, data, "outcome"); text != "" {
		outcome, err := allocator.CallOutcomeString(text)
		if err != nil {
			t.Fatal(err)
		}
		returned.Outcome = outcome
	}
	returned.Partial = data.HasArg("partial")
	for _, text := range scanStrings(t, data, "running") {
		key, _ := scanRun(t, text)
		returned.Running = append(returned.Running, key)
	}
	for _, text := range scanStrings(t, data, "ended") {
		parts := strings.SplitN(text, ":", 3)
		key, _ := scanRun(t, parts[2])
		end := allocator.RunEnd{Run: key}
		if _, err := fmt.Sscan(parts[0], &end.Number); err != nil {
			t.Fatal(err)
		}
		kind, err := allocator.EndKindString(parts[1])
		if err != nil {
			t.Fatal(err)
		}
		end.Kind = kind
		returned.Ended = append(returned.Ended, end)
	}
	return returned
}

func (scenario *scenario) scanStopped(t *testing.T, data *datadriven.TestData) *allocator.StopReturned {
	key, server := scanRun(t, scanString(t, data, "run"))
	returned := &allocator.StopReturned{Epoch: cmp.Or(scenario.fences[key], scenario.epoch), Server: server, Run: key}
	if data.HasArg("unanswered") {
		returned.Outcome = allocator.CallUnanswered
	}
	return returned
}
