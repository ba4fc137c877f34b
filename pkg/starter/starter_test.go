package starter

import (
	"fmt"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/supervisor"
)

const domain identifier.FailureDomain = "thu-duc"

// hostsOf returns the ids of count hosts.
func hostsOf(count int) []identifier.HostID {
	hosts := make([]identifier.HostID, count)
	for index := range hosts {
		hosts[index] = identifier.HostID(fmt.Sprintf("entry-%04d", index))
	}
	return hosts
}

// newConnectedStarter returns a starter that knows the hosts of a failure domain and is connected to
// all of them.
func newConnectedStarter(self identifier.HostID, hosts []identifier.HostID) *Starter {
	created := &Starter{Self: self, FailureDomain: domain, Settings: DefaultSettings()}
	inputs := []Input{&HostsChanged{FailureDomain: domain, Living: hosts}}
	for _, host := range hosts {
		inputs = append(inputs, &PeerConnectionChanged{Host: host, Connected: true})
	}
	created.Tick(0, inputs)
	return created
}

func startOn(server int, run identifier.RunNumber) *supervisor.StartRun {
	return &supervisor.StartRun{
		Server: identifier.ServerIncarnation(fmt.Sprintf("server-%d", server)), FailureDomain: domain, Service: "estimates",
		Run: messenger.RunKey{Job: "job", Run: run}, Epoch: 7,
	}
}

// callingHosts returns the hosts that call one server when all hosts of the deployment start runs
// there, and the number of connections that these may open. The hosts of the failure domain are a
// fifth of the deployment.
func callingHosts(hosts []identifier.HostID, server int) (callers map[identifier.HostID]bool, connections int) {
	callers = make(map[identifier.HostID]bool)
	for index, host := range append(hostsOf(5 * len(hosts))[len(hosts):], hosts...) {
		for _, output := range newConnectedStarter(host, hosts).Tick(1, []Input{&StartRequested{Start: startOn(server, identifier.RunNumber(index+1))}}) {
			switch output := output.(type) {
			case *CallServer:
				callers[host] = true
			case *SendOrder:
				callers[output.To] = true
			}
		}
	}
	for host := range callers {
		connections += newConnectedStarter(host, hosts).connectionLimit(startOn(server, 1))
	}
	return callers, connections
}

// TestCallersOfAServerAreBounded guards against thousands of reset connections, servers that are
// lost and back within milliseconds, and repeated starts. This happens when each host with a grant
// calls the server directly: a server accepts 64 connections from all hosts together, and 97 hosts
// in five failure domains have grants on the same servers while their jobs are handed off.
func TestCallersOfAServerAreBounded(t *testing.T) {
	settings := DefaultSettings()
	for _, count := range []int{1, 6, 20, 60, 200} {
		for server := range 3 {
			callers, connections := callingHosts(hostsOf(count), server)
			if 2*(connections+settings.LeadConnections) > settings.ServerConnections {
				t.Errorf("%d hosts in the failure domain: %d call one server, with %d connections", count, len(callers), connections)
			}
		}
	}
}

// TestServersShareTheStarters guards against selecting a few hosts for all calls: with 200 hosts and
// 1,000 servers each host should be a starter of about 120 servers.
func TestServersShareTheStarters(t *testing.T) {
	hosts := hostsOf(200)
	tested := newConnectedStarter("elsewhere", hosts)
	loads := make(map[identifier.HostID]int)
	for server := range 1000 {
		for _, host := range tested.startersFor(startOn(server, 1)) {
			loads[host]++
		}
	}
	mean := 1000 * tested.maxStarters("estimates") / len(hosts)
	for _, host := range hosts {
		if loads[host] > 2*mean || loads[host] < mean/2 {
			t.Errorf("%s is a starter of %d servers, the mean is %d", host, loads[host], mean)
		}
	}
}

