package coordinator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/forwarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/keeper"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/supervisor"
)

// Processor capacities below and above the limit for a single cell.
const (
	smallHost identifier.MilliCPU = 144
	largeHost identifier.MilliCPU = 480
)

// agreeingNetwork is a network of three keepers and of entry hosts that agree on their layouts.
type agreeingNetwork struct {
	*network
	world   *calledWorld
	keepers []*fakeHost
	entry   []*fakeHost
	waiters uint64
}

// newAgreeingNetwork starts three keepers and entry hosts with the given processors, in leuven and
// geel in turn.
func newAgreeingNetwork(t *testing.T, processors ...identifier.MilliCPU) *agreeingNetwork {
	t.Helper()
	settings := coordinator.DefaultSettings()
	settings.AgreedLayout = true
	settings.Dispatcher.Cells, settings.Forwarder.Cells = 0, 0
	settings.Voters = 3
	created := &agreeingNetwork{network: newNetworkWith(nil, 0, settings)}
	domains := []identifier.FailureDomain{"leuven", "geel"}
	for index := range 3 {
		host := &fakeHost{id: identifier.HostID(fmt.Sprintf("keeper-%d", index)), domain: domains[index%2], keeperOnly: true, keeper: true}
		created.keepers = append(created.keepers, host)
	}
	for index, processor := range processors {
		host := &fakeHost{id: identifier.HostID(fmt.Sprintf("entry-%d", index)), domain: domains[index%2], capacity: identifier.HostCapacity{MilliCPU: processor}}
		created.entry = append(created.entry, host)
	}
	created.hosts = append(append(created.hosts, created.keepers...), created.entry...)
	created.seeds = created.keepers
	created.world = newCalledWorld(created.network, nil, 0)
	for _, host := range created.hosts {
		created.startHost(host)
	}
	// Each cell gets some of the servers.
	for index := range 12 {
		created.world.startServer(index, 1)
	}
	return created
}

// configure has the keepers accept a configuration with a document.
func (network *agreeingNetwork) configure(revision identifier.ConfigRevision) {
	network.waiters++
	change := &configurer.Change{Request: identifier.RequestID(fmt.Sprint(revision)), Operator: "anna", Revision: revision, Document: []byte("{}")}
	for _, host := range network.keepers {
		network.tick(host, &coordinator.OperatorRequest{Waiter: network.waiters, Command: keeper.Command{Change: change}})
	}
}

// cellsOf returns the number of cells that a host uses.
func (network *agreeingNetwork) cellsOf(host *fakeHost) int {
	if host.layout == nil {
		return 0
	}
	return host.layout.Cells
}

// checkLed checks that each host of a failure domain uses the given number of cells, and that each
// cell has just one lead.
func (network *agreeingNetwork) checkLed(t *testing.T, domain identifier.FailureDomain, cells int) {
	t.Helper()
	leads := make(map[messenger.CellNumber]int)
	for _, host := range network.entry {
		if host.domain != domain || host.coordinator == nil {
			continue
		}
		if got := network.cellsOf(host); got != cells {
			t.Errorf("%s uses %d cells, want %d", host.id, got, cells)
		}
		for cell, led := range host.leads {
			if led {
				leads[cell]++
			}
		}
	}
	for cell := range messenger.CellNumber(cells) {
		if leads[cell] != 1 {
			t.Errorf("cell %d of %s has %d leads", cell, domain, leads[cell])
		}
	}
	if len(leads) > cells {
		t.Errorf("%d cells of %s are led, want %d", len(leads), domain, cells)
	}
}

// runJob submits a job of two tasks to a host and returns how it ended.
func (network *agreeingNetwork) runJob(host *fakeHost, id identifier.JobID) *supervisor.JobEnded {
	network.world.lastWaiter++
	waiter := network.world.lastWaiter
	network.world.waiting[waiter] = id
	network.ended = nil
	job := supervisor.Job{Job: id, Service: "desk", Queue: "desk", Attempts: 3, Stretch: 1.6, Allowance: 60 * time.Millisecond}
	for index := range 2 {
		job.Tasks = append(job.Tasks, messenger.TaskRequest{
			Task: messenger.TaskIndex(index), Needs: identifier.Resources{MilliCPU: 500, Memory: 1 << 20}, Declared: 50 * time.Millisecond,
		})
	}
	network.tick(host, &coordinator.SupervisorEvent{Event: &supervisor.JobArrived{
		Waiter: waiter, Job: job, Deadline: identifier.Moment(network.now.Sub(host.startedAt)).Add(10 * time.Second),
	}})
	network.advance(5 * time.Second)
	return network.ended
}

