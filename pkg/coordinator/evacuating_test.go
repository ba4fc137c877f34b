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

// evacuationKnown is how long after one host has heard of an evacuation nothing may start in the
// failure domain, while no host is cut off for longer than a moment.
const evacuationKnown = 1500 * time.Millisecond

// orders evacuate failure domains of a world of called servers and take that back.
type orders struct {
	world   *calledWorld
	version configurer.Version
	// since is from when nothing may start in the failure domains that are evacuated.
	since map[identifier.FailureDomain]identifier.Moment
	// strict tells that a start after that is a fault; while hosts are cut off it need not be.
	strict bool
}

func newOrders(world *calledWorld, strict bool) *orders {
	created := &orders{world: world, since: make(map[identifier.FailureDomain]identifier.Moment), strict: strict}
	world.orders = created
	return created
}

// step evacuates a failure domain, or takes that back, and tells one living host.
func (orders *orders) step() {
	network := orders.world.network
	host := network.hosts[orders.world.chance("told", len(network.hosts)-1)]
	if host.coordinator == nil {
		return
	}
	domain := network.hosts[orders.world.chance("evacuated", len(network.hosts)-1)].domain
	_, evacuated := orders.since[domain]
	orders.version.Version++
	orders.version.Evacuations = slices.DeleteFunc(slices.Clone(orders.version.Evacuations), func(state configurer.EvacuationState) bool {
		return state.FailureDomain == domain
	})
	orders.version.Evacuations = append(orders.version.Evacuations, configurer.EvacuationState{FailureDomain: domain, Evacuated: !evacuated})
	if evacuated {
		delete(orders.since, domain)
	} else {
		orders.since[domain] = network.now.Add(evacuationKnown)
	}
	orders.world.history = append(orders.world.history, fmt.Sprintf("%v %s hears that %s is evacuated: %t", time.Duration(network.now), host.id, domain, !evacuated))
	network.tick(host, &coordinator.ConfigRemembered{Version: orders.version})
}

// check notes a start in a failure domain that is evacuated.
func (orders *orders) check(server *calledServer, task string) {
	if orders == nil || !orders.strict {
		return
	}
	world := orders.world
	if since, evacuated := orders.since[server.card.FailureDomain]; evacuated && since.Before(world.network.now) {
		world.problems = append(world.problems, fmt.Sprintf("%s starts on %s, which is evacuated", task, server.card.Server))
	}
}

// TestEvacuationUnderRandomFaults guards against starts in an evacuated failure domain, tasks that run
// twice and callers without an answer, while failure domains are evacuated and readmitted, connections
// are slow, and hosts lose each other for moments.
func TestEvacuationUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		settings := coordinator.DefaultSettings()
		settings.Dispatcher.Cells = 2
		network := newNetworkWith([]identifier.FailureDomain{"leuven", "geel", "mol"}, 2, settings)
		world := newCalledWorld(network, draw, 9)
		orders := newOrders(world, true)
		network.advance(3 * time.Second)
		for step := range rapid.IntRange(40, 80).Draw(draw, "steps") {
			world.stepShared(step)
			if world.chance("order", 7) == 0 {
				orders.step()
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

// TestEvacuationUnderHarshFaults has failure domains evacuated and readmitted while hosts stand still,
// leave and start, and ways are cut: no task runs twice, and what is refused has not run.
func TestEvacuationUnderHarshFaults(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) { playHarshly(draw, harshKinds{evacuations: true, sameIDs: true}) })
}

// TestEvacuationUnderHarshFaultsAndResends has callers send their jobs again, too.
func TestEvacuationUnderHarshFaultsAndResends(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) { playHarshly(draw, harshKinds{evacuations: true, resends: true}) })
}

// evacuatingMachine evacuates failure domains of servers that open a stream, too.
type evacuatingMachine struct {
	machine
	version configurer.Version
	// since is from when nothing may start in the failure domains that are evacuated.
	since map[identifier.FailureDomain]identifier.Moment
}

// Order evacuates a failure domain, or takes that back, at two hosts as after a quorum of keepers, and
// sends a job once all hosts that are not disturbed know.
func (machine *evacuatingMachine) Order(t *rapid.T) {
	first, second := machine.drawHost(t), machine.drawHost(t)
	if first.coordinator == nil || second.coordinator == nil || first == second {
		t.Skip("two hosts are wanted")
	}
	domain := rapid.SampledFrom(machine.domains).Draw(t, "domain")
	_, evacuated := machine.since[domain]
	machine.order([]*fakeHost{first, second}, domain, !evacuated)
	machine.network.advance(evacuationKnown + time.Millisecond)
	machine.Submit(t)
}

func (machine *evacuatingMachine) order(hosts []*fakeHost, domain identifier.FailureDomain, evacuated bool) {
	delete(machine.since, domain)
	if evacuated {
		machine.since[domain] = machine.network.now.Add(evacuationKnown)
	}
	machine.version.Version++
	machine.version.Evacuations = nil
	for _, known := range machine.domains {
		_, evacuated := machine.since[known]
		machine.version.Evacuations = append(machine.version.Evacuations, configurer.EvacuationState{FailureDomain: known, Evacuated: evacuated})
	}
	for _, host := range hosts {
		machine.network.tick(host, &coordinator.ConfigRemembered{Version: machine.version})
	}
}

// mayStart tells whether a start in a failure domain is allowed: while hosts are disturbed, and
// shortly after, some may not have heard.
func (machine *evacuatingMachine) mayStart(domain identifier.FailureDomain) bool {
	since, evacuated := machine.since[domain]
	return !evacuated || machine.network.now < max(since, machine.calmAt.Add(evacuationKnown))
}

// TestEvacuationOfStreamsUnderFaults guards against starts in an evacuated failure domain, and against
// broken promises to callers, while servers, connections and one host at a time fail.
func TestEvacuationOfStreamsUnderFaults(t *testing.T) {
	bound(t, "60")
	domains := []identifier.FailureDomain{"leuven", "roeselare"}
	rapid.Check(t, func(t *rapid.T) {
		machine := &evacuatingMachine{
			machine: machine{network: newNetwork(domains, 3, 2, 2), domains: domains},
			since:   make(map[identifier.FailureDomain]identifier.Moment),
		}
		machine.network.mayStart = machine.mayStart
		t.Repeat(rapid.StateMachineActions(machine))
		machine.heal(t)
	})
}
