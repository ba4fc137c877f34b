package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// resends plays jobs that are sent again beside one disturbance each, with every host as the one
// that is disturbed.
type resends struct {
	domains   []identifier.FailureDomain
	hostsEach int
	cells     int
	// disturb strikes a host right before the second sending, which comes to another one.
	disturb func(network *network, again, struck *fakeHost)
	// sentThirdAfter is when the job comes to a third host, after the second one; zero is never.
	sentThirdAfter time.Duration
}

// play returns what went wrong.
func (resends *resends) play() []string {
	settings := coordinator.DefaultSettings()
	settings.Dispatcher.Cells = resends.cells
	network := newNetworkWith(resends.domains, resends.hostsEach, settings)
	world := newCalledWorld(network, nil, 6*len(resends.domains))
	network.advance(3 * time.Second)
	hosts := network.hosts[:resends.hostsEach]
	for number := range 16 * len(hosts) {
		first, again := hosts[number%len(hosts)], hosts[(number+1)%len(hosts)]
		struck := network.hosts[(number/len(hosts))%len(network.hosts)]
		id := identifier.JobID(fmt.Sprintf("job-%d", number))
		world.resent[id] = true
		world.submit(first, id, 2)
		network.advance(5 * time.Millisecond)
		if struck != again {
			resends.disturb(network, again, struck)
		}
		world.submit(again, id, 2)
		if resends.sentThirdAfter > 0 {
			third := hosts[(number+2)%len(hosts)]
			network.at(resends.sentThirdAfter, func() { world.submit(third, id, 2) })
		}
		network.advance(8 * time.Second)
	}
	return world.problems
}

func breakLink(lasts time.Duration) func(network *network, again, struck *fakeHost) {
	return func(network *network, again, struck *fakeHost) {
		network.breakHosts(again, struck)
		network.at(lasts, func() { network.connectHosts(again, struck) })
	}
}

func standStill(lasts time.Duration) func(network *network, again, struck *fakeHost) {
	return func(network *network, _, struck *fakeHost) {
		struck.frozen = true
		network.at(lasts, func() {
			struck.frozen = false
			backlog := struck.backlog
			struck.backlog = nil
			network.tick(struck, backlog...)
		})
	}
}

// TestResendBesideADisturbance guards against a task that runs twice at once, where its job is sent
// again while one host is out of reach, stands still or dies.
func TestResendBesideADisturbance(t *testing.T) {
	one, two := []identifier.FailureDomain{"leuven"}, []identifier.FailureDomain{"leuven", "geel"}
	for name, resends := range map[string]resends{
		"two cells, link breaks":          {one, 3, 2, breakLink(300 * time.Millisecond), 0},
		"two cells, link breaks for long": {one, 3, 2, breakLink(3 * time.Second), 0},
		"two cells, third sending":        {one, 4, 2, breakLink(300 * time.Millisecond), 100 * time.Millisecond},
		"two cells, stands still":         {one, 3, 2, standStill(300 * time.Millisecond), 0},
		"two cells, third after a stand":  {one, 4, 2, standStill(200 * time.Millisecond), 250 * time.Millisecond},
		"three cells, link breaks":        {one, 4, 3, breakLink(300 * time.Millisecond), 0},
		"three cells, stands still":       {one, 5, 3, standStill(300 * time.Millisecond), 0},
		"three cells, stands for long":    {one, 5, 3, standStill(1200 * time.Millisecond), 100 * time.Millisecond},
		"two domains, link breaks":        {two, 3, 1, breakLink(300 * time.Millisecond), 0},
		"two domains, third sending":      {two, 3, 1, breakLink(300 * time.Millisecond), 100 * time.Millisecond},
		"two domains, stands still":       {two, 3, 1, standStill(300 * time.Millisecond), 0},
		"two domains, two cells each":     {two, 3, 2, standStill(300 * time.Millisecond), 200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			for _, problem := range resends.play() {
				t.Error(problem)
			}
		})
	}
}