// TestHostsAgreeOnTheLayout guards against hosts of one failure domain that derive different numbers
// of cells from their own sizes: servers then belong to two cells, and the leads fence each other.
func TestHostsAgreeOnTheLayout(t *testing.T) {
	network := newAgreeingNetwork(t, smallHost, largeHost, largeHost, largeHost, smallHost, largeHost)
	network.advance(10 * time.Second)
	if ended := network.runJob(network.entry[0], "early"); ended == nil || ended.Outcome != supervisor.OutcomeRefused || ended.RetryAfter == 0 {
		t.Fatalf("a job before the first configuration ended as %+v, want a refusal", ended)
	}
	for _, host := range network.entry {
		if network.cellsOf(host) != 0 || len(host.leads) > 0 {
			t.Fatalf("%s uses %d cells and leads %v without a configuration", host.id, network.cellsOf(host), host.leads)
		}
	}
	network.configure(1)
	network.advance(2 * time.Second)
	network.checkLed(t, "leuven", 2)
	network.checkLed(t, "geel", 1)
	for index, host := range network.entry {
		if ended := network.runJob(host, identifier.JobID(fmt.Sprint("job-", index))); ended == nil || ended.Outcome != supervisor.OutcomeComplete {
			t.Errorf("a job at %s ended as %+v", host.id, ended)
		}
	}
	for _, problem := range network.world.problems {
		t.Error(problem)
	}
}

// TestImplausibleCapacityDoesNotDecideTheLayout guards against a layout that is decided for good by a host
// whose stated capacity is wrong.
func TestImplausibleCapacityDoesNotDecideTheLayout(t *testing.T) {
	network := newAgreeingNetwork(t, largeHost, largeHost, largeHost, largeHost)
	wrong := network.entry[0]
	network.crashHost(wrong)
	wrong.capacity = identifier.HostCapacity{MilliCPU: smallHost, Memory: -1}
	network.startHost(wrong)
	network.advance(10 * time.Second)
	network.configure(1)
	network.advance(2 * time.Second)
	network.checkLed(t, "leuven", 1)
}

// TestInterruptedLayoutProposal guards against failure domains that stay without a layout, or get two,
// when the leader of the keepers is lost around its proposal: before, while it spreads, and after.
func TestInterruptedLayoutProposal(t *testing.T) {
	start := func() *agreeingNetwork {
		network := newAgreeingNetwork(t, smallHost, largeHost, largeHost, largeHost)
		network.advance(2 * time.Second)
		network.configure(1)
		return network
	}
	undisturbed := start()
	began := undisturbed.now
	for undisturbed.cellsOf(undisturbed.entry[0]) == 0 && undisturbed.now.Sub(began) < 10*time.Second {
		undisturbed.advance(hop)
	}
	learned := undisturbed.now.Sub(began)
	// A layout is proposed, persisted by two keepers, applied and announced within some hops.
	for hops := range 40 {
		network := start()
		network.advance(learned - time.Duration(hops)*hop)
		leader := network.keeperLeader()
		if leader == nil {
			t.Fatal("nobody leads the keepers")
		}
		network.crashHost(leader)
		network.advance(8 * time.Second)
		network.startHost(leader)
		network.advance(3 * time.Second)
		network.checkLed(t, "leuven", 2)
		network.checkLed(t, "geel", 1)
	}
}

// keeperLeader returns the keeper that leads the others, or nil.
func (network *agreeingNetwork) keeperLeader() *fakeHost {
	for _, host := range network.keepers {
		if host.coordinator != nil && host.leadsKeepers {
			return host
		}
	}
	return nil
}

