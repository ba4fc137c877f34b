package planner

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/stoathitch/stoathitch/pkg/guarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/placer"
)

// exchange is a keeper's machine with a proposer and the domain statuses that it plans from.
type exchange struct {
	machine  *Machine
	index    identifier.LogIndex
	proposer *Proposer
	learner  *guarder.Learner
}

// TestExchange runs command sequences between operators and the machine.
func TestExchange(t *testing.T) {
	datadriven.Walk(t, "testdata/exchange", func(t *testing.T, path string) {
		learner := &guarder.Learner{}
		exchange := &exchange{
			machine:  &Machine{},
			learner:  learner,
			proposer: &Proposer{ConfirmTimeout: DefaultConfirmTimeout, Correction: learner.Correction},
		}
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			return exchange.run(t, data)
		})
	})
}

func (exchange *exchange) run(t *testing.T, data *datadriven.TestData) string {
	command := scanCommand(t, data)
	switch data.Cmd {
	case "workers":
		return exchange.workers(t, data)
	case "quota":
		exchange.proposer.Quota = placer.Quota{Limit: scanNeed(t, data)}
		data.MaybeScanArgs(t, "tasks", &exchange.proposer.Quota.TasksInFlight)
		return "ok\n"
	case "learn":
		var team, kind string
		data.ScanArgs(t, "team", &team)
		data.ScanArgs(t, "kind", &kind)
		declared := guarder.Declaration{Need: identifier.Resources{MilliCPU: 1000, Memory: 1000}, RunTime: time.Second}
		for range 8 {
			exchange.learner.Observe(guarder.KindKey{Team: identifier.TeamID(team), Kind: guarder.Kind(kind)}, declared, scanNeed(t, data), 3*time.Second)
		}
		return "ok\n"
	case "restart":
		restored := &Machine{}
		if err := restored.Restore(exchange.machine.Snapshot()); err != nil {
			t.Fatal(err)
		}
		exchange.machine = restored
		return fmt.Sprintf("applied=%d\n", restored.Applied())
	case "show":
		return showRecord(exchange.machine.Get(command.Name))
	case "create":
		command.Spec = &Spec{}
		if err := json.Unmarshal([]byte(data.Input), command.Spec); err != nil {
			t.Fatal(err)
		}
	case "plan":
		if record := exchange.machine.Get(command.Name); record != nil {
			plan := exchange.proposer.Propose(command.Wall, record.Spec)
			command.Plan = &plan
		}
	case "outrun":
		record := exchange.machine.Get(command.Name)
		reason, _ := exchange.proposer.Outdated(command.Wall, record.Spec, *record.Plan)
		return fmt.Sprintf("outrun: %q\n", reason)
	case "progress":
		command.Progress = &Progress{}
		var domain string
		data.ScanArgs(t, "domain", &domain)
		data.MaybeScanArgs(t, "epoch", (*uint64)(&command.Progress.Epoch))
		command.Progress.FailureDomain = identifier.FailureDomain(domain)
		command.Progress.Started = true
		command.Progress.Ranges = scanRanges(t, data.Input)
	case "claim":
		command.Claim = &Claim{}
		var domain string
		data.ScanArgs(t, "domain", &domain)
		data.ScanArgs(t, "from", &command.Claim.From)
		data.ScanArgs(t, "to", &command.Claim.To)
		data.MaybeScanArgs(t, "epoch", (*uint64)(&command.Claim.Epoch))
		command.Claim.FailureDomain = identifier.FailureDomain(domain)
	}
	kind, err := CommandKindString(data.Cmd)
	if err != nil {
		t.Fatal(err)
	}
	command.Kind = kind
	encoded, err := EncodeCommand(command)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeCommand(encoded)
	if err != nil {
		t.Fatal(err)
	}
	exchange.index++
	return showResult(exchange.machine.Apply(exchange.index, decoded))
}

