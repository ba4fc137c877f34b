package coordinator_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// A task ran twice at the same time, on two backend servers that lived. A lead had taken its
// first run for over by what it or another host knew before, after a host had been cut off from
// one backend server, had stood still for seconds and woken, or had left and started again, after
// all hosts had started together, or lives had ended and begun.

// TestHarshFaults sends jobs, each once, while ways between single hosts and backend
// servers are cut, hosts stand still, leave and start.
func TestHarshFaults(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) { playHarshly(draw, harshKinds{}) })
}

// TestHarshFaultsAndLateCards has announcements of lives come after their end, too.
func TestHarshFaultsAndLateCards(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) { playHarshly(draw, harshKinds{lateCards: true}) })
}

// TestHarshFaultsAndResends has callers send their jobs again, too.
func TestHarshFaultsAndResends(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) { playHarshly(draw, harshKinds{resends: true}) })
}

// TestServerStartsAgainUnderHarshFaults has the lives at one address share an id: calls to one reach the
// next, whose heartbeats, ends and clock count anew.
func TestServerStartsAgainUnderHarshFaults(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) { playHarshly(draw, harshKinds{lateCards: true, sameIDs: true}) })
}

// TestServerStartsAgainUnderHarshFaultsAndResends has callers send their jobs again, too.
func TestServerStartsAgainUnderHarshFaultsAndResends(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) { playHarshly(draw, harshKinds{resends: true, sameIDs: true}) })
}

func playHarshly(draw *rapid.T, kinds harshKinds) {
	settings := coordinator.DefaultSettings()
	settings.Dispatcher.Cells = rapid.IntRange(1, 2).Draw(draw, "cells")
	domains := []identifier.FailureDomain{"leuven", "geel"}[:rapid.IntRange(1, 2).Draw(draw, "domains")]
	hosts := rapid.IntRange(2, 3).Draw(draw, "hosts")
	network := newNetworkWith(domains, hosts, settings)
	servers := rapid.IntRange(3, 5).Draw(draw, "servers") * len(domains)
	world, harsh := newHarshWorld(network, draw, servers, kinds)
	orders := newOrders(world, false)
	network.advance(2 * time.Second)
	world.trouble = rapid.IntRange(0, 15).Draw(draw, "trouble")
	for step := range rapid.IntRange(20, 80).Draw(draw, "steps") {
		harsh.step(step)
		if kinds.evacuations && world.chance("order", 9) == 0 {
			orders.step()
		}
		network.advance(time.Duration(rapid.IntRange(1, 150).Draw(draw, "pause")) * time.Millisecond)
		if len(world.problems) > 0 {
			break
		}
	}
	if len(world.problems) == 0 {
		network.advance(5 * time.Second)
	}
	for _, problem := range world.problems {
		draw.Error(problem)
	}
	if len(world.problems) > 0 {
		draw.Log(strings.Join(world.history, "\n"))
	}
}

// newHarshWorld returns a world of servers whose ids are of the kind that is wanted.
func newHarshWorld(network *network, draw *rapid.T, servers int, kinds harshKinds) (*calledWorld, *harshFaults) {
	if !kinds.sameIDs {
		world := newCalledWorld(network, draw, servers)
		return world, newHarshFaults(world, kinds)
	}
	world := newCalledWorld(network, draw, 0)
	harsh := newHarshFaults(world, kinds)
	for index := range servers {
		world.startServer(index, 1)
	}
	return world, harsh
}

// step does one thing that a caller or a fault does.
func (harsh *harshFaults) step(step int) {
	world, network := harsh.world, harsh.world.network
	host := network.hosts[world.chance("host", len(network.hosts)-1)]
	kind := world.chance("step", 34)
	switch {
	case kind < 14:
		harsh.send(host, identifier.JobID(fmt.Sprintf("job-%d", step)), 1+world.chance("tasks", 3))
	case kind < 17:
		if jobs := harsh.jobs(); harsh.kinds.resends && len(jobs) > 0 {
			id := jobs[world.chance("job", len(jobs)-1)]
			harsh.resend(id, host, harsh.duration("again", 500))
		}
	case kind < 24:
		harsh.disturbHost(host, kind)
	case kind < 27:
		harsh.disturbHosts(host, kind)
	default:
		harsh.disturbServer(host, kind, step)
	}
}

func (harsh *harshFaults) duration(label string, most int) time.Duration {
	return time.Duration(harsh.world.chance(label, most)) * time.Millisecond
}

func (harsh *harshFaults) disturbHost(host *fakeHost, kind int) {
	network := harsh.world.network
	switch kind {
	case 17:
		harsh.crash(host)
		network.at(harsh.duration("down", 1500), func() { harsh.start(host) })
	case 18:
		for _, other := range network.hosts {
			harsh.start(other)
		}
	case 19, 20:
		harsh.leave(host, harsh.duration("shutdown", 2000))
		network.at(2100*time.Millisecond+harsh.duration("down", 500), func() { harsh.start(host) })
	case 21, 22:
		harsh.freeze(host, 100*time.Millisecond+harsh.duration("frozen", 3900), harsh.world.chance("stands", 1) == 0)
	case 23:
		harsh.herd()
	}
}

// herd ends all hosts and starts them at about the same time.
func (harsh *harshFaults) herd() {
	for _, host := range harsh.world.network.hosts {
		harsh.crash(host)
		harsh.world.network.at(harsh.duration("down", 300), func() { harsh.start(host) })
	}
}