// TestLayoutWithoutKeepers guards against hosts that lose their layout with the keepers, and against
// ones that start and guess it.
func TestLayoutWithoutKeepers(t *testing.T) {
	network := newAgreeingNetwork(t, smallHost, largeHost, largeHost, largeHost)
	network.advance(8 * time.Second)
	network.configure(1)
	network.advance(5 * time.Second)
	for _, host := range network.keepers {
		network.crashHost(host)
	}
	network.advance(10 * time.Second)
	network.checkLed(t, "leuven", 2)
	for _, host := range network.entry {
		network.crashHost(host)
	}
	for _, host := range network.entry {
		network.startHost(host)
	}
	network.advance(10 * time.Second)
	for _, host := range network.entry {
		if network.cellsOf(host) != 0 {
			t.Errorf("%s uses %d cells that nobody told it", host.id, network.cellsOf(host))
		}
	}
	for _, host := range network.keepers {
		network.startHost(host)
	}
	network.advance(5 * time.Second)
	network.checkLed(t, "leuven", 2)
	network.checkLed(t, "geel", 1)
}

// TestRestartOfAllHostsIsNotDelayedByTheLayout guards against a second settle time after the layout is
// learned, which would add to the outage of every restart.
func TestRestartOfAllHostsIsNotDelayedByTheLayout(t *testing.T) {
	restart := func(fixedCells int) time.Duration {
		network := newAgreeingNetwork(t, smallHost, largeHost, largeHost, largeHost)
		network.advance(8 * time.Second)
		network.configure(1)
		network.advance(5 * time.Second)
		network.settings.AgreedLayout, network.settings.Dispatcher.Cells = fixedCells == 0, fixedCells
		for _, host := range network.entry {
			network.crashHost(host)
		}
		for _, host := range network.entry {
			network.startHost(host)
		}
		started := network.now
		for network.now.Sub(started) < 10*time.Second && !(network.isLed("leuven", 0) && network.isLed("leuven", 1)) {
			network.advance(time.Millisecond)
		}
		return network.now.Sub(started)
	}
	if agreed, fixed := restart(0), restart(2); agreed > fixed {
		t.Errorf("the cells are led %v after the start, with a fixed layout after %v", agreed, fixed)
	}
}

func (network *agreeingNetwork) isLed(domain identifier.FailureDomain, cell messenger.CellNumber) bool {
	return slices.ContainsFunc(network.entry, func(host *fakeHost) bool { return host.domain == domain && host.leads[cell] })
}

// TestHostCutOffWhileTheLayoutIsAgreed guards against a host that comes back from behind a cut link
// with another layout, or none.
func TestHostCutOffWhileTheLayoutIsAgreed(t *testing.T) {
	network := newAgreeingNetwork(t, largeHost, largeHost, smallHost, largeHost, largeHost)
	network.advance(8 * time.Second)
	cut := network.entry[0]
	for _, other := range network.hosts {
		network.disconnectHosts(cut, other)
	}
	network.configure(1)
	network.advance(8 * time.Second)
	if cells := network.cellsOf(cut); cells != 0 || len(cut.leads) > 0 {
		t.Errorf("the host that is cut off uses %d cells and leads %v", cells, cut.leads)
	}
	for _, other := range network.hosts {
		network.connectHosts(cut, other)
	}
	network.advance(10 * time.Second)
	network.checkLed(t, "leuven", 2)
}

// TestOlderKeeperGetsNoLayoutCommand guards against a keeper of an older program that ignores the
// command and so holds other versions than the rest.
func TestOlderKeeperGetsNoLayoutCommand(t *testing.T) {
	network := newAgreeingNetwork(t, smallHost, largeHost, largeHost, largeHost)
	older := network.keepers[2]
	network.crashHost(older)
	network.settings.AgreedLayout = false
	network.startHost(older)
	network.settings.AgreedLayout = true
	network.advance(5 * time.Second)
	network.configure(1)
	network.advance(10 * time.Second)
	for _, host := range network.entry {
		if network.cellsOf(host) != 0 {
			t.Fatalf("%s has a layout while a keeper would ignore it", host.id)
		}
	}
	network.crashHost(older)
	network.startHost(older)
	network.advance(5 * time.Second)
	network.checkLed(t, "leuven", 2)
}

