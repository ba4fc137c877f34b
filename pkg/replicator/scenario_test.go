package replicator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// scenario runs one golden file: keepers in virtual time, controlled line by line.
type scenario struct {
	*workload
	log []string
}

// TestScenarios runs the golden files; the head of each describes the failure that it guards
// against.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/scenarios", func(t *testing.T, path string) {
		scenario := &scenario{workload: newWorkload(1, 3, DefaultSettings())}
		scenario.onOutcome = scenario.logOutcome
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			scenario.log = nil
			for _, line := range strings.Split(data.Input, "\n") {
				scenario.command(t, strings.Fields(line))
			}
			if len(scenario.oracle.violations) > 0 {
				t.Fatal(scenario.oracle.violations)
			}
			return strings.Join(scenario.log, "\n") + "\n"
		})
	})
}

func (scenario *scenario) logf(format string, arguments ...any) {
	scenario.log = append(scenario.log, fmt.Sprintf(format, arguments...))
}

func (scenario *scenario) logOutcome(keeper *keeper, outcome ProposalOutcome) {
	scenario.logf("%s: proposal %d %s, leader hint %q", keeper.host, outcome.Handle, outcome.Kind, outcome.LeaderHint)
}

// command runs one line. "leader" stands for the current leader.
func (scenario *scenario) command(t *testing.T, words []string) {
	argument := ""
	if len(words) > 1 {
		argument = words[1]
	}
	switch words[0] {
	case "run":
		duration, err := time.ParseDuration(argument)
		if err != nil {
			t.Fatal(err)
		}
		scenario.runFor(duration)
	case "propose":
		scenario.propose(scenario.keeperByName(t, argument), 1)
	case "read":
		scenario.onRead = func(keeper *keeper, _ Handle, ready bool) { scenario.logf("%s: read served: %v", keeper.host, ready) }
		scenario.read(scenario.keeperByName(t, argument))
	case "isolate":
		scenario.isolate(scenario.keeperByName(t, argument).host)
	case "heal":
		scenario.heal()
	case "crash":
		scenario.crash(scenario.keeperByName(t, argument))
	case "crash-on-accept":
		scenario.crashOnAccept()
	case "restart":
		scenario.start(scenario.keeperByName(t, argument))
	case "join":
		scenario.addKeeper(identifier.HostID(argument), nil)
		scenario.change(ChangeAddLearner, argument)
	case "promote":
		scenario.change(ChangePromote, argument)
	case "remove":
		scenario.change(ChangeRemove, argument)
	case "transfer":
		scenario.input(scenario.keeperByName(t, "leader"), TransferRequested{})
	case "status":
		scenario.status()
	default:
		t.Fatalf("unknown command %q", words[0])
	}
}

func (scenario *scenario) keeperByName(t *testing.T, name string) *keeper {
	found := scenario.find(identifier.HostID(name))
	if name == "leader" {
		found = scenario.leader()
	}
	if found == nil {
		t.Fatalf("no keeper %q", name)
	}
	return found
}

func (scenario *scenario) change(kind ChangeKind, host string) {
	scenario.handle++
	change := MembershipChangeProposed{Handle: scenario.handle, Kind: kind, Host: identifier.HostID(host)}
	scenario.input(scenario.leader(), change)
}

// crashOnAccept crashes the leader at the instant at which it accepts.
func (scenario *scenario) crashOnAccept() {
	scenario.onOutcome = func(keeper *keeper, outcome ProposalOutcome) {
		scenario.logOutcome(keeper, outcome)
		scenario.onOutcome = scenario.logOutcome
		scenario.schedule(scenario.now, func() { scenario.crash(keeper) })
	}
}

func (scenario *scenario) status() {
	for _, keeper := range scenario.keepers {
		if !keeper.alive {
			scenario.logf("%s: down", keeper.host)
			continue
		}
		leader, term := keeper.replicator.Leader()
		scenario.logf("%s: %s, follows %q in term %d, applied %d, value %d",
			keeper.host, keeper.replicator.Role(), leader, term, keeper.applied, keeper.register.value)
	}
}