// TestLargeHostsAreStartersOfMoreServers guards against small hosts that make as many calls as large
// ones: with sizes of one and three, and room for about a third of the hosts, a large one is a
// starter of more than twice as many servers.
func TestLargeHostsAreStartersOfMoreServers(t *testing.T) {
	hosts := hostsOf(72)
	tested := newConnectedStarter("elsewhere", hosts)
	processors := make(map[identifier.HostID]identifier.MilliCPU)
	for index, host := range hosts {
		processors[host] = identifier.MilliCPU(144 + 336*(index%2))
	}
	tested.Tick(1, []Input{&HostsChanged{FailureDomain: domain, Living: hosts, Processors: processors}})
	loads := make(map[identifier.MilliCPU]int)
	for server := range 1000 {
		for _, host := range tested.startersFor(startOn(server, 1)) {
			loads[processors[host]]++
		}
	}
	if loads[480] <= 2*loads[144] {
		t.Errorf("starts by the size of their hosts: %v", loads)
	}
}

// TestBoundOfAServer checks the number of starters for connection limits that are missing, small,
// or change at run time.
func TestBoundOfAServer(t *testing.T) {
	tested := newConnectedStarter("elsewhere", hostsOf(100))
	for _, test := range []struct {
		bound, starters int
	}{{0, 24}, {1, 1}, {16, 1}, {17, 1}, {24, 4}, {1024, 100}} {
		tested.Tick(1, []Input{&ConnectionLimitsChanged{Connections: map[identifier.ServiceName]int{"estimates": test.bound}}})
		if set := tested.startersFor(startOn(0, 1)); len(set) != test.starters {
			t.Errorf("bound %d: %d starters, want %d", test.bound, len(set), test.starters)
		}
	}
}

// orderStart requests a start and returns the host that gets the order.
func orderStart(t *testing.T, tested *Starter, start *supervisor.StartRun) identifier.HostID {
	t.Helper()
	outputs := tested.Tick(1, []Input{&StartRequested{Start: start}})
	if len(outputs) != 1 {
		t.Fatalf("%d outputs", len(outputs))
	}
	order, ordered := outputs[0].(*SendOrder)
	if !ordered {
		t.Fatalf("want an order, got %+v", outputs[0])
	}
	return order.To
}

// outcomesOf returns the outcomes of the starts that this host requested.
func outcomesOf(outputs []Output) []messenger.StartOutcome {
	var outcomes []messenger.StartOutcome
	for _, output := range outputs {
		if done, isDone := output.(*StartReturned); isDone {
			outcomes = append(outcomes, done.Returned.Outcome)
		}
	}
	return outcomes
}

// TestStarterVanishes guards against a job that waits until its deadline for the start of one task.
// A host orders a start and the starter ends, never answers, or answers late. The start must count
// as unanswered once, and the repetition must be ordered from another starter.
func TestStarterVanishes(t *testing.T) {
	limit := identifier.Moment(1).Add(DefaultSettings().OrderTimeout)
	for name, lose := range map[string]func(*Starter, identifier.HostID) []Output{
		"connection ends": func(tested *Starter, to identifier.HostID) []Output {
			return tested.Tick(2, []Input{&PeerConnectionChanged{Host: to}})
		},
		"no answer": func(tested *Starter, _ identifier.HostID) []Output { return tested.Tick(limit, nil) },
	} {
		tested := newConnectedStarter("elsewhere", hostsOf(20))
		start := startOn(0, 1)
		to := orderStart(t, tested, start)
		if outcomes := outcomesOf(lose(tested, to)); len(outcomes) != 1 || outcomes[0] != messenger.StartUnanswered {
			t.Errorf("%s: got outcomes %v", name, outcomes)
		}
		late := &ResultArrived{From: to, Result: messenger.StartResult{RunKey: start.Run, Server: start.Server, Epoch: start.Epoch}}
		if outcomes := outcomesOf(tested.Tick(limit.Add(time.Second), []Input{late})); len(outcomes) != 0 {
			t.Errorf("%s: a late result was not ignored: %v", name, outcomes)
		}
		repeated := *start
		repeated.Repeats++
		if again := orderStart(t, tested, &repeated); again == to {
			t.Errorf("%s: the same starter is ordered again", name)
		}
	}
}

