package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/planner"
)

// intentMachine draws actions of operators and faults.
type intentMachine struct {
	network *network
	names   []identifier.IntentName
	crashed *fakeHost
	// cancelled are the intents that somebody tried to cancel.
	cancelled map[identifier.IntentName]bool
	requests  int
}

func (machine *intentMachine) host(t *rapid.T) *fakeHost {
	return rapid.SampledFrom(machine.network.hosts).Draw(t, "host")
}

func (machine *intentMachine) Check(t *rapid.T) {
	if violations := machine.network.intents.violations; len(violations) > 0 {
		t.Fatalf("broken promises: %v", violations)
	}
}

func (machine *intentMachine) Create(t *rapid.T) {
	host := machine.host(t)
	if host.coordinator == nil || len(machine.names) >= 4 {
		return
	}
	name := identifier.IntentName(fmt.Sprintf("intent-%d", len(machine.names)))
	spec := newSpec(rapid.IntRange(1, 12).Draw(t, "count"), time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds"))*time.Second, rapid.Bool().Draw(t, "repeatable"))
	machine.network.intents.create(host, "an", name, spec)
	machine.names = append(machine.names, name)
}

// Order confirms or cancels an intent with the revision and plan number that the host shows.
func (machine *intentMachine) Order(t *rapid.T) {
	host := machine.host(t)
	if host.coordinator == nil || len(machine.names) == 0 {
		return
	}
	name := rapid.SampledFrom(machine.names).Draw(t, "intent")
	record := machine.network.intents.read(host, name)
	if record == nil {
		return
	}
	machine.requests++
	command := planner.Command{
		Kind: planner.CommandCancel, Request: identifier.RequestID(fmt.Sprintf("order-%d", machine.requests)),
		Operator: "bo", Name: name, Revision: record.Revision,
	}
	if record.State == planner.StatePlanned && rapid.IntRange(0, 4).Draw(t, "confirm") > 0 {
		command.Kind, command.PlanNumber = planner.CommandConfirm, record.Plan.Number
	} else if rapid.IntRange(0, 2).Draw(t, "cancel") > 0 {
		return
	} else {
		machine.cancelled[name] = true
	}
	machine.network.intents.sendCommand(host, command)
}

func (machine *intentMachine) Wait(t *rapid.T) {
	machine.network.advance(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
}

func (machine *intentMachine) CrashHost(t *rapid.T) {
	if machine.crashed != nil {
		machine.network.startHost(machine.crashed)
		machine.crashed = nil
		return
	}
	machine.crashed = machine.host(t)
	machine.network.crashHost(machine.crashed)
}

// Isolate disconnects a host, often the driving one, from some or all other hosts; the workers
// still receive its messages.
func (machine *intentMachine) Isolate(t *rapid.T) {
	one := machine.network.leadOf("leuven")
	if one == nil || rapid.Bool().Draw(t, "any") {
		one = machine.host(t)
	}
	wait := time.Duration(rapid.IntRange(1, 40).Draw(t, "s")) * time.Second
	spared := rapid.IntRange(0, len(machine.network.hosts)).Draw(t, "spared")
	for position, other := range machine.network.hosts {
		if one == other || position == spared {
			continue
		}
		machine.network.disconnectHosts(one, other)
		machine.network.at(wait, func() { machine.network.connectHosts(one, other) })
	}
}

func (machine *intentMachine) Worker(t *rapid.T) {
	worker := rapid.SampledFrom(machine.network.intents.workers).Draw(t, "worker")
	if worker.alive {
		worker.crash()
		return
	}
	worker.boot()
}

// CutWorker ends a worker's connections for a while; its tasks continue.
func (machine *intentMachine) CutWorker(t *rapid.T) {
	worker := rapid.SampledFrom(machine.network.intents.workers).Draw(t, "worker")
	for _, host := range machine.network.hosts {
		worker.detach(host)
	}
	machine.network.at(time.Duration(rapid.IntRange(1, 20).Draw(t, "s"))*time.Second, func() {
		for _, host := range machine.network.hosts {
			worker.attach(host)
		}
	})
}

// heal ends all faults and checks the state of each intent, and what it says of each task, against
// what really ran.
func (machine *intentMachine) heal(t *rapid.T) {
	network := machine.network
	if machine.crashed != nil {
		network.startHost(machine.crashed)
	}
	network.advance(25 * time.Second)
	for _, worker := range network.intents.workers {
		if !worker.alive {
			worker.boot()
		}
	}
	network.advance(6 * time.Minute)
	machine.Check(t)
	for _, name := range machine.names {
		if record := network.intents.read(network.hosts[0], name); record != nil {
			machine.checkRecord(t, record)
		}
	}
}

func (machine *intentMachine) checkRecord(t *rapid.T, record *planner.Record) {
	world := machine.network.intents
	switch {
	case record.State == planner.StateCreated:
		t.Fatalf("%s has no plan: %+v", record.Name, record.Steps)
	case record.State == planner.StatePlanned:
		return
	case !record.State.Ended():
		t.Fatalf("%s has not ended, it is %s: %+v", record.Name, record.State, record.Steps)
	case world.repeatable[record.Name] && !machine.cancelled[record.Name] && record.State != planner.StateComplete:
		t.Fatalf("%s is repeatable, was not cancelled and is %s: %+v", record.Name, record.State, record.Steps)
	}
	for _, ended := range record.Ranges {
		for index := ended.From; index < ended.To; index++ {
			machine.checkTask(t, planner.NewTaskID(record.Name, ended.Batch, index), ended.Outcome)
		}
	}
}

func (machine *intentMachine) checkTask(t *rapid.T, task identifier.TaskID, outcome planner.Outcome) {
	runs := machine.network.intents.runs[task]
	succeeded := false
	for _, run := range runs {
		succeeded = succeeded || run.ended && run.end == planner.EndSucceeded
	}
	switch {
	case outcome == planner.OutcomeSucceeded && !succeeded:
		t.Fatalf("%s is recorded as succeeded, but none of its %d runs succeeded", task, len(runs))
	case outcome == planner.OutcomeNotRun && len(runs) > 0:
		t.Fatalf("%s is recorded as not run, but has run", task)
	case outcome == planner.OutcomeStopped && len(runs) == 0:
		t.Fatalf("%s is recorded as stopped, but never ran", task)
	}
}

// TestIntentsUnderFaults mixes operators' commands with crashes of hosts and workers and broken
// connections, over whole coordinators with real keepers.
func TestIntentsUnderFaults(t *testing.T) {
	limitChecks(t, "20")
	rapid.Check(t, func(t *rapid.T) {
		machine := &intentMachine{
			network:   newIntentNetwork([]identifier.FailureDomain{"leuven"}, 3, 3),
			cancelled: map[identifier.IntentName]bool{},
		}
		machine.network.advance(10 * time.Second)
		t.Repeat(rapid.StateMachineActions(machine))
		machine.heal(t)
	})
}

// TestIntentsAcrossFailureDomains does the same with two failure domains that are disconnected from
// each other; the smaller side can't reach a quorum.
func TestIntentsAcrossFailureDomains(t *testing.T) {
	limitChecks(t, "15")
	rapid.Check(t, func(t *rapid.T) {
		machine := &intentMachine{
			network:   newIntentNetwork([]identifier.FailureDomain{"leuven", "roeselare"}, 2, 2),
			cancelled: map[identifier.IntentName]bool{},
		}
		machine.network.advance(10 * time.Second)
		actions := rapid.StateMachineActions(machine)
		actions["CutDomains"] = machine.cutDomains
		t.Repeat(actions)
		machine.heal(t)
	})
}

// cutDomains breaks all connections between the failure domains for a while.
func (machine *intentMachine) cutDomains(t *rapid.T) {
	wait := time.Duration(rapid.IntRange(1, 60).Draw(t, "s")) * time.Second
	for _, one := range machine.network.hosts {
		for _, other := range machine.network.hosts {
			if one.domain == other.domain {
				continue
			}
			machine.network.disconnectHosts(one, other)
			machine.network.at(wait, func() { machine.network.connectHosts(one, other) })
		}
	}
}
