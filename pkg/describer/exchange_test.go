package describer

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/placer"
	"github.com/stoathitch/stoathitch/pkg/planner"
)

// exchange applies the requests of the golden file to a planner through a log without faults.
type exchange struct {
	machine planner.Machine
	index   identifier.LogIndex
	wall    planner.WallTime
}

func (exchange *exchange) apply(command planner.Command) planner.Result {
	exchange.index++
	exchange.wall = exchange.wall.Add(1500 * time.Millisecond)
	command.Wall = exchange.wall
	return exchange.machine.Apply(exchange.index, command)
}

// plan proposes and applies a plan for an intent, as the system does.
func (exchange *exchange) plan(name identifier.IntentName) {
	record := exchange.machine.Get(name)
	domainStatus := planner.DomainStatus{FailureDomain: "thu-duc"}
	for _, rack := range []identifier.RackID{"thu-duc-rack-0", "thu-duc-rack-1"} {
		capacity := identifier.Resources{MilliCPU: 16_000, Memory: 64 << 30}
		domainStatus.Workers = append(domainStatus.Workers, placer.WorkerCapacity{Rack: rack, Capacity: capacity, Free: capacity})
	}
	proposer := &planner.Proposer{
		ConfirmTimeout: planner.DefaultConfirmTimeout, Domains: []planner.DomainStatus{domainStatus}, Correction: exchange.machine.Correction,
		Quota: placer.Quota{Limit: identifier.Resources{MilliCPU: 32_000}},
	}
	plan := proposer.Propose(exchange.wall, record.Spec)
	exchange.apply(planner.Command{Kind: planner.CommandPlan, Name: name, Revision: record.Revision, Operator: "system", Plan: &plan})
}

func indented(t *testing.T, body any) string {
	t.Helper()
	content, err := json.MarshalIndent(body, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return string(content) + "\n"
}

// read decodes a body; an unknown key is an error.
func read(t *testing.T, data *datadriven.TestData, body any) {
	t.Helper()
	decoder := json.NewDecoder(strings.NewReader(data.Input))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(body); err != nil {
		data.Fatalf(t, "%v", err)
	}
}

// TestExchange compares the JSON of a whole exchange with the golden file.
func TestExchange(t *testing.T) {
	exchange := &exchange{wall: planner.WallTime(time.Date(2026, 12, 2, 6, 30, 0, 0, time.UTC).UnixMilli())}
	orders := map[string]planner.CommandKind{
		"confirm": planner.CommandConfirm, "reject": planner.CommandReject, "cancel": planner.CommandCancel,
	}
	datadriven.RunTest(t, "testdata/exchange", func(t *testing.T, data *datadriven.TestData) string {
		var name identifier.IntentName
		if data.HasArg("name") {
			var text string
			data.ScanArgs(t, "name", &text)
			name = identifier.IntentName(text)
		}
		switch data.Cmd {
		case "create":
			var create Create
			read(t, data, &create)
			spec := create.Spec.PlannerSpec()
			result := exchange.apply(planner.Command{
				Kind: planner.CommandCreate, Request: create.Request, Operator: create.Operator, Name: create.Name, Spec: &spec,
			})
			return indented(t, ResultOf(create.Name, &result))
		case "plan":
			exchange.plan(name)
			return indented(t, IntentOf(exchange.machine.Get(name), false))
		case "progress":
			exchange.apply(planner.Command{Kind: planner.CommandProgress, Name: name, Progress: &planner.Progress{
				FailureDomain: "thu-duc", Epoch: 1, Started: true, Ranges: []planner.Range{{To: 40}},
				Notes: []planner.Note{{Reason: "a lease ran out on thu-duc-worker-3: its task runs again", Count: 4, Ago: time.Second}},
			}})
			return ""
		case "show":
			return indented(t, IntentOf(exchange.machine.Get(name), data.HasArg("explain")))
		}
		var order Order
		read(t, data, &order)
		result := exchange.apply(planner.Command{
			Kind: orders[data.Cmd], Request: order.Request, Operator: order.Operator, Name: name,
			Revision: order.Revision, PlanNumber: order.Plan, Reason: order.Reason,
		})
		return indented(t, ResultOf(name, &result))
	})
}

// TestPageShowsTheExchange checks that each JSON block of the operators' page stands in the
// golden exchange.
func TestPageShowsTheExchange(t *testing.T) {
	golden, err := os.ReadFile("testdata/exchange")
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../docs/INTENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	blocks := strings.Split(string(page), "```json\n")[1:]
	if len(blocks) < 5 {
		t.Fatalf("the page has %d examples", len(blocks))
	}
	for _, block := range blocks {
		example, _, _ := strings.Cut(block, "```")
		if !strings.Contains(string(golden), example) {
			t.Errorf("not in the golden exchange:\n%s", example)
		}
	}
}
