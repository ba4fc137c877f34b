package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/coordinator"
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
	for index := range 6 {
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