// TestHostThatDiffersFromTheAgreedLayout guards against two divisions of one failure domain: keepers
// that have lost their state agree on another layout than a host holds.
func TestHostThatDiffersFromTheAgreedLayout(t *testing.T) {
	network := newAgreeingNetwork(t, smallHost, largeHost, largeHost, largeHost, largeHost)
	differs := network.entry[0]
	network.tick(differs, &coordinator.ConfigRestored{Version: configurer.Version{
		Version: 1, Document: []byte("{}"), Layouts: []configurer.Layout{{FailureDomain: "leuven", Cells: 3}},
	}})
	network.advance(8 * time.Second)
	for _, other := range network.entry {
		if other != differs && other.domain == "leuven" {
			network.crashHost(other)
			network.startHost(other)
		}
	}
	version := configurer.Version{Version: 9, Document: []byte("{}"), Layouts: []configurer.Layout{{FailureDomain: "leuven", Cells: 2}}}
	for _, host := range network.entry {
		network.tick(host, &coordinator.ConfigRestored{Version: version})
	}
	network.advance(5 * time.Second)
	if network.cellsOf(differs) != 3 || differs.layout.Serving {
		t.Errorf("the host that differs reports %+v", differs.layout)
	}
	for cell, led := range differs.leads {
		if led {
			t.Errorf("the host that differs leads cell %d", cell)
		}
	}
	if ended := network.runJob(differs, "refused"); ended == nil || ended.Outcome != supervisor.OutcomeRefused {
		t.Errorf("a job at the host that differs ended as %+v", ended)
	}
	for index, host := range network.entry {
		if host == differs || host.domain != "leuven" {
			continue
		}
		if !host.layout.Serving {
			t.Errorf("%s, which has the agreed layout, does not serve", host.id)
		}
		if ended := network.runJob(host, identifier.JobID(fmt.Sprint("served-", index))); ended == nil || ended.Outcome != supervisor.OutcomeComplete {
			t.Errorf("a job at %s ended as %+v", host.id, ended)
		}
	}
}

// TestHostsWithOtherFixedLayouts guards against leads that fence each other because the settings of
// two hosts name different numbers of cells.
func TestHostsWithOtherFixedLayouts(t *testing.T) {
	settings := coordinator.DefaultSettings()
	settings.AnnounceLayout = true
	network := newNetworkWith([]identifier.FailureDomain{"leuven"}, 2, settings)
	other := network.hosts[1]
	network.crashHost(other)
	network.settings.Dispatcher.Cells, network.settings.Forwarder.Cells = 2, 2
	network.startHost(other)
	network.advance(5 * time.Second)
	for _, host := range network.hosts {
		submitted := &forwarder.CallerSubmitted{Waiter: 1, Job: &messenger.Job{Submission: "order"}, Deadline: identifier.Never}
		now := identifier.Moment(network.now.Sub(host.startedAt))
		refusal := slices.IndexFunc(host.coordinator.Tick(now, []coordinator.Input{&coordinator.CallerEvent{Event: submitted}}), func(output coordinator.Output) bool {
			answer, isAnswer := output.(*coordinator.ToCaller)
			return isAnswer && answer.Answer.Answer.ClaimsNothing() && answer.Answer.Answer.RetryAfter > 0
		})
		if refusal < 0 {
			t.Errorf("%s does not refuse a submission", host.id)
		}
		if host.layout == nil || host.layout.Serving || len(host.layout.Differing) != 1 {
			t.Errorf("%s reports %+v", host.id, host.layout)
		}
		for cell, led := range host.leads {
			if led {
				t.Errorf("%s leads cell %d", host.id, cell)
			}
		}
	}
	network.crashHost(other)
	network.settings = settings
	network.startHost(other)
	network.advance(5 * time.Second)
	if first := network.hosts[0]; !first.layout.Serving || !first.leads[0] && !other.leads[0] {
		t.Errorf("the hosts agree again and cell 0 has no lead; %s reports %+v", first.id, first.layout)
	}
}