// TestNoStarterInReach checks that a host makes the call itself if no starter is connected. A host
// that is partitioned from the hosts of the failure domain, but not from its servers, needs this.
func TestNoStarterInReach(t *testing.T) {
	for name, tested := range map[string]*Starter{
		"no live host": newConnectedStarter("elsewhere", nil),
		"none connected": func() *Starter {
			created := newConnectedStarter("elsewhere", hostsOf(3))
			for _, host := range hostsOf(3) {
				created.Tick(0, []Input{&PeerConnectionChanged{Host: host}})
			}
			return created
		}(),
	} {
		outputs := tested.Tick(1, []Input{&StartRequested{Start: startOn(0, 1)}})
		if call, isCall := outputs[0].(*CallServer); !isCall || call.For != "elsewhere" {
			t.Errorf("%s: %+v", name, outputs[0])
		}
	}
}

// TestOrderIsCarriedOut checks that an order is called as received and its result is sent back.
func TestOrderIsCarriedOut(t *testing.T) {
	tested := newConnectedStarter("entry-0000", hostsOf(3))
	start := startOn(0, 4)
	outputs := tested.Tick(1, []Input{&OrderArrived{From: "elsewhere", Order: messenger.StartOrder{
		RunKey: start.Run, Server: start.Server, Epoch: start.Epoch, LeaseEnd: 9, Payload: "content",
	}}})
	call, isCall := outputs[0].(*CallServer)
	if !isCall || call.For != "elsewhere" || call.Start.Run != start.Run || call.Start.LeaseEnd != 9 || call.Start.Payload != "content" {
		t.Fatalf("got %+v", outputs[0])
	}
	outputs = tested.Tick(2, []Input{&CallReturned{For: call.For, Returned: supervisor.StartReturned{
		Run: start.Run, Server: start.Server, Epoch: start.Epoch, Outcome: messenger.StartNoRoom,
	}}})
	result, isResult := outputs[0].(*SendResult)
	if !isResult || result.To != "elsewhere" || result.Result.Outcome != messenger.StartNoRoom || result.Result.RunKey != start.Run {
		t.Errorf("got %+v", outputs[0])
	}
}

// TestEvacuationWithholdsStarts guards against a start in an evacuated failure domain that another
// host ordered before it learned of the evacuation, or that was granted to this host.
func TestEvacuationWithholdsStarts(t *testing.T) {
	hosts := hostsOf(2)
	starter := newConnectedStarter(hosts[0], hosts)
	starter.Tick(1, []Input{&EvacuationsChanged{Evacuated: messenger.EvacuatedDomains{domain}}})
	outputs := starter.Tick(2, []Input{
		&StartRequested{Start: startOn(1, 1)},
		&OrderArrived{From: hosts[1], Order: messenger.StartOrder{RunKey: messenger.RunKey{Job: "job", Run: 2}, Server: "server-1", Epoch: 7}},
	})
	done, isDone := outputs[0].(*StartReturned)
	if !isDone || done.Returned.Outcome != messenger.StartWithheld {
		t.Errorf("own start: got %+v", outputs[0])
	}
	result, isResult := outputs[1].(*SendResult)
	if !isResult || result.To != hosts[1] || result.Result.Outcome != messenger.StartWithheld {
		t.Errorf("ordered start: got %+v", outputs[1])
	}
	starter.Tick(3, []Input{&EvacuationsChanged{}})
	if _, called := starter.Tick(4, []Input{&StartRequested{Start: startOn(1, 3)}})[0].(*CallServer); !called {
		t.Error("no start after the end of the evacuation")
	}
}