func (exchange *exchange) workers(t *testing.T, data *datadriven.TestData) string {
	var domain string
	var count int
	var free int64
	data.ScanArgs(t, "domain", &domain)
	data.ScanArgs(t, "count", &count)
	capacity := scanNeed(t, data)
	free = int64(capacity.MilliCPU)
	data.MaybeScanArgs(t, "free", &free)
	status := DomainStatus{FailureDomain: identifier.FailureDomain(domain), Loads: make([]placer.Load, 3)}
	for number := range count {
		workerCapacity := placer.WorkerCapacity{Rack: identifier.RackID(fmt.Sprint(domain, "-r", number/8)), Capacity: capacity, Free: capacity}
		workerCapacity.Free.MilliCPU = identifier.MilliCPU(free)
		status.Workers = append(status.Workers, workerCapacity)
	}
	var running int
	data.MaybeScanArgs(t, "background", &running)
	if running > 0 {
		used := identifier.Resources{MilliCPU: (capacity.MilliCPU - identifier.MilliCPU(free)) * identifier.MilliCPU(count)}
		status.Loads[0] = placer.Load{Running: running, Used: used, Work: int64(used.MilliCPU) * 60}
	}
	for position := range exchange.proposer.Domains {
		if exchange.proposer.Domains[position].FailureDomain == status.FailureDomain {
			exchange.proposer.Domains[position] = status
			return "ok\n"
		}
	}
	exchange.proposer.Domains = append(exchange.proposer.Domains, status)
	return "ok\n"
}

func scanCommand(t *testing.T, data *datadriven.TestData) Command {
	var request, operator, name, reason string
	command := Command{}
	data.MaybeScanArgs(t, "request", &request)
	data.MaybeScanArgs(t, "operator", &operator)
	data.MaybeScanArgs(t, "name", &name)
	data.MaybeScanArgs(t, "reason", &reason)
	data.MaybeScanArgs(t, "wall", (*int64)(&command.Wall))
	data.MaybeScanArgs(t, "revision", &command.Revision)
	data.MaybeScanArgs(t, "plan-number", &command.PlanNumber)
	command.Request = identifier.RequestID(request)
	command.Operator = OperatorID(operator)
	command.Name = identifier.IntentName(name)
	command.Reason = reason
	return command
}

func scanNeed(t *testing.T, data *datadriven.TestData) identifier.Resources {
	var cpu, memory, accelerators int64
	data.MaybeScanArgs(t, "cpu", &cpu)
	data.MaybeScanArgs(t, "memory", &memory)
	data.MaybeScanArgs(t, "accelerators", &accelerators)
	return identifier.Resources{MilliCPU: identifier.MilliCPU(cpu), Memory: identifier.Bytes(memory), Accelerators: identifier.Accelerators(accelerators)}
}

// scanRanges parses lines of batch, from, to and outcome.
func scanRanges(t *testing.T, input string) []Range {
	var ranges []Range
	for line := range strings.Lines(input) {
		var next Range
		var outcome string
		if _, err := fmt.Sscan(line, &next.Batch, &next.From, &next.To, &outcome); err != nil {
			t.Fatal(err)
		}
		parsed, err := OutcomeString(outcome)
		if err != nil {
			t.Fatal(err)
		}
		next.Outcome = parsed
		ranges = append(ranges, next)
	}
	return ranges
}

func showResult(result Result) string {
	text := fmt.Sprintf("%s index=%d state=%s revision=%d", result.Kind, result.Index, result.State, result.Revision)
	if result.Reason != "" {
		text += ": " + result.Reason
	}
	if result.Winner != nil {
		text += fmt.Sprintf("\nwinner: %s at %d with %s, request %s", result.Winner.Operator, result.Winner.Wall, result.Winner.Kind, result.Winner.Request)
		if result.Winner.Spec != nil {
			text += fmt.Sprintf(", %d tasks of %s", result.Winner.Spec.Tasks(), result.Winner.Spec.Team)
		}
	}
	if result.Plan != nil {
		data, _ := json.MarshalIndent(result.Plan, "", " ")
		text += "\n" + string(data)
	}
	return text + "\n"
}

func showRecord(record *Record) string {
	if record == nil {
		return "none\n"
	}
	text := fmt.Sprintf("%s revision=%d tally: %s\n", record.State, record.Revision, record.Tally())
	for _, step := range record.Steps {
		text += fmt.Sprintf("%d at %d %s: %s\n", step.Index, step.Wall, step.Kind, step.Reason)
	}
	return text
}
