package coordinator_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// TestCalledServersUnderRandomFaults submits jobs to three hosts of one failure domain with five
// called backend servers, while hosts crash, restart and lose their connections, backend servers
// crash, and calls are lost, left unanswered or carried out late.
func TestCalledServersUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		network := newNetwork([]identifier.FailureDomain{"leuven"}, 3, 0, 0)
		world := newCalledWorld(network, draw, 5)
		network.advance(2 * time.Second)
		world.failurePercent = rapid.IntRange(0, 15).Draw(draw, "trouble")
		for step := range rapid.IntRange(20, 60).Draw(draw, "steps") {
			world.randomStep(step)
			network.advance(time.Duration(rapid.IntRange(1, 400).Draw(draw, "pause")) * time.Millisecond)
		}
		world.failurePercent = 0
		for _, host := range network.hosts {
			if host.coordinator == nil {
				network.startHost(host)
			}
		}
		network.advance(20 * time.Second)
		for _, problem := range world.problems {
			draw.Error(problem)
			draw.Log(strings.Join(world.history, "\n"))
		}
	})
}

// Symptom: a task runs twice at the same time, in two failure domains.
// Sequence: jobs are handed off between the leads of two failure domains with two cells each;
// connections between hosts are slow by tens of milliseconds, so that leads count as unresponsive,
// are queried again and answer late; hosts crash and lose their connections.
// Cause guarded against: a task that belongs to two task groups of its job.
func TestSharedJobsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		settings := coordinator.DefaultSettings()
		settings.Dispatcher.Cells = 2
		network := newNetworkWith([]identifier.FailureDomain{"leuven", "geel"}, 2, settings)
		world := newCalledWorld(network, draw, 8)
		network.advance(3 * time.Second)
		for step := range rapid.IntRange(40, 80).Draw(draw, "steps") {
			world.randomHandoffStep(step)
			network.advance(time.Duration(rapid.IntRange(1, 60).Draw(draw, "pause")) * time.Millisecond)
		}
		network.advance(20 * time.Second)
		for _, problem := range world.problems {
			draw.Error(problem)
			draw.Log(strings.Join(world.history, "\n"))
		}
	})
}

func (world *calledWorld) randomHandoffStep(step int) {
	network := world.network
	host := network.hosts[world.chance("host", len(network.hosts)-1)]
	other := network.hosts[world.chance("other", len(network.hosts)-1)]
	switch kind := world.chance("step", 19); {
	case kind < 13:
		world.submit(host, identifier.JobID(fmt.Sprintf("job-%d", step)), 1+world.chance("tasks", 12))
	case kind < 18 && other != host:
		delays := []time.Duration{0, 10 * time.Millisecond, 35 * time.Millisecond, 60 * time.Millisecond}
		network.connection(string(host.id), string(other.id)).delay = delays[world.chance("delay", len(delays)-1)]
	case kind == 18 && other != host:
		network.disconnectHosts(host, other)
		network.at(time.Duration(world.chance("cut", 300))*time.Millisecond, func() { network.connectHosts(host, other) })
	}
}

func (world *calledWorld) randomStep(step int) {
	network := world.network
	host := network.hosts[world.chance("host", len(network.hosts)-1)]
	switch kind := world.chance("step", 19); {
	case kind < 14:
		world.submit(host, identifier.JobID(fmt.Sprintf("job-%d", step)), 1+world.chance("tasks", 4))
	case kind == 14 && host.coordinator != nil:
		network.crashHost(host)
	case kind <= 16 && host.coordinator == nil:
		network.startHost(host)
	case kind == 17:
		other := network.hosts[world.chance("other", len(network.hosts)-1)]
		if other != host {
			network.disconnectHosts(host, other)
			network.at(time.Duration(world.chance("cut", 3000))*time.Millisecond, func() { network.connectHosts(host, other) })
		}
	case kind == 18:
		world.crashRandomServer(step)
	}
}

// crashRandomServer ends a backend server's process; a new incarnation starts at its address after
// one second.
func (world *calledWorld) crashRandomServer(step int) {
	var living []identifier.ServerIncarnation
	for id, server := range world.servers {
		if !server.dead {
			living = append(living, id)
		}
	}
	slices.Sort(living)
	if len(living) == 0 {
		return
	}
	server := world.servers[living[world.chance("server", len(living)-1)]]
	server.crash()
	world.network.at(time.Second, func() { world.startServer(server.address, step+2) })
}
