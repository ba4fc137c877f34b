package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// scenario submits each job twice, with one disturbance right before the second submission, and
// disturbs every host in turn.
type scenario struct {
	domains   []identifier.FailureDomain
	hostsEach int
	cells     int
	// disturb disturbs a host right before the second submission, which another host receives.
	disturb func(network *network, second, disturbed *fakeHost)
	// thirdSubmissionAfter is how long after the second submission the job is submitted to a third
	// host; zero is never.
	thirdSubmissionAfter time.Duration
}

// run returns the problems that the world has found.
func (scenario *scenario) run() []string {
	settings := coordinator.DefaultSettings()
	settings.Dispatcher.Cells = scenario.cells
	network := newNetworkWith(scenario.domains, scenario.hostsEach, settings)
	world := newCalledWorld(network, nil, 6*len(scenario.domains))
	network.advance(3 * time.Second)
	hosts := network.hosts[:scenario.hostsEach]
	for number := range 16 * len(hosts) {
		first, second := hosts[number%len(hosts)], hosts[(number+1)%len(hosts)]
		disturbed := network.hosts[(number/len(hosts))%len(network.hosts)]
		id := identifier.JobID(fmt.Sprintf("job-%d", number))
		world.resent[id] = true
		world.submit(first, id, 2)
		network.advance(5 * time.Millisecond)
		if disturbed != second {
			scenario.disturb(network, second, disturbed)
		}
		world.submit(second, id, 2)
		if scenario.thirdSubmissionAfter > 0 {
			third := hosts[(number+2)%len(hosts)]
			network.at(scenario.thirdSubmissionAfter, func() { world.submit(third, id, 2) })
		}
		network.advance(8 * time.Second)
	}
	return world.problems
}

func breakConnection(duration time.Duration) func(network *network, second, disturbed *fakeHost) {
	return func(network *network, second, disturbed *fakeHost) {
		network.disconnectHosts(second, disturbed)
		network.at(duration, func() { network.connectHosts(second, disturbed) })
	}
}

func pauseHost(duration time.Duration) func(network *network, second, disturbed *fakeHost) {
	return func(network *network, _, disturbed *fakeHost) {
		disturbed.frozen = true
		network.at(duration, func() {
			disturbed.frozen = false
			backlog := disturbed.backlog
			disturbed.backlog = nil
			network.tick(disturbed, backlog...)
		})
	}
}

// TestResendBesideADisturbance guards against a task that runs twice at once when its job is
// resubmitted while one host is unreachable or paused.
func TestResendBesideADisturbance(t *testing.T) {
	one, two := []identifier.FailureDomain{"leuven"}, []identifier.FailureDomain{"leuven", "geel"}
	for name, scenario := range map[string]scenario{
		"two cells, link breaks":          {one, 3, 2, breakConnection(300 * time.Millisecond), 0},
		"two cells, link breaks for long": {one, 3, 2, breakConnection(3 * time.Second), 0},
		"two cells, third submission":     {one, 4, 2, breakConnection(300 * time.Millisecond), 100 * time.Millisecond},
		"two cells, host pauses":          {one, 3, 2, pauseHost(300 * time.Millisecond), 0},
		"two cells, third after a pause":  {one, 4, 2, pauseHost(200 * time.Millisecond), 250 * time.Millisecond},
		"three cells, link breaks":        {one, 4, 3, breakConnection(300 * time.Millisecond), 0},
		"three cells, host pauses":        {one, 5, 3, pauseHost(300 * time.Millisecond), 0},
		"three cells, long pause":         {one, 5, 3, pauseHost(1200 * time.Millisecond), 100 * time.Millisecond},
		"two domains, link breaks":        {two, 3, 1, breakConnection(300 * time.Millisecond), 0},
		"two domains, third submission":   {two, 3, 1, breakConnection(300 * time.Millisecond), 100 * time.Millisecond},
		"two domains, host pauses":        {two, 3, 1, pauseHost(300 * time.Millisecond), 0},
		"two domains, two cells each":     {two, 3, 2, pauseHost(300 * time.Millisecond), 200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			for _, problem := range scenario.run() {
				t.Error(problem)
			}
		})
	}
}
