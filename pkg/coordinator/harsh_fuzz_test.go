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

// Failure that these tests guard against: a task runs twice at the same time, on two running
// backend servers. A lead considered its first run ended because of outdated information, its own
// or another host's: after a host had been cut off from one backend server, had been paused for
// seconds, or had shut down and restarted, after all hosts had started together, or after
// incarnations of servers had ended and begun.

// TestHarshFaults submits each job once, while paths between single hosts and backend servers are
// cut, and hosts are paused, shut down and start.
func TestHarshFaults(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) { runHarshFaults(draw, harshKinds{}) })
}

// TestHarshFaultsAndLateCards also delivers reports of incarnations after their end.
func TestHarshFaultsAndLateCards(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) { runHarshFaults(draw, harshKinds{lateReports: true}) })
}

// TestHarshFaultsAndResends also has callers resubmit their jobs.
func TestHarshFaultsAndResends(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) { runHarshFaults(draw, harshKinds{resends: true}) })
}

// TestServerStartsAgainUnderHarshFaults gives the incarnations at one address the same server id:
// calls to one reach the next, whose heartbeats, ends and clock count from the start again.
func TestServerStartsAgainUnderHarshFaults(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) { runHarshFaults(draw, harshKinds{lateReports: true, sameIDs: true}) })
}

// TestServerStartsAgainUnderHarshFaultsAndResends also has callers resubmit their jobs.
func TestServerStartsAgainUnderHarshFaultsAndResends(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) { runHarshFaults(draw, harshKinds{resends: true, sameIDs: true}) })
}

// TestHarshFaultsInAMixedFleet has hosts of several sizes and servers of several sizes and speeds,
// which may be others after a start.
func TestHarshFaultsInAMixedFleet(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		runHarshFaults(draw, harshKinds{lateReports: true, sameIDs: true, mixedFleet: true})
	})
}

// TestHarshFaultsAndResendsInAMixedFleet also has callers resubmit their jobs.
func TestHarshFaultsAndResendsInAMixedFleet(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) { runHarshFaults(draw, harshKinds{resends: true, mixedFleet: true}) })
}

// TestHarshFaultsAndOverloads also has hosts fall behind, which reject new jobs and hand them over.
func TestHarshFaultsAndOverloads(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) { runHarshFaults(draw, harshKinds{overloads: true}) })
}

// TestHarshFaultsAndResendsUnderLongLeases also has callers resubmit their jobs, to servers that accept
// longer leases than callers wait.
func TestHarshFaultsAndResendsUnderLongLeases(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) { runHarshFaults(draw, harshKinds{resends: true, longLeases: true}) })
}

