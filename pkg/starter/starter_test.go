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

// hostsOf names the hosts of a failure domain.
func hostsOf(count int) []identifier.HostID {
	hosts := make([]identifier.HostID, count)
	for index := range hosts {
		hosts[index] = identifier.HostID(fmt.Sprintf("entry-%04d", index))
	}
	return hosts
}

// ready returns a starter that knows the hosts of a failure domain and is connected to all.
func ready(self identifier.HostID, hosts []identifier.HostID) *Starter {
	created := &Starter{Self: self, FailureDomain: domain, Settings: DefaultSettings()}
	inputs := []Input{&HostsChanged{FailureDomain: domain, Living: hosts}}
	for _, host := range hosts {
		inputs = append(inputs, &PeerChanged{Host: host, Connected: true})
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

// callersOf counts the hosts that call one server when all hosts of the deployment, of which those
// of the failure domain are a fifth, start runs there, and the connections that they may open.
func callersOf(hosts []identifier.HostID, server int) (callers map[identifier.HostID]bool, connections int) {
	callers = make(map[identifier.HostID]bool)
	for index, host := range append(hostsOf(5 * len(hosts))[len(hosts):], hosts...) {
		for _, output := range ready(host, hosts).Tick(1, []Input{&RunWanted{Start: startOn(server, identifier.RunNumber(index+1))}}) {
			switch output := output.(type) {
			case *CallServer:
				callers[host] = true
			case *SendOrder:
				callers[output.To] = true
			}
		}
	}
	for host := range callers {
		connections += ready(host, hosts).connectionsTo(startOn(server, 1))
	}
	return callers, connections
}

// TestCallersOfAServerAreBounded. Symptom: thousands of connections are reset, servers are lost and
// back within milliseconds, starts are repeated. Sequence: 97 hosts in five failure domains get room
// on the same servers, under a load at which their jobs are shared. Cause: each host that had room
// called the server itself, and the server takes 64 connections from all together.
func TestCallersOfAServerAreBounded(t *testing.T) {
	settings := DefaultSettings()
	for _, count := range []int{1, 6, 20, 60, 200} {
		for server := range 3 {
			callers, connections := callersOf(hostsOf(count), server)
			if 2*(connections+settings.LeadConnections) > settings.ServerConnections {
				t.Errorf("%d hosts in the failure domain: %d call one server, with %d connections", count, len(callers), connections)
			}
		}
	}
}

// TestServersShareTheStarters guards against a bound that loads a few hosts with all calls: with 200
// hosts and 1,000 servers each host should be a starter of about 120 of them.
func TestServersShareTheStarters(t *testing.T) {
	hosts := hostsOf(200)
	tested := ready("elsewhere", hosts)
	loads := make(map[identifier.HostID]int)
	for server := range 1000 {
		for _, host := range tested.startersOf(startOn(server, 1)) {
			loads[host]++
		}
	}
	mean := 1000 * tested.mostStarters("estimates") / len(hosts)
	for _, host := range hosts {
		if loads[host] > 2*mean || loads[host] < mean/2 {
			t.Errorf("%s is a starter of %d servers, the mean is %d", host, loads[host], mean)
		}
	}
}

// TestBoundOfAServer tries bounds that are missing, small, or change while runs are started.
func TestBoundOfAServer(t *testing.T) {
	tested := ready("elsewhere", hostsOf(100))
	for _, test := range []struct {
		bound, starters int
	}{{0, 24}, {1, 1}, {16, 1}, {17, 1}, {24, 4}, {1024, 100}} {
		tested.Tick(1, []Input{&BoundsKnown{Connections: map[identifier.ServiceName]int{"estimates": test.bound}}})
		if set := tested.startersOf(startOn(0, 1)); len(set) != test.starters {
			t.Errorf("bound %d: %d starters, want %d", test.bound, len(set), test.starters)
		}
	}
}

// wanted asks for a start and returns the host that was ordered to make it.
func wanted(t *testing.T, tested *Starter, start *supervisor.StartRun) identifier.HostID {
	t.Helper()
	outputs := tested.Tick(1, []Input{&RunWanted{Start: start}})
	if len(outputs) != 1 {
		t.Fatalf("%d outputs", len(outputs))
	}
	order, ordered := outputs[0].(*SendOrder)
	if !ordered {
		t.Fatalf("not ordered: %+v", outputs[0])
	}
	return order.To
}

// outcomesOf lists how starts that were wanted here went.
func outcomesOf(outputs []Output) []messenger.StartOutcome {
	var outcomes []messenger.StartOutcome
	for _, output := range outputs {
		if done, isDone := output.(*StartDone); isDone {
			outcomes = append(outcomes, done.Returned.Outcome)
		}
	}
	return outcomes
}

// TestStarterVanishes. Symptom guarded against: a job waits until its caller's time is over for the
// start of one task. Sequence: a host orders a start; the starter ends, or never answers, or answers
// late. The start counts as unanswered, once, and another starter is ordered to repeat it.
func TestStarterVanishes(t *testing.T) {
	limit := identifier.Moment(1).Add(DefaultSettings().OrderTime)
	for name, lose := range map[string]func(*Starter, identifier.HostID) []Output{
		"connection ends": func(tested *Starter, to identifier.HostID) []Output {
			return tested.Tick(2, []Input{&PeerChanged{Host: to}})
		},
		"no answer": func(tested *Starter, _ identifier.HostID) []Output { return tested.Tick(limit, nil) },
	} {
		tested := ready("elsewhere", hostsOf(20))
		start := startOn(0, 1)
		to := wanted(t, tested, start)
		if outcomes := outcomesOf(lose(tested, to)); len(outcomes) != 1 || outcomes[0] != messenger.StartUnanswered {
			t.Errorf("%s: the start went %v", name, outcomes)
		}
		late := &ResultArrived{From: to, Result: messenger.StartResult{RunKey: start.Run, Server: start.Server, Epoch: start.Epoch}}
		if outcomes := outcomesOf(tested.Tick(limit.Add(time.Second), []Input{late})); len(outcomes) != 0 {
			t.Errorf("%s: a late result counts: %v", name, outcomes)
		}
		repeated := *start
		repeated.Repeats++
		if again := wanted(t, tested, &repeated); again == to {
			t.Errorf("%s: the same starter is ordered again", name)
		}
	}
}

// TestNoStarterInReach has a host call itself where no starter can be reached, as one that is cut
// off from the failure domain's hosts, but not from its servers, must.
func TestNoStarterInReach(t *testing.T) {
	for name, tested := range map[string]*Starter{
		"no host lives": ready("elsewhere", nil),
		"none connected": func() *Starter {
			created := ready("elsewhere", hostsOf(3))
			for _, host := range hostsOf(3) {
				created.Tick(0, []Input{&PeerChanged{Host: host}})
			}
			return created
		}(),
	} {
		outputs := tested.Tick(1, []Input{&RunWanted{Start: startOn(0, 1)}})
		if call, isCall := outputs[0].(*CallServer); !isCall || call.For != "elsewhere" {
			t.Errorf("%s: %+v", name, outputs[0])
		}
	}
}

// TestOrderIsCarriedOut follows an order from its arrival to its result.
func TestOrderIsCarriedOut(t *testing.T) {
	tested := ready("entry-0000", hostsOf(3))
	start := startOn(0, 4)
	outputs := tested.Tick(1, []Input{&OrderArrived{From: "elsewhere", Order: messenger.StartOrder{
		RunKey: start.Run, Server: start.Server, Epoch: start.Epoch, LeaseEnd: 9, Payload: "content",
	}}})
	call, isCall := outputs[0].(*CallServer)
	if !isCall || call.For != "elsewhere" || call.Start.Run != start.Run || call.Start.LeaseEnd != 9 || call.Start.Payload != "content" {
		t.Fatalf("called %+v", outputs[0])
	}
	outputs = tested.Tick(2, []Input{&CallReturned{For: call.For, Returned: supervisor.StartReturned{
		Run: start.Run, Server: start.Server, Epoch: start.Epoch, Outcome: messenger.StartNoRoom,
	}}})
	result, isResult := outputs[0].(*SendResult)
	if !isResult || result.To != "elsewhere" || result.Result.Outcome != messenger.StartNoRoom || result.Result.RunKey != start.Run {
		t.Errorf("told %+v", outputs[0])
	}
}

// TestEvacuationWithholdsStarts guards against a start in an evacuated failure domain that another
// host has ordered before it heard of the order, or that was granted to this one.
func TestEvacuationWithholdsStarts(t *testing.T) {
	hosts := hostsOf(2)
	starter := ready(hosts[0], hosts)
	starter.Tick(1, []Input{&EvacuationsKnown{Evacuated: messenger.Evacuated{domain}}})
	outputs := starter.Tick(2, []Input{
		&RunWanted{Start: startOn(1, 1)},
		&OrderArrived{From: hosts[1], Order: messenger.StartOrder{RunKey: messenger.RunKey{Job: "job", Run: 2}, Server: "server-1", Epoch: 7}},
	})
	done, isDone := outputs[0].(*StartDone)
	if !isDone || done.Returned.Outcome != messenger.StartWithheld {
		t.Errorf("the own start gives %+v", outputs[0])
	}
	result, isResult := outputs[1].(*SendResult)
	if !isResult || result.To != hosts[1] || result.Result.Outcome != messenger.StartWithheld {
		t.Errorf("the ordered start gives %+v", outputs[1])
	}
	starter.Tick(3, []Input{&EvacuationsKnown{}})
	if _, called := starter.Tick(4, []Input{&RunWanted{Start: startOn(1, 3)}})[0].(*CallServer); !called {
		t.Error("nothing is started once the evacuation was taken back")
	}
}
