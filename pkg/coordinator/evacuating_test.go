package coordinator_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// evacuationPropagation is how long after the first host has received an evacuation a start in the
// failure domain becomes a fault, provided that no host is disconnected for longer than a moment.
const evacuationPropagation = 1500 * time.Millisecond

// evacuations evacuates and readmits failure domains of a world of called servers.
type evacuations struct {
	world   *calledWorld
	version configurer.Version
	// bannedFrom is the moment from which nothing may start in each evacuated failure domain.
	bannedFrom map[identifier.FailureDomain]identifier.Moment
	// strict reports a start after bannedFrom as a fault; while hosts are disconnected it need not
	// be one.
	strict bool
}

func newEvacuations(world *calledWorld, strict bool) *evacuations {
	created := &evacuations{world: world, bannedFrom: make(map[identifier.FailureDomain]identifier.Moment), strict: strict}
	world.evacuations = created
	return created
}

// randomStep evacuates or readmits a failure domain and notifies one running host.
func (evacuations *evacuations) randomStep() {
	network := evacuations.world.network
	host := network.hosts[evacuations.world.chance("told", len(network.hosts)-1)]
	if host.coordinator == nil {
		return
	}
	domain := network.hosts[evacuations.world.chance("evacuated", len(network.hosts)-1)].domain
	_, evacuated := evacuations.bannedFrom[domain]
	evacuations.version.Version++
	evacuations.version.Evacuations = slices.DeleteFunc(slices.Clone(evacuations.version.Evacuations), func(state configurer.EvacuationState) bool {
		return state.FailureDomain == domain
	})
	evacuations.version.Evacuations = append(evacuations.version.Evacuations, configurer.EvacuationState{FailureDomain: domain, Evacuated: !evacuated})
	if evacuated {
		delete(evacuations.bannedFrom, domain)
	} else {
		evacuations.bannedFrom[domain] = network.now.Add(evacuationPropagation)
	}
	evacuations.world.history = append(evacuations.world.history, fmt.Sprintf("%v %s hears that %s is evacuated: %t", time.Duration(network.now), host.id, domain, !evacuated))
	network.tick(host, &coordinator.ConfigRestored{Version: evacuations.version})
}

// checkStart records a problem if a task starts in an evacuated failure domain.
func (evacuations *evacuations) checkStart(server *calledServer, task string) {
	if evacuations == nil || !evacuations.strict {
		return
	}
	world := evacuations.world
	if bannedFrom, evacuated := evacuations.bannedFrom[server.report.FailureDomain]; evacuated && bannedFrom.Before(world.network.now) {
		world.problems = append(world.problems, fmt.Sprintf("%s starts on %s, which is evacuated", task, server.report.Server))
	}
}

// TestEvacuationUnderRandomFaults guards against starts in an evacuated failure domain, tasks that
// run twice and callers without an answer, while failure domains are evacuated and readmitted,
// connections are slow, and hosts are disconnected for moments.
func TestEvacuationUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		settings := coordinator.DefaultSettings()
		settings.Dispatcher.Cells = 2
		network := newNetworkWith([]identifier.FailureDomain{"leuven", "geel", "mol"}, 2, settings)
		world := newCalledWorld(network, draw, 9)
		evacuations := newEvacuations(world, true)
		network.advance(3 * time.Second)
		for step := range rapid.IntRange(40, 80).Draw(draw, "steps") {
			world.randomHandoffStep(step)
			if world.chance("order", 7) == 0 {
				evacuations.randomStep()
			}
			network.advance(time.Duration(rapid.IntRange(1, 120).Draw(draw, "pause")) * time.Millisecond)
		}
		network.advance(20 * time.Second)
		for _, problem := range world.problems {
			draw.Error(problem)
			draw.Log(strings.Join(world.history, "\n"))
		}
	})
}

// TestEvacuationUnderHarshFaults evacuates and readmits failure domains while hosts are paused,
// shut down and start, and paths to backend servers are cut: no task runs twice, and what is
// refused has not run.
func TestEvacuationUnderHarshFaults(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) { runHarshFaults(draw, harshKinds{evacuations: true, sameIDs: true}) })
}

// TestEvacuationUnderHarshFaultsAndResends also has callers resubmit their jobs.
func TestEvacuationUnderHarshFaultsAndResends(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) { runHarshFaults(draw, harshKinds{evacuations: true, resends: true}) })
}

// evacuatingMachine adds evacuations of failure domains whose servers open a stream.
type evacuatingMachine struct {
	machine
	version configurer.Version
	// bannedFrom is the moment from which nothing may start in each evacuated failure domain.
	bannedFrom map[identifier.FailureDomain]identifier.Moment
}

// Order evacuates or readmits a failure domain at two hosts, as after a quorum of keepers, and
// submits a job once all undisturbed hosts know.
func (machine *evacuatingMachine) Order(t *rapid.T) {
	first, second := machine.drawHost(t), machine.drawHost(t)
	if first.coordinator == nil || second.coordinator == nil || first == second {
		t.Skip("needs two different running hosts")
	}
	domain := rapid.SampledFrom(machine.domains).Draw(t, "domain")
	_, evacuated := machine.bannedFrom[domain]
	machine.setEvacuation([]*fakeHost{first, second}, domain, !evacuated)
	machine.network.advance(evacuationPropagation + time.Millisecond)
	machine.Submit(t)
}

func (machine *evacuatingMachine) setEvacuation(hosts []*fakeHost, domain identifier.FailureDomain, evacuated bool) {
	delete(machine.bannedFrom, domain)
	if evacuated {
		machine.bannedFrom[domain] = machine.network.now.Add(evacuationPropagation)
	}
	machine.version.Version++
	machine.version.Evacuations = nil
	for _, known := range machine.domains {
		_, evacuated := machine.bannedFrom[known]
		machine.version.Evacuations = append(machine.version.Evacuations, configurer.EvacuationState{FailureDomain: known, Evacuated: evacuated})
	}
	for _, host := range hosts {
		machine.network.tick(host, &coordinator.ConfigRestored{Version: machine.version})
	}
}

// mayStart reports whether a start in a failure domain is allowed. While hosts are disturbed, and
// shortly after, some may not have received the evacuation.
func (machine *evacuatingMachine) mayStart(domain identifier.FailureDomain) bool {
	bannedFrom, evacuated := machine.bannedFrom[domain]
	return !evacuated || machine.network.now < max(bannedFrom, machine.recoveredAt.Add(evacuationPropagation))
}

// TestEvacuationOfStreamsUnderFaults guards against starts in an evacuated failure domain and
// broken guarantees to callers, while servers, connections and one host at a time fail.
func TestEvacuationOfStreamsUnderFaults(t *testing.T) {
	limitChecks(t, "60")
	domains := []identifier.FailureDomain{"leuven", "roeselare"}
	rapid.Check(t, func(t *rapid.T) {
		machine := &evacuatingMachine{
			machine:    machine{network: newNetwork(domains, 3, 2, 2), domains: domains},
			bannedFrom: make(map[identifier.FailureDomain]identifier.Moment),
		}
		machine.network.mayStart = machine.mayStart
		t.Repeat(rapid.StateMachineActions(machine))
		machine.heal(t)
	})
}
