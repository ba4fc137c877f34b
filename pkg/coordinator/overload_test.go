package coordinator_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// overloadHost reports long waits of a host's inputs for some time.
func overloadHost(network *network, host *fakeHost, wait, length time.Duration) {
	for passed := time.Duration(0); passed < length; passed += 10 * time.Millisecond {
		// The wait is then zero until the overload has ended.
		network.at(length+passed, func() { network.tick(host, &coordinator.InputsWaited{}) })
		network.at(passed, func() { network.tick(host, &coordinator.InputsWaited{Wait: wait}) })
	}
}

// settleWorld starts a network of two failure domains, and returns the lead of the first one and a host
// of it that leads nothing.
func settleWorld(t *testing.T) (*network, *calledWorld, *fakeHost, *fakeHost) {
	t.Helper()
	network := newNetwork([]identifier.FailureDomain{"leuven", "geel"}, 2, 0, 0)
	world := newCalledWorld(network, nil, 16)
	network.advance(2 * time.Second)
	for _, host := range network.hosts {
		network.tick(host, &coordinator.InputsWaited{})
	}
	network.advance(4 * time.Second)
	lead := network.leadOf("leuven")
	for _, host := range network.hosts {
		if host.domain == "leuven" && host != lead {
			return network, world, lead, host
		}
	}
	t.Fatal("no other host")
	return nil, nil, nil, nil
}

// countDecisions counts the decisions in the history that contain all of some texts.
func (world *calledWorld) countDecisions(texts ...string) int {
	count := 0
	for _, line := range world.history {
		matches := true
		for _, text := range texts {
			matches = matches && strings.Contains(line, text)
		}
		if matches {
			count++
		}
	}
	return count
}

// Guards against an overloaded host that serves every job late, and against a job that is rejected as
// not run although another host has started an earlier submission of it.
func TestOverloadedHostRejectsNewJobsOnly(t *testing.T) {
	network, world, lead, host := settleWorld(t)
	overloadHost(network, host, 30*time.Millisecond, 800*time.Millisecond)
	network.advance(250 * time.Millisecond)
	for number := range 20 {
		resent := identifier.JobID(fmt.Sprintf("resent-%d", number))
		network.at(time.Duration(number)*20*time.Millisecond, func() {
			world.submit(host, identifier.JobID(fmt.Sprintf("new-%d", number)), 1)
			world.submit(lead, resent, 1)
		})
		network.at(time.Duration(number)*20*time.Millisecond+10*time.Millisecond, func() { world.submit(host, resent, 1) })
	}
	network.advance(6 * time.Second)
	for _, problem := range world.problems {
		t.Error(problem)
	}
	if rejected := world.countDecisions("answered new-", "refused/overloaded"); rejected == 0 || rejected == 20 {
		t.Errorf("%d of 20 new jobs rejected", rejected)
	}
	if rejected := world.countDecisions("answered resent-", "refused"); rejected > 0 {
		t.Errorf("%d jobs that had been started were rejected as not run", rejected)
	}
	world.submit(host, "later", 1)
	network.advance(time.Second)
	if world.countDecisions("answered later", "complete") == 0 {
		t.Error("a job after the overload is not served")
	}
}

// Guards against a slow lead that keeps what another cell has room for, or grants everything late.
func TestOverloadedLeadHandsOver(t *testing.T) {
	for _, remote := range []bool{true, false} {
		network, world, lead, host := settleWorld(t)
		overloadHost(network, lead, 30*time.Millisecond, 800*time.Millisecond)
		if !remote {
			overloadHost(network, network.leadOf("geel"), 30*time.Millisecond, 800*time.Millisecond)
		}
		network.advance(300 * time.Millisecond)
		for number := range 20 {
			network.at(time.Duration(number)*20*time.Millisecond, func() { world.submit(host, identifier.JobID(fmt.Sprintf("job-%d", number)), 2) })
		}
		network.advance(6 * time.Second)
		for _, problem := range world.problems {
			t.Error(problem)
		}
		handed := world.countDecisions(string(lead.id)+" "+messenger.DecisionHandedOver.String(), "geel")
		rejected := world.countDecisions(messenger.DecisionTurnedAway.String(), "the lead is overloaded")
		if remote && (handed == 0 || rejected > 0) || !remote && (handed > 0 || rejected == 0) {
			t.Errorf("other cell overloaded: %v; %d jobs handed over, %d turned away", !remote, handed, rejected)
		}
	}
}