func runHarshFaults(draw *rapid.T, kinds harshKinds) {
	settings := coordinator.DefaultSettings()
	settings.Dispatcher.Cells = rapid.IntRange(1, 2).Draw(draw, "cells")
	if kinds.overloads {
		settings.Throttler.StartTime = 0
	}
	if kinds.longLeases {
		settings.Allocator.Lease = longLeaseBounds.Lease()
		settings.Inquirer.Lease = longLeaseBounds.Lease()
	}
	domains := []identifier.FailureDomain{"leuven", "geel"}[:rapid.IntRange(1, 2).Draw(draw, "domains")]
	hosts := rapid.IntRange(2, 3).Draw(draw, "hosts")
	network := newNetworkOfKinds(draw, domains, hosts, settings, kinds)
	servers := rapid.IntRange(3, 5).Draw(draw, "servers") * len(domains)
	world, harsh := newHarshWorld(network, draw, servers, kinds)
	if kinds.longLeases {
		world.maxLease = longLeaseBounds.MaxLease
	}
	evacuations := newEvacuations(world, false)
	network.advance(2 * time.Second)
	world.failurePercent = rapid.IntRange(0, 15).Draw(draw, "trouble")
	for step := range rapid.IntRange(20, 80).Draw(draw, "steps") {
		harsh.randomStep(step)
		if kinds.evacuations && world.chance("order", 9) == 0 {
			evacuations.randomStep()
		}
		if kinds.overloads && world.chance("falls behind", 4) == 0 {
			host := network.hosts[world.chance("host", len(network.hosts)-1)]
			overloadHost(network, host, 25*time.Millisecond+harsh.duration("wait", 200), 150*time.Millisecond+harsh.duration("behind", 2000))
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

// newHarshWorld returns a world whose servers have ids of the kind that kinds.sameIDs selects.
func newHarshWorld(network *network, draw *rapid.T, servers int, kinds harshKinds) (*calledWorld, *harshFaults) {
	if !kinds.sameIDs && !kinds.mixedFleet {
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

// randomStep performs one action of a caller or one fault.
func (harsh *harshFaults) randomStep(step int) {
	world, network := harsh.world, harsh.world.network
	host := network.hosts[world.chance("host", len(network.hosts)-1)]
	kind := world.chance("step", 34)
	switch {
	case kind < 14:
		harsh.submit(host, identifier.JobID(fmt.Sprintf("job-%d", step)), 1+world.chance("tasks", 3))
	case kind < 17:
		if jobs := harsh.unfinishedJobs(); harsh.kinds.resends && len(jobs) > 0 {
			id := jobs[world.chance("job", len(jobs)-1)]
			harsh.resubmit(id, host, harsh.duration("again", 500))
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
		harsh.restartAllHosts()
	}
}

// restartAllHosts ends all hosts and starts them again at about the same time.
func (harsh *harshFaults) restartAllHosts() {
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
	harsh.record("%s and %s lose each other", host.id, other.id)
	network.disconnectHosts(host, other)
	network.at(harsh.duration("cut", 3000), func() { network.connectHosts(host, other) })
}

func (harsh *harshFaults) disturbServer(host *fakeHost, kind, step int) {
	world := harsh.world
	servers := harsh.liveServers()
	if len(servers) == 0 {
		return
	}
	server := servers[world.chance("server", len(servers)-1)]
	switch kind {
	case 27, 28, 29:
		direction := world.chance("ways", 2)
		duration := 100*time.Millisecond + harsh.duration("cut", 4000)
		harsh.cutOff([]*fakeHost{host}, server.address, duration, direction != 1, direction != 0, world.chance("refused", 1) == 0)
	case 30:
		lasts := 300*time.Millisecond + harsh.duration("blip", 400)
		harsh.cutOff(world.network.hosts, server.address, lasts, true, true, world.chance("refused", 1) == 0)
	case 31, 32:
		harsh.endIncarnation(server, world.chance("announced", 1) == 0, harsh.duration("next", 1000), step+2)
	default:
		if harsh.kinds.lateReports && len(harsh.oldReports) > 0 {
			report := harsh.oldReports[world.chance("old card", len(harsh.oldReports)-1)]
			harsh.record("old card of %s to %s", report.Server, host.id)
			world.network.tick(host, &coordinator.ServerReportAnnounced{Report: report})
		}
	}
}

// Two regression cases of TestHarshFaultsAndResends in testdata/rapid, in which a task runs twice.
// In the first, the hosts of a job's callers and the leads crash twice within a lease, while its
// run continues under the leases of other runs on its server. The caller resubmits the job to
// another failure domain, whose leads know of no run.
// In the second, a host that led is paused for seconds. It then handles a job that was waiting for
// it, at a server that the new lead has not reached, while the job's second submission runs
// elsewhere:
//
//	8.80075s called-0-1 RUNS job-12/1 run 2
//	8.909s   leuven-host-1 wakes
//	8.90925s called-1-1 RUNS job-12/1 run 2
func TestJobSentAgainWhereItsRunsAreUnknown(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) { runHarshFaults(draw, harshKinds{resends: true}) })
}

// TestRunOnAServerThatTheNewLeadDoesNotReach guards against a job that is submitted once and one of
// whose tasks runs twice. Hosts are disconnected and a second one becomes lead. It doesn't reach
// the backend server of a run; the former lead, which was not notified, does and renews its lease.
// The new lead counts leases from the start of its own term and considers the run ended:
//
//	9.28125s called-3-1 RUNS job-25/3 run 5 epoch 7753734461
//	9.399s geel-host-0 lead changed: epoch 11219761635
//	9.5015s geel-host-2 server-back called-3-1
//	10.485398925s geel-host-0 run-over job-25/3 run 5 server called-3-1 reason lease lapsed
//	10.485898925s called-1-1 RUNS job-25/3 run 6 epoch 11219761635
//	10.523137359s called-3-1 ENDS job-25/3 run 5 lapsed
func TestRunOnAServerThatTheNewLeadDoesNotReach(t *testing.T) {
	regressionCasesOnly(t)
	rapid.Check(t, func(draw *rapid.T) { runHarshFaults(draw, harshKinds{}) })
}

// TestRunUnderTheLeasesOfOthers guards against a job that is resubmitted when all of its runs
// should have ended, and runs beside its first submission. All hosts crash twice within a second
// and a half; each lead between the crashes renews a server's lease for another job, and the
// unclaimed run continues under it. The last lead has not reached that server when the job arrives:
//
//	9.09525s called-3-1 RUNS job-11/1 run 6 epoch 7868913877
//	9.336s the caller of job-11 leaves leuven-host-2
//	9.348s leuven-host-0, leuven-host-1, leuven-host-2 crash
//	9.886355666s leuven-host-2 lead changed
//	10.575s all three crash again
//	10.94s called-1-42 RUNS job-11/1 run 2 epoch 7868913877
//	11.002s called-3-1 ENDS job-11/1 run 6 lapsed
func TestRunUnderTheLeasesOfOthers(t *testing.T) {
	regressionCasesOnly(t)
	rapid.Check(t, func(draw *rapid.T) { runHarshFaults(draw, harshKinds{resends: true}) })
}

// regressionCasesOnly limits a test to its regression cases in testdata/rapid and one drawn case.
// The tests of all harsh faults draw the others.
func regressionCasesOnly(t *testing.T) {
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

// TestRunUnderTheLeasesOfNewStarts guards against a resubmitted job that runs in another failure
// domain while a run of its first submission continues. All of that run's hosts have lost their
// state, and starts of other jobs extend its server's lease until it is stopped.
func TestRunUnderTheLeasesOfNewStarts(t *testing.T) {
	regressionCasesOnly(t)
	rapid.Check(t, func(draw *rapid.T) { runHarshFaults(draw, harshKinds{resends: true}) })
}

// TestWokenHostStartsWhatRanElsewhere guards against a host that is suspended together with its
// clock and, when it resumes, starts a job that its caller has since submitted to another failure
// domain.
func TestWokenHostStartsWhatRanElsewhere(t *testing.T) {
	regressionCasesOnly(t)
	rapid.Check(t, func(draw *rapid.T) { runHarshFaults(draw, harshKinds{resends: true, sameIDs: true}) })
}

// TestLateStartReachesTheNextIncarnation guards against a task that runs twice at the same time. A
// start has no answer and is repeated; the repeated call runs the task, which fails. The server then
// starts again under its id, and the first call, still in flight, starts the run there, while the
// lead places the task elsewhere:
//
//	7.304251s called-1 1048577 RUNS job-6/1 run 2
//	7.3265s   leuven-host-0 run-over job-6/1 run 2 failed
//	7.523s    called-1 1048577 ends
//	7.554001s called-1 1048591 RUNS job-6/1 run 2
//	7.6615s   called-2 1048577 RUNS job-6/1 run 4
func TestLateStartReachesTheNextIncarnation(t *testing.T) {
	regressionCasesOnly(t)
	rapid.Check(t, func(draw *rapid.T) { runHarshFaults(draw, harshKinds{resends: true, sameIDs: true}) })
}