func (harsh *harshFaults) disturbHosts(host *fakeHost, kind int) {
	network := harsh.world.network
	other := network.hosts[harsh.world.chance("other", len(network.hosts)-1)]
	if other == host {
		return
	}
	if kind == 24 {
		delays := []time.Duration{0, 10 * time.Millisecond, 60 * time.Millisecond, 300 * time.Millisecond}
		network.connection(string(host.id), string(other.id)).delay = delays[harsh.world.chance("delay", len(delays)-1)]
		return
	}
	harsh.note("%s and %s lose each other", host.id, other.id)
	network.breakHosts(host, other)
	network.at(harsh.duration("cut", 3000), func() { network.connectHosts(host, other) })
}

func (harsh *harshFaults) disturbServer(host *fakeHost, kind, step int) {
	world := harsh.world
	servers := harsh.living()
	if len(servers) == 0 {
		return
	}
	server := servers[world.chance("server", len(servers)-1)]
	switch kind {
	case 27, 28, 29:
		ways := world.chance("ways", 2)
		lasts := 100*time.Millisecond + harsh.duration("cut", 4000)
		harsh.cutOff([]*fakeHost{host}, server.place, lasts, ways != 1, ways != 0, world.chance("refused", 1) == 0)
	case 30:
		lasts := 300*time.Millisecond + harsh.duration("blip", 400)
		harsh.cutOff(world.network.hosts, server.place, lasts, true, true, world.chance("refused", 1) == 0)
	case 31, 32:
		harsh.end(server, world.chance("announced", 1) == 0, harsh.duration("next", 1000), step+2)
	default:
		if harsh.kinds.lateCards && len(harsh.cards) > 0 {
			card := harsh.cards[world.chance("old card", len(harsh.cards)-1)]
			harsh.note("old card of %s to %s", card.Server, host.id)
			world.network.tick(host, &coordinator.CardAnnounced{Card: card})
		}
	}
}

// Two cases of TestHarshFaultsAndResends in which a task runs twice, kept in testdata/rapid. In
// one a job's callers' hosts and leads crash twice within a lease, its run goes on under the
// leases of other runs on its server, and the caller sends the job again to another failure
// domain, whose leads know of no run. In the other a host that led stands still for seconds and
// acts on a job that waited for it, at a server that the new lead has not reached, while the
// job's second sending runs elsewhere:
//
//	8.80075s called-0-1 RUNS job-12/1 run 2
//	8.909s   leuven-host-1 wakes
//	8.90925s called-1-1 RUNS job-12/1 run 2
func TestJobSentAgainWhereItsRunsAreUnknown(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) { playHarshly(draw, harshKinds{resends: true}) })
}

// A job is sent once, and one of its tasks runs twice. Hosts lose each other and a second one takes
// the lead. It doesn't reach the backend server of a run; the former lead, which nobody has told,
// does and renews its lease. The new lead counts leases from its own taking and calls the run over:
//
//	9.28125s called-3-1 RUNS job-25/3 run 5 epoch 7753734461
//	9.399s geel-host-0 lead changed: epoch 11219761635
//	9.5015s geel-host-2 server-back called-3-1
//	10.485398925s geel-host-0 run-over job-25/3 run 5 server called-3-1 reason lease lapsed
//	10.485898925s called-1-1 RUNS job-25/3 run 6 epoch 11219761635
//	10.523137359s called-3-1 ENDS job-25/3 run 5 lapsed
func TestRunOnAServerThatTheNewLeadDoesNotReach(t *testing.T) {
	keptCasesOnly(t)
	rapid.Check(t, func(draw *rapid.T) { playHarshly(draw, harshKinds{}) })
}

// A job is sent again after a while in which nothing of it should be left, and runs beside its
// first sending. All hosts crash twice within a second and a half; each lead between the crashes
// renews a server's lease for another job, which the unwanted run lives on, too. The last lead has
// not reached that server when the job comes:
//
//	9.09525s called-3-1 RUNS job-11/1 run 6 epoch 7868913877
//	9.336s the caller of job-11 leaves leuven-host-2
//	9.348s leuven-host-0, leuven-host-1, leuven-host-2 crash
//	9.886355666s leuven-host-2 lead changed
//	10.575s all three crash again
//	10.94s called-1-42 RUNS job-11/1 run 2 epoch 7868913877
//	11.002s called-3-1 ENDS job-11/1 run 6 lapsed
func TestRunUnderTheLeasesOfOthers(t *testing.T) {
	keptCasesOnly(t)
	rapid.Check(t, func(draw *rapid.T) { playHarshly(draw, harshKinds{resends: true}) })
}

// keptCasesOnly has a test replay what is kept for it in testdata/rapid, and one case more. The
// tests of all harsh faults draw the others.
func keptCasesOnly(t *testing.T) {
	t.Helper()
	checks := flag.Lookup("rapid.checks")
	former := checks.Value.String()
	if err := flag.Set(checks.Name, "1"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := flag.Set(checks.Name, former); err != nil {
			t.Error(err)
		}
	})
}

// TestRunUnderTheLeasesOfNewStarts guards against a resend that runs in another failure domain while a
// run of its first sending goes on, which all its hosts have forgotten and which starts of other jobs on
// its server keep at work until it is stopped.
func TestRunUnderTheLeasesOfNewStarts(t *testing.T) {
	keptCasesOnly(t)
	rapid.Check(t, func(draw *rapid.T) { playHarshly(draw, harshKinds{resends: true}) })
}

// TestWokenHostStartsWhatRanElsewhere guards against a host that is suspended together with its clock, and
// on waking starts a job that its caller has meanwhile sent to another failure domain.
func TestWokenHostStartsWhatRanElsewhere(t *testing.T) {
	keptCasesOnly(t)
	rapid.Check(t, func(draw *rapid.T) { playHarshly(draw, harshKinds{resends: true, sameIDs: true}) })
}
